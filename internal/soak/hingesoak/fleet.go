package hingesoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

var wire hingeplatform.Wire

// process is one program of the fleet.
type process struct {
	name     string
	role     string
	settings hingeplatform.Settings

	// mu is held while something is done to the process.
	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	exited  chan struct{}
}

// fleet is all programs of a run.
type fleet struct {
	options     Options
	controls    []*process
	entries     []*process
	book        *book
	controlLost sync.Mutex
	faults      sync.WaitGroup
}

const (
	zones = 3
	// mostSeeds is how many control hosts a process is told of.
	mostSeeds = 3
	// mostVoters is how many control hosts vote; others stand by.
	mostVoters = 5
)

// newFleet gives each process a loopback address of its own. The second part of it
// follows the soak's process id, so that two runs don't meet.
func newFleet(o Options) *fleet {
	net := 16 + os.Getpid()%200
	x := &fleet{
		options: o,
	}
	var seeds []hingeids.HostID
	for i := range min(o.Controls, mostSeeds) {
		seeds = append(seeds, hingeids.HostID(fmt.Sprintf("127.%d.1.%d", net, i+1)))
	}
	for i := range o.Controls + o.Entries {
		control := i < o.Controls
		group, n, name, role := 1, i+1, "control", "control"
		if !control {
			group, n, name, role = 2, i-o.Controls+1, "entry", "front"
		}
		ip := fmt.Sprintf("127.%d.%d.%d", net, group, n)
		p := &process{
			name: fmt.Sprintf("%s-%d", name, n),
			role: role,
			settings: hingeplatform.Settings{
				IP:              ip,
				Zone:            hingeids.Zone(fmt.Sprint("zone-", (n-1)%zones+1)),
				CallerAddress:   ip + ":8144",
				ReadyAddress:    ip + ":8140",
				ControlAddress:  ip + ":8146",
				LinkPort:        7660,
				MetricsPort:     7675,
				Seeds:           seeds,
				FirstStart:      true,
				MaxDiskFailures: max((min(o.Controls, mostVoters)-1)/2, 1),
				Grace:           8 * time.Second,
				RetryRatio:      0.2,
				RetryBurst:      50,
			},
		}
		if control {
			p.settings.DataFolder = filepath.Join(o.Folder, p.name+".data")
			x.controls = append(x.controls, p)
			continue
		}
		x.entries = append(x.entries, p)
	}
	return x
}

func (x *fleet) all() []*process {
	return append(append([]*process(nil), x.controls...), x.entries...)
}

func (x *fleet) startAll() error {
	for _, p := range x.all() {
		if err := x.start(p); err != nil {
			return err
		}
		p.settings.FirstStart = false
	}
	return nil
}

// start writes a process's settings and runs it, with its output in a file.
func (x *fleet) start(p *process) error {
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return eris.Wrap(err, "data folder")
		}
	}
	path := filepath.Join(x.options.Folder, p.name+".conf")
	if err := os.WriteFile(path, []byte(wire.Settings(p.settings)), 0o600); err != nil {
		return eris.Wrap(err, "settings")
	}
	log, err := os.OpenFile(filepath.Join(x.options.Folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "log")
	}
	p.cmd = exec.Command(x.options.Program, p.role)
	p.cmd.Env = []string{wire.SettingsVariable() + "=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name)
	}
	p.exited = make(chan struct{})
	p.started = time.Now()
	go func(cmd *exec.Cmd, exited chan struct{}) {
		// How it ended is told by its log.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// restart runs a process again. One that can't be started is missed at the end of the run.
func (x *fleet) restart(p *process) {
	if err := x.start(p); err != nil {
		_, _ = fmt.Fprintln(x.options.Out, err)
	}
}

func (p *process) signal(s syscall.Signal) {
	// A process that has ended needs no signal.
	_ = p.cmd.Process.Signal(s)
}

// wait waits for the end of a process, and kills it when its time is over. It reports whether
// the process ended by itself. The log then has what it was doing.
func (p *process) wait(most time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(most):
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

// awaitFaults waits until everything that was done to the processes is over.
func (x *fleet) awaitFaults() {
	x.faults.Wait()
}

// end kills what is left of the fleet (rule 4).
func (x *fleet) end() {
	x.faults.Wait()
	for _, p := range x.all() {
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// ready reports whether all entry hosts say so.
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

// callTime bounds one call of a control host, as its callers do.
const callTime = time.Second

var client = &http.Client{
	Timeout: callTime,
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

func call(ctx context.Context, at string, c hingeplatform.Call) (int, []byte, error) {
	q, err := http.NewRequestWithContext(ctx, c.Method, "http://"+at+c.Path, bytes.NewReader(c.Body))
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
