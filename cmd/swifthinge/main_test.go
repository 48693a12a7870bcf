package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"swifthinge": main,
	})
}

// Guards against operators' commands that fail against real entry hosts. $A, $B and $C are the
// operators' addresses of an entry host in each of three zones; the first also has engines.
func TestOperatorWorkflow(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setUp,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"until":    until,
			"revision": revision,
			"newer":    newer,
			"complete": complete,
		},
	})
}

// hostNames lists the entry hosts. Their zones are the names without the suffix.
var hostNames = []string{"cancale-1", "roscoff-1", "quiberon-1"}

func setUp(env *testscript.Env) error {
	addresses, err := freeAddresses(4 * len(hostNames))
	if err != nil {
		return err
	}
	peers := ""
	for i, host := range hostNames {
		peers += fmt.Sprintf("[[peers]]\nhost = %q\nzone = %q\nlink = %q\noperators = %q\ndisk = true\n",
			host, zoneOf(host), addresses[4*i+3], addresses[4*i+2])
	}
	for i, host := range hostNames {
		hostAddresses := addresses[4*i:]
		text := fmt.Sprintf("host = %q\nzone = %q\ndataFolder = %q\n"+
			"[listen]\ncallers = %q\nservers = %q\noperators = %q\nlink = %q\n"+
			"[keys]\nauthority = 'keys/authority.pem'\ncertificate = 'keys/%s.pem'\nkey = 'keys/%s.key.pem'\n",
			host, zoneOf(host), "data/"+host, hostAddresses[0], hostAddresses[1], hostAddresses[2], hostAddresses[3], host, host)
		if err := os.WriteFile(filepath.Join(env.WorkDir, host+".toml"), []byte(text+peers), 0o600); err != nil {
			return err
		}
		letter := string(rune('A' + i))
		env.Setenv(letter, hostAddresses[2])
		env.Setenv("CALLERS_"+letter, hostAddresses[0])
	}
	return startEngines(env, addresses[1])
}

func zoneOf(host string) string {
	return strings.TrimSuffix(host, "-1")
}

// freeAddresses returns free addresses. No process is started meanwhile: it would have copies of the sockets until its
// program is loaded, and the addresses would stay in use.
func freeAddresses(n int) ([]string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	var out []string
	for range n {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		out = append(out, listener.Addr().String())
	}
	return out, nil
}

func startEngines(env *testscript.Env, announce string) error {
	ctx, cancel := context.WithCancel(context.Background())
	env.Defer(cancel)
	for i, kind := range []hingeannounce.Kind{hingeannounce.Prefill, hingeannounce.Decode} {
		engine, err := hingestandin.New(hingestandin.Options{
			Server:    hingeids.ServerID(fmt.Sprintf("redacteur-%d", i+1)),
			Kind:      kind,
			Zone:      "cancale",
			Model:     "redacteur",
			Listen:    "127.0.0.1:0",
			Announce:  []string{announce},
			Heartbeat: 100 * time.Millisecond,
		}, time.Now())
		if err != nil {
			return err
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = engine.Run(ctx)
		}()
		env.Defer(func() {
			cancel()
			<-done
		})
	}
	return nil
}

// maxAttempts bounds the runs of until and newer, which are 100 ms apart.
const maxAttempts = 100

// until runs the program until its output matches the regular expression args[0].
func until(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile("(?m)" + args[0])
	for range maxAttempts {
		if ts.Exec("swifthinge", args[1:]...) == nil && want.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("output never matched %s; last output:\n%s", args[0], ts.ReadFile("stdout"))
}

// revision sets $REVISION to the revision that the last command printed.
func revision(ts *testscript.TestScript, _ bool, _ []string) {
	found := regexp.MustCompile(`(?m)^revision (\d+)`).FindStringSubmatch(ts.ReadFile("stdout"))
	if found == nil {
		ts.Fatalf("no revision was printed")
	}
	ts.Setenv("REVISION", found[1])
}

// newer runs the program until a host applies a revision other than $REVISION.
func newer(ts *testscript.TestScript, _ bool, args []string) {
	old := "# revision " + ts.Getenv("REVISION") + "\n"
	for range maxAttempts {
		if ts.Exec("swifthinge", "get", "--entry", args[0]) == nil && !strings.HasPrefix(ts.ReadFile("stdout"), old) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("host still applies revision %s", ts.Getenv("REVISION"))
}

// complete sends a completion request to an address and sets $REQUEST to its ID.
func complete(ts *testscript.TestScript, neg bool, args []string) {
	body := strings.NewReader(`{"model": "redacteur", "prompt": "moules de Cancale", "max_tokens": 4}`)
	answer, err := http.Post("http://"+args[0]+"/v1/completions", "application/json", body)
	ts.Check(err)
	ts.Check(answer.Body.Close())
	ts.Setenv("REQUEST", answer.Header.Get("X-Request-Id"))
	if (answer.StatusCode == http.StatusOK) == neg {
		ts.Check(errors.New("unexpected response status " + answer.Status))
	}
}
