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

// badWorld has one model, no engine, and a fault in its own code that the model
// named panics brings out.
type badWorld struct {
	asked *hingedispatch.Work
	// customers are those whose keys are asked for, if any.
	customers *hingecustomers.Set
}

func (b *badWorld) HasModel(m hingeids.Model) bool {
	return m == "m" || m == "panics"
}

func (b *badWorld) Customers() *hingecustomers.Set {
	return b.customers
}

func (b *badWorld) ServiceFor(string) (hingeids.Service, bool) {
	return "", false
}

func (b *badWorld) Classify(hingeids.Model, hingeids.Service, string, string) hingeinventory.Class {
	return hingeinventory.Class{
		Name:     "text",
		Priority: 100,
	}
}

func (b *badWorld) Complete(_ context.Context, w *hingedispatch.Work) (*hingedispatch.Answer, error) {
	b.asked = w
	if w.Model == "panics" {
		panic("a fault of ours")
	}
	return nil, hingeverdict.New(hingeverdict.NotRun, hingeverdict.CodeNoServer, time.Second, errors.New("no engine"))
}

func startBad(t *testing.T) (*badWorld, *Server, string) {
	b := &badWorld{}
	limits := hingesettings.Defaults().Limits
	limits.RequestBytes = 1024
	limits.HeaderBytes = 4096
	s := New(Config{
		Limits:      limits,
		Catalogue:   b,
		Completions: b,
		Ready:       func() bool { return true },
		Gone:        func() {},
		Recorder:    hingeevents.NewRecorder(hingeids.Instance{}),
		Now:         time.Now,
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

// badInputs are requests as their bytes come, and the answers they get.
var badInputs = []badInput{
	bad("good, but no engine", post("", good), "503 notRun 3001"),
	bad("not JSON", post("", `{"model":`), "400 notRun 1001"),
	bad("no object", post("", `[1]`), "400 notRun 1001"),
	bad("null", post("", `null`), "400 notRun 1001"),
	bad("two objects", post("", good+good), "400 notRun 1001"),
	bad("wrong type of model", post("", `{"model":1,"prompt":"p"}`), "400 notRun 1001"),
	bad("wrong type of prompt", post("", `{"model":"m","prompt":["p"]}`), "400 notRun 1001"),
	bad("wrong type of messages", post("", `{"model":"m","messages":[7]}`), "400 notRun 1001"),
	bad("no prompt", post("", `{"model":"m"}`), "400 notRun 1001"),
	bad("empty", post("", ""), "400 notRun 1001"),
	bad("negative max_tokens", post("", `{"model":"m","prompt":"p","max_tokens":-1}`), "400 notRun 1001"),
	bad("broken max_tokens", post("", `{"model":"m","prompt":"p","max_tokens":1.5}`), "400 notRun 1001"),
	bad("huge max_tokens", post("", `{"model":"m","prompt":"p","max_tokens":99999999999999999999}`), "400 notRun 1001"),
	bad("unknown model", post("", `{"model":"x","prompt":"p"}`), "404 notRun 1003"),
	bad("deadline of none", post("X-Deadline-Ms: 0\r\n", good), "400 notRun 1001"),
	bad("deadline before", post("X-Deadline-Ms: -5\r\n", good), "400 notRun 1001"),
	bad("deadline in words", post("X-Deadline-Ms: soon\r\n", good), "400 notRun 1001"),
	bad("deadline over the top", post("X-Deadline-Ms: 99999999999999999999\r\n", good), "400 notRun 1001"),
	bad("priority raised", post("X-Priority: 101\r\n", good), "400 notRun 1001"),
	bad("priority below", post("X-Priority: -1\r\n", good), "400 notRun 1001"),
	bad("priority in words", post("X-Priority: high\r\n", good), "400 notRun 1001"),
	bad("deep nesting", post("", `{"model":"m","prompt":"p","x":`+strings.Repeat("[", 900)), "400 notRun 1001"),
	bad("body over the limit", post("", `{"model":"m","prompt":"`+strings.Repeat("p", 1100)+`"}`), "413 notRun 1002"),
	bad("body far over the limit", post("", `{"model":"m","prompt":"`+strings.Repeat("p", 1<<18)+`"}`), "413 notRun 1002"),
	bad("header over the limit", post("X-Long: "+strings.Repeat("x", 5000)+"\r\n", good), "413 notRun 1002"),
	bad("GET", "GET /v1/completions HTTP/1.1\r\nHost: h\r\n\r\n", "405 notRun 1010"),
	bad("unknown method", "BREW /v1/completions HTTP/1.1\r\nHost: h\r\n\r\n", "405 notRun 1010"),
	bad("unknown path", "GET /coffee HTTP/1.1\r\nHost: h\r\n\r\n", "404 notRun 1004"),
	bad("no HTTP", "what is this\r\n\r\n", "400 notRun 1001"),
	bad("bad length", "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", "400 notRun 1001"),
	bad("truncated body", "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n{", "400 notRun 1001"),
	bad("our own fault", post("", `{"model":"panics","prompt":"p"}`), "502 mayHaveRun 3003"),
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

// Callers send what they like. Each such request gets an answer that says what is
// wrong and that it did not run, and its connection goes on or is closed in order;
// the others' requests are never touched, also not by a fault of our own.
func TestBadInputGetsItsAnswer(t *testing.T) {
	_, server, address := startBad(t)
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
					t.Errorf("closed out of order: %v", err)
				}
				return
			}
			_, _ = io.WriteString(conn, "GET /livez HTTP/1.1\r\nHost: h\r\n\r\n")
			if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("the next request on the connection: %v, %v", resp, err)
			}
		})
	}
	if n := server.Active(); n != 0 {
		t.Errorf("%d requests are still counted", n)
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
		t.Errorf("body %+v (%v) for %v", body, err, resp.Header)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return fmt.Sprintf("%d %s %d", resp.StatusCode, resp.Header.Get("X-Verdict"), body.Error.Code), resp.Close
}

