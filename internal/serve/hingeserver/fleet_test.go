package hingeserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/operate/hingeadmin"
	"github.com/swifthinge/swifthinge/internal/standin/hingestandin"
)

// hostRole makes the test program an entry host instead: tests kill, freeze and
// restart real processes, and the program needs no other one built first.
const hostRole = "SWIFTHINGE_TEST_HOST"

func TestMain(m *testing.M) {
	if file := os.Getenv(hostRole); file != "" {
		if err := playHost(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// playHost is an entry host that takes cuts of its links on standard input.
func playHost(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	settings := hingesettings.Defaults()
	if err := toml.Unmarshal(data, &settings); err != nil {
		return err
	}
	server, err := New(Options{
		Settings: settings,
		Settle:   -1,
		AllowCut: true,
	}, time.Now())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go func() {
		lines := bufio.NewScanner(os.Stdin)
		for lines.Scan() {
			f := strings.Fields(lines.Text())
			for _, d := range []hingelink.Direction{hingelink.Outgoing, hingelink.Incoming} {
				_ = server.shared.link.Cut(hingeids.HostID(f[1]), d, f[0] == "cut")
			}
		}
		// Nobody is there any more who would stop this process.
		os.Exit(2)
	}()
	return server.Run(ctx)
}

// fleet is the entry hosts of a deployment as processes, and stand-ins.
type fleet struct {
	t         *testing.T
	ctx       context.Context
	folder    string
	inventory hingeinventory.Inventory
	rules     hingeinventory.Rules
	hosts     map[hingeids.HostID]*host
	order     []hingeids.HostID
	standins  map[hingeids.ServerID]*hingestandin.Server
	changes   int
}

// host is one entry host's process.
type host struct {
	settings hingesettings.Settings
	file     string
	command  *exec.Cmd
	control  io.WriteCloser
	exited   chan struct{}
	mu       sync.Mutex
	log      bytes.Buffer
}

// fleetsAtOnce bounds the processes of tests that run side by side, so that none
// is slowed until it looks dead to its peers.
var fleetsAtOnce = make(chan struct{}, 3)

// fleets counts the fleets that were started.
var fleets atomic.Int64

// newFleet starts the hosts of the shellfish franchise: seven in three zones,
// of which the first in each has a disk.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	fleetsAtOnce <- struct{}{}
	t.Cleanup(func() {
		<-fleetsAtOnce
	})
	inventory, rules, err := hingeinventory.Load(
		"../../../examples/viviers/inventory.toml", "../../../examples/viviers/rules.toml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		t:         t,
		ctx:       ctx,
		folder:    t.TempDir(),
		inventory: inventory,
		rules:     rules,
		hosts:     make(map[hingeids.HostID]*host),
		standins:  make(map[hingeids.ServerID]*hingestandin.Server),
	}
	f.writeSettings()
	for _, id := range f.order {
		f.start(id)
	}
	t.Cleanup(func() {
		cancel()
		for id := range f.hosts {
			f.kill(id)
		}
		f.dumpLogs()
	})
	f.await("an empty configuration to be agreed on", 10*time.Second, func() error {
		status, err := f.status(f.order[0])
		if err != nil || status.Leader == "" {
			return fmt.Errorf("no leader (%v)", err)
		}
		return nil
	})
	return f
}

func (f *fleet) dumpLogs() {
	folder := os.Getenv("SWIFTHINGE_TEST_LOGS")
	if folder == "" {
		return
	}
	for id, h := range f.hosts {
		h.mu.Lock()
		_ = os.WriteFile(filepath.Join(folder, f.t.Name()+"."+string(id)+".log"), h.log.Bytes(), 0o600)
		h.mu.Unlock()
	}
}

func (f *fleet) writeSettings() {
	var peers []hingesettings.Peer
	// Fleets that run side by side have addresses of their own: a port that one
	// has found free may be another's by the time it is used.
	network := 16 + fleets.Add(1)%200
	free := &addresses{
		t: f.t,
	}
	defer free.giveBack()
	for z, zone := range f.inventory.Zones {
		for n, id := range zone.Hosts {
			ip := fmt.Sprintf("127.%d.%d.%d", network, z+1, n+1)
			h := &host{
				settings: hingesettings.Settings{
					Host: id,
					Zone: zone.Name,
					Listen: hingesettings.Listen{
						Callers:   free.free("tcp", ip),
						Servers:   free.free("tcp", ip),
						Operators: free.free("tcp", ip),
						Link:      free.free("udp", ip),
					},
					Limits: hingesettings.Defaults().Limits,
				},
				file: filepath.Join(f.folder, string(id)+".toml"),
			}
			if n == 0 {
				h.settings.DataFolder = filepath.Join(f.folder, string(id))
			}
			peers = append(peers, hingesettings.Peer{
				Host:      id,
				Zone:      zone.Name,
				Link:      h.settings.Listen.Link,
				Operators: h.settings.Listen.Operators,
				Disk:      n == 0,
			})
			f.hosts[id] = h
			f.order = append(f.order, id)
		}
	}
	for id, h := range f.hosts {
		h.settings.Peers = peers
		f.write(id)
	}
}

// write writes a host's settings to its file.
func (f *fleet) write(id hingeids.HostID) {
	h := f.hosts[id]
	data, err := toml.Marshal(h.settings)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(h.file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// addresses finds free addresses, and keeps them until all are found: one that
// is given back at once may be found again.
type addresses struct {
	t    *testing.T
	open []io.Closer
}

func (a *addresses) free(network, ip string) string {
	a.t.Helper()
	if network == "udp" {
		c, err := net.ListenPacket(network, ip+":0")
		if err != nil {
			a.t.Fatal(err)
		}
		a.open = append(a.open, c)
		return c.LocalAddr().String()
	}
	l, err := net.Listen(network, ip+":0")
	if err != nil {
		a.t.Fatal(err)
	}
	a.open = append(a.open, l)
	return l.Addr().String()
}

func (a *addresses) giveBack() {
	for _, c := range a.open {
		_ = c.Close()
	}
}

func (h *host) Write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.Write(p)
}

// start starts a host's process, again after a kill.
func (f *fleet) start(id hingeids.HostID) {
	f.t.Helper()
	h := f.hosts[id]
	h.command = exec.Command(os.Args[0])
	h.command.Env = append(os.Environ(), hostRole+"="+h.file)
	h.command.Stderr = h
	control, err := h.command.StdinPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	h.control = control
	if err := h.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	exited := make(chan struct{})
	h.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		close(exited)
	}(h.command)
}

func (f *fleet) signal(id hingeids.HostID, s syscall.Signal) {
	_ = f.hosts[id].command.Process.Signal(s)
}

// kill is kill -9.
func (f *fleet) kill(id hingeids.HostID) {
	f.signal(id, syscall.SIGKILL)
	<-f.hosts[id].exited
}

// loseDisk removes what a killed host had on its disk.
func (f *fleet) loseDisk(id hingeids.HostID) {
	if err := os.RemoveAll(f.hosts[id].settings.DataFolder); err != nil {
		f.t.Fatal(err)
	}
}

// cutZone refuses all traffic between the hosts of a zone and all others, or
// lets it pass again.
func (f *fleet) cutZone(zone hingeids.Zone, cut bool) {
	word := "heal"
	if cut {
		word = "cut"
	}
	for a, ha := range f.hosts {
		for b, hb := range f.hosts {
			if (ha.settings.Zone == zone) != (hb.settings.Zone == zone) {
				_, _ = fmt.Fprintln(f.hosts[a].control, word, b)
			}
		}
	}
}

// await waits until a check passes.
func (f *fleet) await(what string, limit time.Duration, check func() error) time.Duration {
	f.t.Helper()
	began := time.Now()
	var err error
	for time.Since(began) < limit {
		if err = check(); err == nil {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for id, h := range f.hosts {
		select {
		case <-h.exited:
			h.mu.Lock()
			log := h.log.String()
			h.mu.Unlock()
			f.t.Logf("%s has ended: %s", id, log[max(0, len(log)-1000):])
		default:
		}
	}
	f.t.Fatalf("waited %v for %s: %v", limit, what, err)
	return 0
}

// standin starts a stand-in in the test's own process, announced to a zone's hosts.
func (f *fleet) standin(o hingestandin.Options) *hingestandin.Server {
	f.t.Helper()
	if o.Kind == hingeannounce.Service {
		o.Service = "viviers-app"
	} else {
		o.Model = "redacteur"
	}
	o.Listen = "127.0.0.1:0"
	for _, id := range f.order {
		if h := f.hosts[id]; h.settings.Zone == o.Zone {
			o.Announce = append(o.Announce, h.settings.Listen.Servers)
		}
	}
	s, err := hingestandin.New(o, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = s.Run(f.ctx)
	}()
	f.standins[o.Server] = s
	return s
}

// apply puts the whole inventory and rules, or a changed part, as one change.
func (f *fleet) apply(at hingeids.HostID, change hingeadmin.Change) (hingeadmin.AcceptedChange, int, error) {
	var accepted hingeadmin.AcceptedChange
	status, err := f.post(f.hosts[at].settings.Listen.Operators, "/v1/changes", change, &accepted)
	return accepted, status, err
}

// keepKeysPath is the item that the tests' changes change.
const keepKeysPath = "rules/keepKeys"

// change makes a change of one rule on top of what a host applies.
func (f *fleet) change(expected hingeids.Revision, keepKeys time.Duration) hingeadmin.Change {
	f.changes++
	return hingeadmin.Change{
		ChangeID:         hingeadmin.ChangeID(fmt.Sprintf("%s-%d", f.t.Name(), f.changes)),
		ExpectedRevision: expected,
		Operator:         "test",
		Puts: map[string]string{
			keepKeysPath: string(hingeinventory.Split(&f.inventory, &hingeinventory.Rules{
				KeepKeys: keepKeys,
			})[keepKeysPath]),
		},
	}
}

// whole is the change that brings the example's configuration.
func (f *fleet) whole() hingeadmin.Change {
	c := f.change(0, 24*time.Hour)
	for path, document := range hingeinventory.Split(&f.inventory, &f.rules) {
		c.Puts[path] = string(document)
	}
	return c
}

// configure applies the example's configuration and waits until all are ready.
func (f *fleet) configure() hingeids.Revision {
	f.t.Helper()
	var accepted hingeadmin.AcceptedChange
	whole := f.whole()
	f.await("the first change to be accepted", 10*time.Second, func() error {
		status, err := 0, error(nil)
		accepted, status, err = f.apply(f.order[0], whole)
		if status != http.StatusOK {
			return fmt.Errorf("status %d, %v", status, err)
		}
		return nil
	})
	f.awaitRevision(accepted.Revision, f.order...)
	return accepted.Revision
}

// awaitRevision waits until hosts have a revision in force.
func (f *fleet) awaitRevision(r hingeids.Revision, hosts ...hingeids.HostID) time.Duration {
	f.t.Helper()
	return f.await(fmt.Sprintf("revision %d in force", r), 10*time.Second, func() error {
		for _, id := range hosts {
			status, err := f.status(id)
			if err != nil {
				return err
			}
			if status.Committed < r || !status.Ready {
				return fmt.Errorf("%s applies %d, ready %v (%s)", id, status.Committed, status.Ready, status.Reason)
			}
		}
		return nil
	})
}

func (f *fleet) status(id hingeids.HostID) (hingeadmin.Status, error) {
	var status hingeadmin.Status
	err := f.get(id, "/v1/status", &status)
	return status, err
}

func (f *fleet) get(id hingeids.HostID, path string, into any) error {
	client := http.Client{
		Timeout: 2 * time.Second,
	}
	resp, err := client.Get("http://" + f.hosts[id].settings.Listen.Operators + path)
	if err != nil {
		return err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (f *fleet) post(address, path string, body, into any) (int, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	client := http.Client{
		Timeout: 5 * time.Second,
	}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, errors.New(string(text))
	}
	return resp.StatusCode, json.Unmarshal(text, into)
}

// leader names the host that leads the configuration log, as a host sees it.
func (f *fleet) leader(seenBy hingeids.HostID) hingeids.HostID {
	status, err := f.status(seenBy)
	if err != nil {
		return ""
	}
	return status.Leader
}

// called is what a caller got for a call of the plain service.
type called struct {
	status  int
	verdict string
	body    string
	retry   string
	err     error
}

func (f *fleet) call(id hingeids.HostID, method, path, key string) called {
	req, err := http.NewRequestWithContext(f.ctx, method, "http://"+f.hosts[id].settings.Listen.Callers+path, nil)
	if err != nil {
		return called{
			err: err,
		}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{
		Timeout: 10 * time.Second,
	}
	resp, err := client.Do(req)
	if err != nil {
		return called{
			err: err,
		}
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	b, err := io.ReadAll(resp.Body)
	return called{
		status:  resp.StatusCode,
		verdict: resp.Header.Get("X-Verdict"),
		retry:   resp.Header.Get("Retry-After"),
		body:    string(b),
		err:     err,
	}
}

// repaired tells whether a host that lost its disk counts towards a quorum
// again: only then may the next host be lost.
func (f *fleet) repaired(id hingeids.HostID) error {
	status, err := f.status(id)
	if err != nil {
		return err
	}
	if !status.Voting {
		return errors.New("it has no vote yet")
	}
	return nil
}

// awaitGranting waits until hosts are ready and may use all servers.
func (f *fleet) awaitGranting(hosts ...hingeids.HostID) {
	f.t.Helper()
	f.await("all servers to be usable", 15*time.Second, func() error {
		for _, id := range hosts {
			status, err := f.status(id)
			if err != nil {
				return err
			}
			if n := granting(status); !status.Ready || n < len(f.standins) {
				return fmt.Errorf("%s: ready %v, may use %d of %d", id, status.Ready, n, len(f.standins))
			}
		}
		return nil
	})
}

// granting counts the servers that a host may place requests at.
func granting(s hingeadmin.Status) int {
	n := 0
	for _, x := range s.Servers {
		if x.Granting {
			n++
		}
	}
	return n
}
