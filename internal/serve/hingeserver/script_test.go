package hingeserver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// Each file in testdata/*.script starts with comments that describe a failure and its effect
// on callers. One step a line follows.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts found", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".script"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			newScript(t).run(f, string(text))
		})
	}
}

// script runs the steps of one file against one entry host and its stand-ins.
type script struct {
	t        *testing.T
	ctx      context.Context
	host     *Server
	engines  map[string]*hingestandin.Server
	kill     map[string]context.CancelFunc
	requests map[string]*callerRequest
}

func newScript(t *testing.T) *script {
	ctx, cancel := context.WithCancel(context.Background())
	inventory, rules, err := hingeinventory.Load("testdata/inventory.toml", "testdata/rules.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings := hingesettings.Defaults()
	settings.Host = "a-1"
	settings.Zone = "a"
	settings.Listen = hingesettings.Listen{
		Callers:   "127.0.0.1:0",
		Servers:   "127.0.0.1:0",
		Operators: "127.0.0.1:0",
		Link:      "127.0.0.1:0",
	}
	settings.DataFolder = t.TempDir()
	settings.Peers = []hingesettings.Peer{
		{
			Host: "a-1",
			Zone: "a",
			Link: "127.0.0.1:0",
			Disk: true,
		},
	}
	host, err := New(Options{
		Settings:         settings,
		Inventory:        inventory,
		Rules:            rules,
		HasConfiguration: true,
		SettleTimeout:    -1,
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = host.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-host.Done()
	})
	// A host grants no slots until its instance is recorded.
	if err := eventually(func() error {
		if !host.shared.members.Hosts().Load().LeaseUntil.After(time.Now()) {
			return errors.New("the host holds no valid lease yet")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return &script{
		t:        t,
		ctx:      ctx,
		host:     host,
		engines:  make(map[string]*hingestandin.Server),
		kill:     make(map[string]context.CancelFunc),
		requests: make(map[string]*callerRequest),
	}
}

// steps maps the commands of a script.
var steps = map[string]func(s *script, args []string) error{
	"engine":   (*script).engine,
	"fault":    (*script).fault,
	"kill":     (*script).killEngine,
	"leave":    (*script).leave,
	"ask":      (*script).startRequest,
	"abandon":  (*script).abandon,
	"answered": (*script).checkResponse,
	"same":     (*script).checkSameResponse,
	"call":     (*script).call,
	"held":     (*script).held,
	"count":    (*script).count,
	"drain":    (*script).drain,
	"pause":    (*script).pause,
	"metric":   (*script).metric,
	"owned":    (*script).owned,
}

func (s *script) run(name, text string) {
	for i, line := range strings.Split(text, "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		step, ok := steps[fields[0]]
		if !ok {
			s.t.Fatalf("%s:%d: unknown step %q", name, i+1, fields[0])
		}
		if err := step(s, fields[1:]); err != nil {
			s.t.Fatalf("%s:%d: %s: %v", name, i+1, line, err)
		}
	}
}

// engine runs the step "engine NAME KIND [slots=N] [model=M] [gap=D] [prefill=D] [poison=P]":
// it starts a stand-in and waits until the host can use it.
func (s *script) engine(args []string) error {
	o := hingestandin.Options{
		Server:    hingeids.ServerID(args[0]),
		Kind:      hingeannounce.Kind(args[1]),
		Zone:      "a",
		Listen:    "127.0.0.1:0",
		Announce:  []string{s.host.Addresses().Servers},
		TokenGap:  5 * time.Millisecond,
		Heartbeat: 50 * time.Millisecond,
	}
	if o.Kind == hingeannounce.Service {
		o.Service = "app"
	} else {
		o.Model = "m"
	}
	for _, a := range args[2:] {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "slots":
			n, _ := strconv.Atoi(value)
			o.Slots = hingeids.Slots(n)
		case "model":
			o.Model = hingeids.Model(value)
		case "prefill":
			o.PrefillPerToken, _ = time.ParseDuration(value)
		case "gap":
			o.TokenGap, _ = time.ParseDuration(value)
		case "poison":
			o.PoisonText = value
		case "slow":
			o.PrefillPerToken, _ = time.ParseDuration(value)
		}
	}
	e, err := hingestandin.New(o, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	go func() {
		_ = e.Run(ctx)
	}()
	s.engines[args[0]] = e
	s.kill[args[0]] = cancel
	return eventually(func() error {
		known, ok := s.host.servers.Load().Find(o.Server)
		if !ok || !s.host.slots.canGrant(time.Now(), known) {
			return errors.New("the host does not know the server yet, or has no slots to grant")
		}
		return nil
	})
}

// fault runs the step "fault NAME FAULT [COUNT]": it sets a fault of a stand-in.
func (s *script) fault(args []string) error {
	count := 1
	if len(args) > 2 {
		count, _ = strconv.Atoi(args[2])
	}
	s.engines[args[0]].SetFault(hingestandin.Fault(args[1]), count)
	return nil
}

// killEngine runs the step "kill NAME": it stops a stand-in without a shutdown.
func (s *script) killEngine(args []string) error {
	s.kill[args[0]]()
	<-s.engines[args[0]].Done()
	return nil
}

// leave runs the step "leave NAME": it waits until the host doesn't use the stand-in any
// more.
func (s *script) leave(args []string) error {
	s.engines[args[0]].Leave()
	return eventually(func() error {
		if _, ok := s.host.servers.Load().Find(hingeids.ServerID(args[0])); ok {
			return errors.New("the host still uses the server")
		}
		return nil
	})
}

func (s *script) drain([]string) error {
	s.host.callers.Drain()
	return nil
}

func (s *script) pause(args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// callerRequest is a caller's completion request and its response.
type callerRequest struct {
	cancel  context.CancelFunc
	model   string
	prompt  string
	tokens  int
	key     string
	done    chan struct{}
	started chan struct{}
	status  int
	verdict string
	text    string
	// body is the raw body of a response that isn't streamed.
	body     []byte
	complete bool
	err      error
}

// startRequest runs the step "ask NAME [tokens=N] [model=M] [key=K] [prompt=P] [whole]
// [long] [background]": it sends a completion request, and unless in the background waits
// for the first token or the end of the response.
func (s *script) startRequest(args []string) error {
	r := &callerRequest{
		model:   "m",
		prompt:  "prompt of " + args[0],
		tokens:  8,
		done:    make(chan struct{}),
		started: make(chan struct{}),
	}
	stream := true
	background := false
	for _, a := range args[1:] {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "tokens":
			r.tokens, _ = strconv.Atoi(value)
		case "model":
			r.model = value
		case "key":
			r.key = value
		case "prompt":
			r.prompt = value
		case "whole":
			stream = false
		case "long":
			r.prompt = strings.Repeat("dossier of "+args[0]+" ", 100)
		case "background":
			background = true
		}
	}
	s.requests[args[0]] = r
	ctx, cancel := context.WithCancel(s.ctx)
	r.cancel = cancel
	go r.send(ctx, s.host.Addresses().Callers, stream)
	if background {
		return nil
	}
	select {
	case <-r.started:
	case <-r.done:
	}
	return nil
}

func (r *callerRequest) send(ctx context.Context, address string, stream bool) {
	defer close(r.done)
	body, _ := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{
		Model:     r.model,
		Prompt:    r.prompt,
		MaxTokens: r.tokens,
		Stream:    stream,
	})
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	r.status = resp.StatusCode
	r.verdict = resp.Header.Get("X-Verdict")
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		r.err = fmt.Errorf("status %d: %s", resp.StatusCode, b)
		return
	}
	if stream {
		r.readStream(resp.Body)
		return
	}
	r.readBody(resp.Body)
}

type choices struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (r *callerRequest) readBody(body io.Reader) {
	var c choices
	if r.body, r.err = io.ReadAll(body); r.err != nil {
		return
	}
	r.err = json.Unmarshal(r.body, &c)
	if len(c.Choices) > 0 {
		r.text = c.Choices[0].Text
		r.complete = true
	}
}

func (r *callerRequest) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.complete = true
			return
		}
		var c choices
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			r.err = fmt.Errorf("invalid event: %s", data)
			return
		}
		if r.text == "" {
			close(r.started)
		}
		r.text += c.Choices[0].Text
	}
	r.err = lines.Err()
}

