package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the settings are those of the site that the claims name; the number of machines is a small deployment's.
const (
	drainMs       = 2500
	configApplyMs = 2500
	contactMs     = 4000
	graceS        = 8
	lossSlackMs   = 200
	heartbeatMs   = 1200
)

const (
	program      = "target/swifthinge-fleet"
	clientHost   = "ficu95.example"
	readyTimeout = 20 * time.Second
)

// errSetup means that a case couldn't run.
var errSetup = errors.New("the case couldn't run")

// run is one run of a case.
type run struct {
	trouble bool
	folder  string
	subnet  int
	ports   ports
	record  *record

	controls []*process
	fronts   []*process

	mu      sync.Mutex
	closers []func()
}

type ports struct {
	front, ready, control, link, metrics, server int
}

// process is a process of the system on its own loopback address.
type process struct {
	name string
	role string
	ip   string
	zone string
	data string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	first  bool
}

func newRun(trouble bool, rec *record) (*run, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	r := &run{
		trouble: trouble,
		folder:  folder,
		record:  rec,
	}
	for range 50 {
		r.subnet = 20 + rand.IntN(200)
		base := 20000 + rand.IntN(8000)
		r.ports = ports{
			front:   base,
			ready:   base + 1,
			control: base + 2,
			link:    base + 3,
			metrics: base + 18,
			server:  base + 30,
		}
		if r.portsFree() {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errSetup)
}

// portsFree reports whether the ports are free at the addresses that the case uses.
func (r *run) portsFree() bool {
	for _, group := range []int{1, 2, 3} {
		for n := 1; n <= 15; n++ {
			for _, port := range []int{r.ports.front, r.ports.ready, r.ports.control, r.ports.link, r.ports.metrics, r.ports.server} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", r.address(group, n), port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func (r *run) address(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.subnet, group, n)
}

// addControl adds a control host in a zone; addFront an entry host.
func (r *run) addControl(zone string) {
	n := len(r.controls) + 1
	r.controls = append(r.controls, &process{
		name:  fmt.Sprintf("control-%d", n),
		role:  "control",
		ip:    r.address(1, n),
		zone:  zone,
		data:  filepath.Join(r.folder, fmt.Sprintf("control-%d.data", n)),
		first: true,
	})
}

func (r *run) addFront(zone string) {
	n := len(r.fronts) + 1
	r.fronts = append(r.fronts, &process{
		name:  fmt.Sprintf("front-%d", n),
		role:  "front",
		ip:    r.address(2, n),
		zone:  zone,
		first: true,
	})
}

func (r *run) startAll() error {
	for _, p := range append(append([]*process{}, r.controls...), r.fronts...) {
		if err := r.start(p); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings file of a process, in the layout of the users' page on deployment.
func (r *run) settings(p *process) string {
	var seeds []string
	for _, c := range r.controls[:min(3, len(r.controls))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, r.ports.control))
	}
	lines := []string{
		"node=" + p.name, "role=" + p.role, "ip=" + p.ip, "zone=" + p.zone, "region=bretagne",
		"zones.cancale=bretagne", "zones.roscoff=bretagne", "zones.quiberon=bretagne",
		fmt.Sprintf("internalPorts=%d,%d", r.ports.link, r.ports.metrics),
		"seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%v", p.first),
		"limits.cores=1", "discovery=registry", "entry=vip",
		fmt.Sprintf("heartbeatMs=%d", heartbeatMs),
		"contracts=base,drain,config,cost,retry,recover,health,pool,split,stream,engine",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", fmt.Sprintf("bounds.contactMs=%d", contactMs), "bounds.ackMs=5000",
		"bounds.catchUpS=6", fmt.Sprintf("bounds.drainMs=%d", drainMs), fmt.Sprintf("bounds.graceS=%d", graceS),
		fmt.Sprintf("bounds.lossSlackMs=%d", lossSlackMs), fmt.Sprintf("bounds.configApplyMs=%d", configApplyMs),
		"bounds.rollbackSlackMs=250", "bounds.maxStretchMs=6000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
		"bounds.budgetSlack=218", "bounds.recoverS=15", "bounds.transitMs=200", "bounds.retryAfterS=3",
		"bounds.requireFencing=true", "bounds.leaseMs=3000", "bounds.thawMs=300", "configMode=highest",
	}
	if p.role == "front" {
		lines = append(lines, "machineClass=front", "serves=front", "lossCounts=false", "limits.memoryMb=120", "limits.diskMb=0",
			"limits.maxFds=3075", "limits.linkMbps=7.5",
			fmt.Sprintf("listen.front=%s:%d", p.ip, r.ports.front), fmt.Sprintf("listen.ready=%s:%d", p.ip, r.ports.ready))
	} else {
		lines = append(lines, "machineClass=core", "serves=control", "lossCounts=true", "limits.memoryMb=280", "limits.diskMb=128",
			"limits.maxFds=4096", "limits.linkMbps=1000.0",
			fmt.Sprintf("listen.control=%s:%d", p.ip, r.ports.control), "dataDir="+p.data)
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts a process with the command of the deploy file.
func (r *run) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != "" {
		if err := os.MkdirAll(p.data, 0o700); err != nil {
			return err
		}
	}
	path := filepath.Join(r.folder, p.name+".conf")
	if err := os.WriteFile(path, []byte(r.settings(p)), 0o600); err != nil {
		return err
	}
	p.first = false
	log, err := os.OpenFile(filepath.Join(r.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() {
		_ = log.Close()
	}()
	p.cmd = exec.Command(program, p.role)
	p.cmd.Env = []string{"SWIFTHINGE_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (r *run) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// close ends all that the run started.
func (r *run) close() {
	r.mu.Lock()
	for _, f := range r.closers {
		f()
	}
	r.mu.Unlock()
	for _, p := range append(append([]*process{}, r.controls...), r.fronts...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("kept", r.folder)
	}
}

func (r *run) controlURL(p *process, path string) string {
	return fmt.Sprintf("http://%s:%d%s", p.ip, r.ports.control, path)
}

// oneCall is for calls that wait a second, largeCall for those of the operator with large bodies.
var oneCall = &http.Client{
	Timeout: time.Second,
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

var largeCall = &http.Client{
	Timeout:   3 * time.Second,
	Transport: oneCall.Transport,
}

// put sends a configuration to the control hosts in turn, with increasing backoff, until it is acknowledged.
func (r *run) put(body []byte) (time.Time, error) {
	end := time.Now().Add(readyTimeout)
	backoff := 100 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		resp, err := largeCall.Post(r.controlURL(r.controls[i%len(r.controls)], "/api/Config.Put"), "application/json", bytes.NewReader(body))
		if err != nil {
			time.Sleep(backoff)
			backoff = min(2*backoff, time.Second)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			at := time.Now()
			r.record.event("config acknowledged", "by", r.controls[i%len(r.controls)].name)
			return at, nil
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return time.Time{}, fmt.Errorf("%w: no acknowledgement of the configuration", errSetup)
}

// awaitControls waits until each control host accepts connections.
func (r *run) awaitControls() error {
	end := time.Now().Add(readyTimeout)
	for _, p := range r.controls {
		for {
			c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", p.ip, r.ports.control), time.Second)
			if err == nil {
				_ = c.Close()
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s doesn't listen", errSetup, p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// nameOf returns the name of the control host with an address.
func (r *run) nameOf(address string) string {
	for _, p := range r.controls {
		if address == fmt.Sprintf("%s:%d", p.ip, r.ports.control) {
			return p.name
		}
	}
	return address
}

// awaitReady waits until each entry host says that it is ready.
func (r *run) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, p := range r.fronts {
		for !r.isReady(p) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s isn't ready", errSetup, p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (r *run) isReady(p *process) bool {
	resp, err := oneCall.Get(fmt.Sprintf("http://%s:%d/api/ready", p.ip, r.ports.ready))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
}

func newRoute(name, prefix, kind, service string, timeoutMs float64) route {
	return route{
		Name:            name,
		Host:            clientHost,
		PathPrefix:      prefix,
		Kind:            kind,
		TimeoutMs:       timeoutMs,
		TargetLatencyMs: timeoutMs / 6,
		Priority:        2,
		Service:         service,
		MaxAttempts:     2,
	}
}

func config(version int, services []string, routes ...route) []byte {
	type service struct {
		Name           string `json:"name"`
		HealthPath     string `json:"healthPath"`
		MaxConnections int    `json:"maxConnections"`
		Protocol       string `json:"protocol"`
		TLS            bool   `json:"tls"`
	}
	var list []service
	for _, s := range services {
		list = append(list, service{
			Name:           s,
			HealthPath:     "/healthz",
			MaxConnections: 100,
			Protocol:       "h1",
		})
	}
	b, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": list,
		"limits": map[string]any{
			"maxHeaderBytes":  16384,
			"maxBodyBytes":    4194304,
			"headerTimeoutMs": 3000,
			"idleTimeoutMs":   15000,
		},
	})
	if err != nil {
		panic(err)
	}
	return b
}