// A caller with background work puts it behind its own other work of the class.
func TestACallerLowersItsPriority(t *testing.T) {
	b, _, address := startBad(t)
	for asked, want := range map[string]int{
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
		_, _ = io.WriteString(conn, post("X-Priority: "+asked+"\r\n", good))
		if got, _ := readRefusal(t, bufio.NewReader(conn)); got != "503 notRun 3001" || b.asked.Class.Priority != want {
			t.Errorf("%s: %s, priority %d, want %d", asked, got, b.asked.Class.Priority, want)
		}
		_ = conn.Close()
	}
}

// A fault of ours strikes in the middle of a stream, when its handler has ended.
// The caller must see that its answer is not whole, and the process must live.
func TestAPanicInAStreamEndsOnlyTheStream(t *testing.T) {
	_, server, _ := startBad(t)
	stream := &eventStream{
		server: server,
	}
	text, err := io.ReadAll(stream)
	if err != nil || !strings.HasPrefix(string(text), "event: error\n") || strings.Contains(string(text), "[DONE]") {
		t.Errorf("%q, %v", text, err)
	}
	events := server.config.Recorder.Kept()
	if len(events) != 1 || events[0].Number != hingeevents.HandlerPanicked {
		t.Errorf("events %+v", events)
	}
}

// Whatever bytes a caller sends as a completion, they are taken or refused.
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
			t.Errorf("taken: %+v", c)
		}
		_ = c.text()
	})
}

// Whatever an engine sends as an event, its text is read or it is refused, and
// nothing of it can be taken for another event.
func FuzzEvent(f *testing.F) {
	f.Add([]byte(`{"id":"a","choices":[{"text":"t"}]}`))
	f.Add([]byte(`{"id":"a","choices":[{"delta":{"content":"c"},"finish_reason":"stop"}]}`))
	f.Add([]byte(`{"id":"`))
	f.Add([]byte(`{"choices":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _, _ = tokenText(data)
		renamed := appendRenamed(nil, data, "a-1.1.1")
		if json.Valid(data) && !json.Valid(renamed) {
			t.Errorf("%q became %q", data, renamed)
		}
	})
}