// abandon runs the step "abandon NAME": the caller closes its connection.
func (s *script) abandon(args []string) error {
	r := s.requests[args[0]]
	r.cancel()
	<-r.done
	return nil
}

// checkResponse runs the step "answered NAME whole | status=N [verdict=V] | cut": it
// compares the response with the text that the stand-in generates for the prompt.
func (s *script) checkResponse(args []string) error {
	r := s.requests[args[0]]
	<-r.done
	if args[1] == "whole" {
		if want := hingestandin.Answer(r.prompt, r.tokens); r.text != want || !r.complete {
			return fmt.Errorf("got %q (complete %v, %v), want %q", r.text, r.complete, r.err, want)
		}
		return nil
	}
	if args[1] == "cut" {
		if r.complete || r.err == nil {
			return fmt.Errorf("got a complete response %q, want a cut one", r.text)
		}
		return nil
	}
	return expect(args[1:], map[string]string{
		"status":  strconv.Itoa(r.status),
		"verdict": r.verdict,
	})
}

// checkSameResponse runs the step "same NAME OTHER": both responses must be complete and
// have the same bytes.
func (s *script) checkSameResponse(args []string) error {
	a, b := s.requests[args[0]], s.requests[args[1]]
	<-a.done
	<-b.done
	if !a.complete || !b.complete || string(a.body) != string(b.body) {
		return fmt.Errorf("want two complete and equal responses, got %q and %q", a.body, b.body)
	}
	return nil
}

