package hingecommand

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"swifthinge": func() {
			os.Exit(Run(context.Background(), os.Args, Config{
				Out: os.Stdout,
				Err: os.Stderr,
				Now: time.Now,
				Serve: func(_ context.Context, s ServeOptions) error {
					_, err := os.Stdout.WriteString("serving as " + string(s.Settings.Host) + "\n")
					return err
				},
				CreateHostCertificate: func(folder string, host hingeids.HostID, _ time.Time) error {
					return os.WriteFile(filepath.Join(folder, string(host)+".pem"), nil, 0o600)
				},
			}))
		},
	})
}

// The scripts in testdata run the program against two fake entry hosts at $A and
// $B. The commands below inject faults into these hosts.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			c := startCluster(t, "cancale-1", "roscoff-1")
			env.Defer(c.stop)
			env.Values["cluster"] = c
			env.Setenv("EXAMPLES", examples)
			env.Setenv("A", c.hosts[0].address)
			env.Setenv("B", c.hosts[1].address)
			env.Setenv("SWIFTHINGE_OPERATOR", "mael")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"lose": func(ts *testscript.TestScript, _ bool, args []string) {
				updateCluster(ts, args, func(c *cluster, n int) {
					c.dropResponses = n
				})
			},
			"noquorum": func(ts *testscript.TestScript, _ bool, args []string) {
				updateCluster(ts, args, func(c *cluster, n int) {
					c.noQuorum = n
				})
			},
			"inprogress": func(ts *testscript.TestScript, _ bool, args []string) {
				updateCluster(ts, args, func(c *cluster, n int) {
					c.hosts[0].inProgress = n
				})
			},
			"lag": func(ts *testscript.TestScript, _ bool, args []string) {
				updateCluster(ts, args, func(c *cluster, n int) {
					c.hosts[1].lagging = n > 0
				})
			},
			"halt": func(ts *testscript.TestScript, _ bool, args []string) {
				updateCluster(ts, args, func(c *cluster, n int) {
					_ = c.hosts[n].server.Shutdown()
				})
			},
			"drained": func(ts *testscript.TestScript, _ bool, _ []string) {
				<-ts.Value("cluster").(*cluster).hosts[0].drained
			},
			"race": func(ts *testscript.TestScript, _ bool, args []string) {
				updateCluster(ts, args, func(c *cluster, _ int) {
					c.accept(hingeadmin.Change{
						ChangeID: "theirs",
						Operator: "gaelle",
						Deletes:  []string{"servers/redacteur-9"},
					}, fakeNow)
				})
			},
			"record": func(ts *testscript.TestScript, _ bool, args []string) {
				updateCluster(ts, args, recordRequest)
			},
		},
	})
}

func updateCluster(ts *testscript.TestScript, args []string, f func(c *cluster, n int)) {
	c := ts.Value("cluster").(*cluster)
	n := 0
	if len(args) > 0 {
		var err error
		n, err = strconv.Atoi(args[0])
		ts.Check(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c, n)
}

// recordRequest records events of a request that the first host forwards to the
// second, whose clock is an hour behind.
func recordRequest(c *cluster, n int) {
	f := hingeevents.Fields{
		Request: hingeids.RequestID{
			Instance: c.hosts[0].events.Instance(),
			Sequence: uint64(n),
		},
	}
	c.hosts[0].events.Record(fakeNow, hingeevents.ProcessStarted, f)
	c.hosts[1].events.Observe(fakeNow.Add(-time.Hour), c.hosts[0].events.Tick(fakeNow))
	f.Server = "redacteur-1"
	c.hosts[1].events.Record(fakeNow.Add(-time.Hour), hingeevents.ProcessReady, f)
}
