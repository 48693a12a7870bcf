package hingecaller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/path/hingedispatch"
)

// testBackend implements Catalogue and Completions. It has no engines, and
// requests for the model "panics" make it panic.
type testBackend struct {
	requested *hingedispatch.CompletionRequest
	// customers is nil if requests need no key.
	customers *hingecustomers.Set
}

func (b *testBackend) HasModel(m hingeids.Model) bool {
	return m == "m" || m == "panics"
}

func (b *testBackend) Customers() *hingecustomers.Set {
	return b.customers
}

func (b *testBackend) ServiceFor(string) (hingeids.Service, bool) {
	return "", false
}

func (b *testBackend) Classify(hingeids.Model, hingeids.Service, string, string) hingeinventory.Class {
	return hingeinventory.Class{
		Name:     "text",
		Priority: 100,
	}
}

func (b *testBackend) Complete(_ context.Context, r *hingedispatch.CompletionRequest) (*hingedispatch.Answer, error) {
	b.requested = r
	if r.Model == "panics" {
		panic("injected panic")
	}
	return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, time.Second, errors.New("no engine"))
}

func startServer(t *testing.T) (*testBackend, *Server, string) {
	b := &testBackend{}
	limits := hingesettings.Defaults().Limits
	limits.RequestBytes = 1024
	limits.HeaderBytes = 4096
	s := New(Config{
		Limits:       limits,
		Catalogue:    b,
		Completions:  b,
		Ready:        func() bool { return true },
		OnDisconnect: func() {},
		Recorder:     hingeevents.NewRecorder(hingeids.Instance{}),
		Now:          time.Now,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_ = s.Run(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-s.Done()
	})
	return b, s, l.Addr().String()
}

func post(headers, body string) string {
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
}

const good = `{"model":"m","prompt":"p"}`

// badInputs are raw requests and the status, verdict and code of their answers.
var badInputs = []badInput{
	bad("valid, but no engine", post("", good), "503 notRun 3001"),
	bad("not JSON", post("", `{"model":`), "400 notRun 1001"),
	bad("not an object", post("", `[1]`), "400 notRun 1001"),
	bad("null", post("", `null`), "400 notRun 1001"),
	bad("two objects", post("", good+good), "400 notRun 1001"),
	bad("wrong type of model", post("", `{"model":1,"prompt":"p"}`), "400 notRun 1001"),
	bad("wrong type of prompt", post("", `{"model":"m","prompt":["p"]}`), "400 notRun 1001"),
	bad("wrong type of messages", post("", `{"model":"m","messages":[7]}`), "400 notRun 1001"),
	bad("no prompt", post("", `{"model":"m"}`), "400 notRun 1001"),
	bad("empty", post("", ""), "400 notRun 1001"),
	bad("negative max_tokens", post("", `{"model":"m","prompt":"p","max_tokens":-1}`), "400 notRun 1001"),
	bad("fractional max_tokens", post("", `{"model":"m","prompt":"p","max_tokens":1.5}`), "400 notRun 1001"),
	bad("huge max_tokens", post("", `{"model":"m","prompt":"p","max_tokens":99999999999999999999}`), "400 notRun 1001"),
	bad("unknown model", post("", `{"model":"x","prompt":"p"}`), "404 notRun 1003"),
	bad("deadline zero", post("X-Deadline-Ms: 0\r\n", good), "400 notRun 1001"),
	bad("deadline negative", post("X-Deadline-Ms: -5\r\n", good), "400 notRun 1001"),
	bad("deadline not a number", post("X-Deadline-Ms: soon\r\n", good), "400 notRun 1001"),
	bad("deadline overflows", post("X-Deadline-Ms: 99999999999999999999\r\n", good), "400 notRun 1001"),
	bad("priority above the class", post("X-Priority: 101\r\n", good), "400 notRun 1001"),
	bad("priority negative", post("X-Priority: -1\r\n", good), "400 notRun 1001"),
	bad("priority not a number", post("X-Priority: high\r\n", good), "400 notRun 1001"),
	bad("deep nesting", post("", `{"model":"m","prompt":"p","x":`+strings.Repeat("[", 900)), "400 notRun 1001"),
	bad("body over the limit", post("", `{"model":"m","prompt":"`+strings.Repeat("p", 1100)+`"}`), "413 notRun 1002"),
	bad("body far over the limit", post("", `{"model":"m","prompt":"`+strings.Repeat("p", 1<<18)+`"}`), "413 notRun 1002"),
	bad("header over the limit", post("X-Long: "+strings.Repeat("x", 5000)+"\r\n", good), "413 notRun 1002"),
	bad("GET", "GET /v1/completions HTTP/1.1\r\nHost: h\r\n\r\n", "405 notRun 1010"),
	bad("unknown method", "BREW /v1/completions HTTP/1.1\r\nHost: h\r\n\r\n", "405 notRun 1010"),
	bad("unknown path", "GET /coffee HTTP/1.1\r\nHost: h\r\n\r\n", "404 notRun 1004"),
	bad("not HTTP", "what is this\r\n\r\n", "400 notRun 1001"),
	bad("bad length", "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", "400 notRun 1001"),
	bad("truncated body", "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n{", "400 notRun 1001"),
	bad("panic in a handler", post("", `{"model":"panics","prompt":"p"}`), "502 mayHaveRun 3003"),
}

type badInput struct {
	name, raw, want string
}

func bad(name, raw, want string) badInput {
	return badInput{
		name: name,
		raw:  raw,
		want: want,
	}
}

// Guards against invalid requests that get no answer or the wrong one, break their
// connection or leave state behind.
func TestBadInputIsRefused(t *testing.T) {
	_, server, address := startServer(t)
	for _, b := range badInputs {
		t.Run(b.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				_ = conn.Close()
			}()
			if _, err := io.WriteString(conn, b.raw); err != nil {
				t.Fatal(err)
			}
			if strings.HasPrefix(b.name, "truncated") {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			reader := bufio.NewReader(conn)
			got, closes := readRefusal(t, reader)
			if diff := cmp.Diff(b.want, got); diff != "" {
				t.Error(diff)
			}
			if closes {
				if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("read after the answer: %v, want EOF", err)
				}
				return
			}
			_, _ = io.WriteString(conn, "GET /livez HTTP/1.1\r\nHost: h\r\n\r\n")
			if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("next request on the connection: %v, %v", resp, err)
			}
		})
	}
	if n := server.Active(); n != 0 {
		t.Errorf("%d requests are still active", n)
	}
}

