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

// Each file in testdata/*.script opens with plain sentences that tell how a
// failure comes about and what a user notices, then has one step a line.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
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
	t       *testing.T
	ctx     context.Context
	host    *Server
	engines map[string]*hingestandin.Server
	kill    map[string]context.CancelFunc
	answers map[string]*reading
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
		Settings:  settings,
		Inventory: inventory,
		Rules:     rules,
		Given:     true,
		Settle:    -1,
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
	// A host grants slots once its life is recorded.
	if err := eventually(func() error {
		if !host.shared.members.Hosts().Load().LeaseUntil.After(time.Now()) {
			return errors.New("the host does not stand yet")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return &script{
		t:       t,
		ctx:     ctx,
		host:    host,
		engines: make(map[string]*hingestandin.Server),
		kill:    make(map[string]context.CancelFunc),
		answers: make(map[string]*reading),
	}
}

// steps are the commands of a script.
var steps = map[string]func(s *script, args []string) error{
	"engine":   (*script).engine,
	"fault":    (*script).fault,
	"kill":     (*script).killEngine,
	"leave":    (*script).leave,
	"ask":      (*script).ask,
	"abandon":  (*script).abandon,
	"answered": (*script).answered,
	"same":     (*script).same,
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
			s.t.Fatalf("%s:%d: no step %q", name, i+1, fields[0])
		}
		if err := step(s, fields[1:]); err != nil {
			s.t.Fatalf("%s:%d: %s: %v", name, i+1, line, err)
		}
	}
}

// engine NAME KIND [slots=N] [model=M] [gap=D] [prefill=D] starts a stand-in and waits until it is known.
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
			o.Poison = value
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
			return errors.New("not known yet, or no slots to grant")
		}
		return nil
	})
}

// fault NAME FAULT [COUNT]
func (s *script) fault(args []string) error {
	count := 1
	if len(args) > 2 {
		count, _ = strconv.Atoi(args[2])
	}
	s.engines[args[0]].SetFault(hingestandin.Fault(args[1]), count)
	return nil
}

// kill NAME
func (s *script) killEngine(args []string) error {
	s.kill[args[0]]()
	<-s.engines[args[0]].Done()
	return nil
}

// leave NAME
func (s *script) leave(args []string) error {
	s.engines[args[0]].Leave()
	return eventually(func() error {
		if _, ok := s.host.servers.Load().Find(hingeids.ServerID(args[0])); ok {
			return errors.New("still used")
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

// reading is an answer as its caller reads it.
type reading struct {
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
	// body is that of a whole answer, as it came.
	body  []byte
	whole bool
	err   error
}

// ask NAME [tokens=N] [model=M] [key=K] [prompt=P] [whole] [background]: asks for a completion in the background,
// and waits until its header or first token is there.
func (s *script) ask(args []string) error {
	r := &reading{
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
	s.answers[args[0]] = r
	ctx, cancel := context.WithCancel(s.ctx)
	r.cancel = cancel
	go r.read(ctx, s.host.Addresses().Callers, stream)
	if background {
		return nil
	}
	select {
	case <-r.started:
	case <-r.done:
	}
	return nil
}

func (r *reading) read(ctx context.Context, address string, stream bool) {
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
	r.readWhole(resp.Body)
}

type choices struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (r *reading) readWhole(body io.Reader) {
	var c choices
	if r.body, r.err = io.ReadAll(body); r.err != nil {
		return
	}
	r.err = json.Unmarshal(r.body, &c)
	if len(c.Choices) > 0 {
		r.text = c.Choices[0].Text
		r.whole = true
	}
}

func (r *reading) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.whole = true
			return
		}
		var c choices
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			r.err = fmt.Errorf("event %s", data)
			return
		}
		if r.text == "" {
			close(r.started)
		}
		r.text += c.Choices[0].Text
	}
	r.err = lines.Err()
}

// abandon NAME: the caller closes its connection.
func (s *script) abandon(args []string) error {
	r := s.answers[args[0]]
	r.cancel()
	<-r.done
	return nil
}

// answered NAME whole | status=N [verdict=V] | cut: judges the answer by the
// text that the stand-in gives to the prompt.
func (s *script) answered(args []string) error {
	r := s.answers[args[0]]
	<-r.done
	if args[1] == "whole" {
		if want := hingestandin.Answer(r.prompt, r.tokens); r.text != want || !r.whole {
			return fmt.Errorf("got %q (whole %v, %v), want %q", r.text, r.whole, r.err, want)
		}
		return nil
	}
	if args[1] == "cut" {
		if r.whole || r.err == nil {
			return fmt.Errorf("got %q as whole", r.text)
		}
		return nil
	}
	return expect(args[1:], map[string]string{
		"status":  strconv.Itoa(r.status),
		"verdict": r.verdict,
	})
}

// same NAME OTHER: both got a whole answer, the same byte for byte.
func (s *script) same(args []string) error {
	a, b := s.answers[args[0]], s.answers[args[1]]
	<-a.done
	<-b.done
	if !a.whole || !b.whole || string(a.body) != string(b.body) {
		return fmt.Errorf("got %q and %q", a.body, b.body)
	}
	return nil
}

// call METHOD PATH [key=K] status=N [verdict=V]
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

// held NAME N: what the stand-in holds comes down to N.
func (s *script) held(args []string) error {
	want, _ := strconv.Atoi(args[1])
	return eventually(func() error {
		if got := s.engines[args[0]].Counts().Held; got != want {
			return fmt.Errorf("holds %d", got)
		}
		return nil
	})
}

// count NAME FIELD N: a count of the stand-in, by its JSON name.
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

// metric NAME VALUE: a metric, with its labels, has a value.
func (s *script) metric(args []string) error {
	return eventually(func() error {
		var b strings.Builder
		s.host.metrics.Write(&b)
		if want := args[0] + " " + args[1] + "\n"; !strings.Contains(b.String(), want) {
			return fmt.Errorf("no %q", want)
		}
		return nil
	})
}

// owned N: the host answers for N exchanges with engines.
func (s *script) owned(args []string) error {
	want, _ := strconv.Atoi(args[0])
	return eventually(func() error {
		s.host.holds.mu.Lock()
		defer s.host.holds.mu.Unlock()
		if got := len(s.host.holds.owned); got != want {
			return fmt.Errorf("answers for %d", got)
		}
		return nil
	})
}

// eventually gives what is under way five seconds, the time within which the
// promises must hold again.
func eventually(f func() error) error {
	var err error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if err = f(); err == nil {
			return nil
		}
	}
	return err
}

// A caller that sends a request and reads nothing must not hold an engine for
// ever: what a user notices is that others wait although nobody reads.
func TestSlowReaderIsGivenUp(t *testing.T) {
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
			return errors.New("still held")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
}
