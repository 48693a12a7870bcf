package hingesoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingeretry"
	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

var wire hingeplatform.Wire

// process is one swifthinge-fleet process, with the settings it is started with.
type process struct {
	name     string
	role     string
	settings hingeplatform.Settings

	// mu is held while a fault is applied to the process.
	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	exited  chan struct{}
	// emptyAt is when a control host last had an empty disk.
	emptyAt time.Time

	disturbance disturbance
}

type fleet struct {
	options Options
	entries []*process
	checker *checker
	// mu guards controls, which is replaced as a whole, and gone, the control hosts that don't return.
	mu       sync.Mutex
	controls []*process
	gone     []*process
	// swap is held while a control host is replaced.
	swap       sync.Mutex
	firstSeeds []hingeids.HostID
	subnet     int
	// linkPorts counts the processes with a link port of their own.
	linkPorts   int
	controlDown sync.Mutex
	faults      sync.WaitGroup
	// relay is nil without losses and disturbances.
	relay *relay
	lost  lossCount
	// reserved keeps other runs from the subnet; it is nil if none could be reserved.
	reserved net.Listener
}

const (
	zones = 3
	// maxSeeds bounds the control hosts in the settings of a process.
	maxSeeds = 3
	// relayPort is below the link ports of the processes of a run with losses.
	relayPort = 9000
	// maxVoters is the number of control hosts that are voters; further ones are standbys.
	maxVoters = 5
)

const (
	firstSubnet = 16
	subnets     = 200
	// reservePort is a port that no process of a run uses.
	reservePort = 8999
)

// reserveSubnet returns the second byte of a run's addresses, and what keeps other runs from it. The search begins at a subnet
// that is derived from the process id, which differs between most concurrent runs.
func reserveSubnet() (int, net.Listener) {
	for i := range subnets {
		subnet := firstSubnet + (os.Getpid()+i)%subnets
		if inUse(subnet) {
			continue
		}
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", subnet, reservePort)); err == nil {
			return subnet, l
		}
	}
	// Another run may use this one too.
	return firstSubnet + os.Getpid()%subnets, nil
}

// inUse reports whether a control or entry host is running in a subnet, of a program that reserves none.
func inUse(subnet int) bool {
	for _, address := range []string{"1.1:8146", "2.1:8140"} {
		if c, err := net.Dial("tcp4", fmt.Sprintf("127.%d.%s", subnet, address)); err == nil {
			_ = c.Close()
			return true
		}
	}
	return false
}

// newFleet assigns a loopback address to each process.
func newFleet(o Options) *fleet {
	subnet, reserved := reserveSubnet()
	x := &fleet{
		options:  o,
		subnet:   subnet,
		reserved: reserved,
		lost: lossCount{
			until:  make([]time.Time, o.Controls),
			active: make([]int, o.Controls),
		},
	}
	if o.Losses != "" || len(o.Disturbances) > 0 {
		x.relay = newRelay()
	}
	for i := range min(o.Controls, maxSeeds) {
		x.firstSeeds = append(x.firstSeeds, hingeids.HostID(x.address(true, i+1)))
	}
	for i := range o.Controls {
		x.controls = append(x.controls, x.newProcess(true, i+1, zoneOf(i)))
	}
	for i := range o.Entries {
		x.entries = append(x.entries, x.newProcess(false, i+1, zoneOf(i)))
	}
	return x
}

func zoneOf(i int) hingeids.Zone {
	return hingeids.Zone(fmt.Sprint("zone-", i%zones+1))
}

func (x *fleet) address(control bool, n int) string {
	group := 2
	if control {
		group = 1
	}
	return fmt.Sprintf("127.%d.%d.%d", x.subnet, group, n)
}