func readRefusal(t *testing.T, r *bufio.Reader) (got string, closes bool) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	var body struct {
		Error refusal `json:"error"`
	}
	err = json.NewDecoder(resp.Body).Decode(&body)
	if err != nil || body.Error.Verdict != resp.Header.Get("X-Verdict") || body.Error.RequestID != resp.Header.Get("X-Request-Id") {
		t.Errorf("body %+v (%v) does not match the headers %v", body, err, resp.Header)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return fmt.Sprintf("%d %s %d", resp.StatusCode, resp.Header.Get("X-Verdict"), body.Error.Code), resp.Close
}

// X-Priority lowers the priority of a request, rounded down to a step of its class.
func TestCallerLowersItsPriority(t *testing.T) {
	b, _, address := startServer(t)
	for requested, want := range map[string]int{
		"100": 100,
		"99":  75,
		"25":  25,
		"24":  0,
		"0":   0,
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, post("X-Priority: "+requested+"\r\n", good))
		if got, _ := readRefusal(t, bufio.NewReader(conn)); got != "503 notRun 3001" || b.requested.Class.Priority != want {
			t.Errorf("%s: %s, priority %d, want %d", requested, got, b.requested.Class.Priority, want)
		}
		_ = conn.Close()
	}
}

// Guards against a panic in a stream, after its handler has returned, that ends
// the process or lets the answer look complete.
func TestPanicInStreamFailsOnlyThatStream(t *testing.T) {
	_, server, _ := startServer(t)
	stream := &eventStream{
		server: server,
	}
	text, err := io.ReadAll(stream)
	if err != nil || !strings.HasPrefix(string(text), "event: error\n") || strings.Contains(string(text), "[DONE]") {
		t.Errorf("%q, %v", text, err)
	}
	events := server.config.Recorder.Events()
	if len(events) != 1 || events[0].Number != hingeevents.HandlerPanicked {
		t.Errorf("events %+v", events)
	}
}

// parseCompletion accepts or refuses arbitrary bytes and accepts only completions
// with a prompt or messages.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"c"}],"max_tokens":3,"stream":true}`))
	f.Add([]byte(`{"prompt":"p","PROMPT":"","max_tokens":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, fields, err := parseCompletion(body)
		if err != nil {
			return
		}
		if c.MaxTokens <= 0 || len(fields) == 0 || c.Prompt == "" && len(c.Messages) == 0 {
			t.Errorf("invalid completion accepted: %+v", c)
		}
		_ = c.text()
	})
}

// eventText doesn't panic on arbitrary events, and appendWithID keeps valid JSON
// valid.
func FuzzEvent(f *testing.F) {
	f.Add([]byte(`{"id":"a","choices":[{"text":"t"}]}`))
	f.Add([]byte(`{"id":"a","choices":[{"delta":{"content":"c"},"finish_reason":"stop"}]}`))
	f.Add([]byte(`{"id":"`))
	f.Add([]byte(`{"choices":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _, _ = eventText(data)
		renamed := appendWithID(nil, data, "a-1.1.1")
		if json.Valid(data) && !json.Valid(renamed) {
			t.Errorf("%q became %q", data, renamed)
		}
	})
}