// call runs the step "call METHOD PATH [key=K] status=N [verdict=V] [retry=R]": it checks
// the response of the plain service.
func (s *script) call(args []string) error {
	req, _ := http.NewRequestWithContext(s.ctx, args[0], "http://"+s.host.Addresses().Callers+args[1], nil)
	want := args[2:]
	if key, ok := strings.CutPrefix(want[0], "key="); ok {
		req.Header.Set("Idempotency-Key", key)
		want = want[1:]
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	return expect(want, map[string]string{
		"status":  strconv.Itoa(resp.StatusCode),
		"verdict": resp.Header.Get("X-Verdict"),
		"retry":   resp.Header.Get("Retry-After"),
	})
}

func expect(want []string, got map[string]string) error {
	for _, w := range want {
		key, value, _ := strings.Cut(w, "=")
		if got[key] != value {
			return fmt.Errorf("%s is %q, all: %v", key, got[key], got)
		}
	}
	return nil
}

// held runs the step "held NAME N": it waits until the stand-in has N allocations.
func (s *script) held(args []string) error {
	want, _ := strconv.Atoi(args[1])
	return eventually(func() error {
		if got := s.engines[args[0]].Counts().Held; got != want {
			return fmt.Errorf("the stand-in holds %d allocations", got)
		}
		return nil
	})
}

// count runs the step "count NAME FIELD N": it checks a count of the stand-in, by its JSON
// name.
func (s *script) count(args []string) error {
	b, err := json.Marshal(s.engines[args[0]].Counts())
	if err != nil {
		return err
	}
	var counts map[string]int
	if err := json.Unmarshal(b, &counts); err != nil {
		return err
	}
	return expect([]string{args[1] + "=" + args[2]}, map[string]string{
		args[1]: strconv.Itoa(counts[args[1]]),
	})
}

// metric runs the step "metric NAME VALUE": it waits until a metric, with its labels, has
// the value.
func (s *script) metric(args []string) error {
	return eventually(func() error {
		var b strings.Builder
		s.host.metrics.Write(&b)
		if want := args[0] + " " + args[1] + "\n"; !strings.Contains(b.String(), want) {
			return fmt.Errorf("metrics do not contain %q", want)
		}
		return nil
	})
}

// owned runs the step "owned N": it waits until the host owns N exchanges with engines.
func (s *script) owned(args []string) error {
	want, _ := strconv.Atoi(args[0])
	return eventually(func() error {
		s.host.collector.mu.Lock()
		defer s.host.collector.mu.Unlock()
		if got := len(s.host.collector.owned); got != want {
			return fmt.Errorf("the host owns %d exchanges", got)
		}
		return nil
	})
}

// eventually retries a check for five seconds, within which the host has to recover from any
// failure.
func eventually(f func() error) error {
	var err error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err = f(); err == nil {
			return nil
		}
	}
	return err
}

// Guards against an engine that stays occupied by a caller which doesn't read its response.
func TestSlowReaderIsDisconnected(t *testing.T) {
	s := newScript(t)
	s.host.callers.SetWriteTimeout(200 * time.Millisecond)
	if err := s.engine([]string{"d", "decode", "gap=1us"}); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", s.host.Addresses().Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = conn.Close()
	}()
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	body := `{"model":"m","prompt":"p","max_tokens":2000000,"stream":true}`
	if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
	if err := eventually(func() error {
		if s.engines["d"].Counts().Cancelled == 0 {
			return errors.New("the engine has not cancelled the request")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
}