// newProcess returns the nth control or entry host, counted from one.
func (x *fleet) newProcess(control bool, n int, zone hingeids.Zone) *process {
	ip := x.address(control, n)
	p := &process{
		name: fmt.Sprint("entry-", n),
		role: "front",
		settings: hingeplatform.Settings{
			IP:              ip,
			Zone:            zone,
			CallerAddress:   ip + ":8144",
			ReadyAddress:    ip + ":8140",
			ControlAddress:  ip + ":8146",
			LinkPort:        7660,
			MetricsPort:     7675,
			Seeds:           x.firstSeeds,
			FirstStart:      true,
			MaxDiskFailures: maxLost(x.options),
			CatchUp:         catchUp,
			Grace:           8 * time.Second,
			RetryBudget: hingeretry.FleetLimits{
				PerRequest: 0.2,
				Burst:      50,
				Window:     10 * time.Second,
			},
		},
	}
	if control {
		p.name, p.role = fmt.Sprint("control-", n), "control"
		p.settings.DataFolder = filepath.Join(x.options.Folder, p.name+".data")
	}
	if x.relay != nil {
		x.linkPorts++
		p.settings.LinkPort = relayPort + x.linkPorts
	}
	return p
}

// controlHosts returns the control hosts that are to run.
func (x *fleet) controlHosts() []*process {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.controls
}

// replaced returns the control hosts that don't return.
func (x *fleet) replaced() []*process {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.gone
}

func (x *fleet) all() []*process {
	return slices.Concat(x.controlHosts(), x.entries)
}

func (x *fleet) startAll() error {
	for _, p := range x.all() {
		if x.relay == nil {
			break
		}
		if err := x.relay.add(p); err != nil {
			return err
		}
	}
	for _, p := range x.all() {
		if err := x.start(p); err != nil {
			return err
		}
		p.settings.FirstStart = false
	}
	return nil
}

// start writes the settings of a process and starts it, with its output appended to a log file.
func (x *fleet) start(p *process) error {
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return eris.Wrap(err, "create data folder")
		}
	}
	path := filepath.Join(x.options.Folder, p.name+".conf")
	if err := os.WriteFile(path, []byte(wire.Settings(p.settings)), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(x.options.Folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	p.cmd = exec.Command(x.options.Program, p.role)
	p.cmd.Env = []string{wire.SettingsVariable() + "=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	p.exited = make(chan struct{})
	p.started = time.Now()
	p.disturbance.recordStart(p.started)
	go func(cmd *exec.Cmd, exited chan struct{}) {
		// The reason for the exit is in the log file.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// restart starts a process again. A failure is printed, and then found by the recovery check.
func (x *fleet) restart(p *process) {
	if err := x.start(p); err != nil {
		_, _ = fmt.Fprintln(x.options.Out, err)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.disturbance.recordSignal(time.Now(), s)
	// An error means that the process has exited already.
	_ = p.cmd.Process.Signal(s)
}

// wait waits until the process exits, and reports whether it did within timeout. Otherwise
// SIGQUIT makes it write its goroutine stacks to the log, and it is killed.
func (p *process) wait(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
	}
	p.signal(syscall.SIGQUIT)
	select {
	case <-p.exited:
	case <-time.After(time.Second):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	return false
}

// awaitFaults waits until all process faults have ended.
func (x *fleet) awaitFaults() {
	x.faults.Wait()
}

// killAll kills all processes of the fleet (rule 4).
func (x *fleet) killAll() {
	x.faults.Wait()
	if x.reserved != nil {
		defer func() {
			_ = x.reserved.Close()
		}()
	}
	if x.relay != nil {
		defer x.relay.close()
	}
	for _, p := range slices.Concat(x.all(), x.replaced()) {
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// ready reports whether all entry hosts answer their readiness check with 200.
func (x *fleet) ready() bool {
	for _, p := range x.entries {
		status, _, err := call(context.Background(), p.settings.ReadyAddress, hingeplatform.Call{
			Method: http.MethodGet,
			Path:   "/api/ready",
		})
		if err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

const callTimeout = time.Second

var client = &http.Client{
	Timeout: callTimeout,
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

func call(ctx context.Context, address string, c hingeplatform.Call) (int, []byte, error) {
	return callBy(ctx, client, address, c)
}

func callBy(ctx context.Context, client *http.Client, address string, c hingeplatform.Call) (int, []byte, error) {
	q, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return 0, nil, err
	}
	a, err := client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer func() {
		_ = a.Body.Close()
	}()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, b, err
}
