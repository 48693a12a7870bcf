package hingeload_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/load/hingeload"
	"github.com/swifthinge/swifthinge/internal/load/hingereport"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/serve/hingeserver"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// startHost runs an entry host of examples/viviers by itself.
func startHost(t *testing.T) hingesettings.Listen {
	const example = "../../../examples/viviers/"
	inventory, rules, err := hingeinventory.Load(example+"inventory.toml", example+"rules.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings := hingesettings.Defaults()
	settings.Host = "cancale-1"
	settings.Zone = "cancale"
	settings.Listen = hingesettings.Listen{
		Callers:   "127.0.0.1:0",
		Servers:   "127.0.0.1:0",
		Operators: "127.0.0.1:0",
		Link:      "127.0.0.1:0",
	}
	settings.DataFolder = t.TempDir()
	// The load generator sets X-Caller, which is trusted from a gateway only.
	settings.Callers.Gateway = true
	settings.Peers = []hingesettings.Peer{
		{
			Host: "cancale-1",
			Zone: "cancale",
			Link: "127.0.0.1:0",
			Disk: true,
		},
	}
	host, err := hingeserver.New(hingeserver.Options{
		Settings:         settings,
		Inventory:        inventory,
		Rules:            rules,
		HasConfiguration: true,
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_ = host.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-host.Done()
	})
	return host.Addresses()
}

func startStandins(t *testing.T, announce string) (running []*hingestandin.Server, addresses []string) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, o := range []hingestandin.Options{
		{
			Server: "redacteur-1",
			Kind:   hingeannounce.Prefill,
			Model:  "redacteur",
		},
		{
			Server: "redacteur-2",
			Kind:   hingeannounce.Decode,
			Model:  "redacteur",
		},
		{
			Server: "redacteur-3",
			Kind:   hingeannounce.Decode,
			Model:  "redacteur",
		},
		{
			Server:  "viviers-app-1",
			Kind:    hingeannounce.Service,
			Service: "viviers-app",
		},
	} {
		o.Zone = "cancale"
		o.Listen = "127.0.0.1:0"
		o.Announce = []string{announce}
		o.Heartbeat = 50 * time.Millisecond
		s, err := hingestandin.New(o, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			_ = s.Run(ctx)
		}()
		running = append(running, s)
		addresses = append(addresses, s.Address())
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range running {
			<-s.Done()
		}
	})
	return running, addresses
}

// options configures a run of three seconds with a burst in the second one.
func options(hosts, standins []string) hingeload.Options {
	return hingeload.Options{
		Hosts:         hosts,
		VerifyAnswers: true,
		Standins:      standins,
		Mix:           hingeload.Shellfish().Scaled(0.1),
		Phases: []hingeload.Phase{
			{
				Duration: time.Second,
				Rate:     20,
			},
			{
				Duration: time.Second,
				Rate:     60,
			},
			{
				Duration: time.Second,
				Rate:     20,
			},
		},
		Seed:            1,
		MaxRequests:     1000,
		MaxOpen:         1000,
		MaxAttempts:     5,
		RetryAfterShare: 1,
	}
}

// Guards against violated guarantees and a missing report when one of the hosts is
// unreachable.
func TestRunAgainstAnEntryHost(t *testing.T) {
	t.Parallel()
	host := startHost(t)
	_, standins := startStandins(t, host.Servers)
	waitUntilServed(t, host.Callers)
	result, err := hingeload.Run(context.Background(), options([]string{host.Callers, "127.0.0.1:1"}, standins))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := hingereport.WriteLoad(folder, hingereport.Header{
		Command: "test",
	}, result); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(folder, "report.md"))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", text)
	for _, name := range []string{"report.json", "firstToken.png", "tokenGap.png", "goodput.png"} {
		if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
			t.Error(err)
		}
	}
	total := result.Total()
	if result.Violations() > 0 || total.Answered == 0 || total.Sent != total.Answered+total.Refused+total.Uncertain {
		t.Errorf("%d guarantees violated, %d sent, %d answered", result.Violations(), total.Sent, total.Answered)
	}
	calls := 0
	for _, c := range result.Classes[:2] {
		calls += c.Sent
	}
	if result.Standins.CallRuns > calls {
		t.Errorf("%d runs for %d calls with keys", result.Standins.CallRuns, calls)
	}
}

// Guards against faults that go undetected: a call that runs twice must count as
// duplicated, and a request that reaches no host as lost.
func TestRunDetectsFaults(t *testing.T) {
	t.Parallel()
	running, addresses := startStandins(t, "127.0.0.1:1")
	service := len(running) - 1
	running[service].SetFault(hingestandin.CloseBeforeAnswer, 1)
	o := options(addresses[service:], addresses[service:])
	o.Phases = []hingeload.Phase{
		{
			Duration: 500 * time.Millisecond,
			Rate:     40,
		},
	}
	o.Mix.Classes = o.Mix.Classes[1:2]
	result, err := hingeload.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if total := result.Total(); total.Duplicated != 1 || result.Standins.MaxRunsPerKey != 2 {
		t.Errorf("%d doubled, %d runs of a key", total.Duplicated, result.Standins.MaxRunsPerKey)
	}
	o.Hosts = []string{"127.0.0.1:1"}
	o.Mix.Classes[0].Deadline = 200 * time.Millisecond
	result, err = hingeload.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if total := result.Total(); total.Lost != total.Sent || result.Violations() == 0 {
		t.Errorf("%d of %d lost without a reachable host", total.Lost, total.Sent)
	}
}

// waitUntilServed sends one request of each class until it is answered, which
// takes until the engines have registered and their slots are delegated.
func waitUntilServed(t *testing.T, host string) {
	o := options([]string{host}, nil)
	for _, c := range o.Mix.Classes {
		single := o
		c.Deadline = 30 * time.Second
		single.Mix.Classes = []hingeload.Class{c}
		single.MaxRequests = 1
		single.MaxAttempts = 1000
		single.RetryAfterShare = 0
		result, err := hingeload.Run(context.Background(), single)
		if err != nil {
			t.Fatal(err)
		}
		if total := result.Total(); total.Answered != 1 {
			t.Fatalf("%s is not served: %d refusals, codes %v", c.Name, result.Classes[0].Refusals, result.Classes[0].Codes)
		}
	}
}
