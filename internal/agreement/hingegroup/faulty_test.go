package hingegroup

import (
	"context"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingefolder"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/link/hingefake"
	"github.com/swifthinge/swifthinge/internal/link/hingelink"
)

var (
	errProcessKilled = eris.New("the process was killed")
	errNoAnswer      = eris.New("the host doesn't answer")
)

// process is one run of a host's process. Clock, link and disk of the process stop while it is frozen, so
// that its goroutines stop wherever they are.
type process struct {
	mu     sync.Mutex
	thawed chan struct{}
	dead   chan struct{}
}

func newProcess() *process {
	p := &process{
		thawed: make(chan struct{}),
		dead:   make(chan struct{}),
	}
	close(p.thawed)
	return p
}

func (p *process) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.thawed = make(chan struct{})
}

func (p *process) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.thawed)
}

// pass blocks while the process is frozen. It reports false once the process was killed.
func (p *process) pass() bool {
	p.mu.Lock()
	thawed := p.thawed
	p.mu.Unlock()
	select {
	case <-thawed:
	case <-p.dead:
	}
	return !p.isDead()
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

func (p *process) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.dead:
	}
	return p.pass()
}

func (p *process) now() time.Time {
	p.pass()
	return time.Now()
}

// draws is a source of random numbers for concurrent use.
type draws struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newDraws(seed, stream uint64) *draws {
	return &draws{
		random: rand.New(rand.NewPCG(seed, stream)),
	}
}

func (d *draws) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

func (d *draws) perm(n int) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Perm(n)
}

func (d *draws) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.intN(int(high-low)+1))
}

// storedFile survives the process; what follows the synced bytes may not survive a power failure.
type storedFile struct {
	content []byte
	synced  int
}

// faultyDisk takes time for a sync, can be slow or full, and forgets at a power failure what wasn't synced.
type faultyDisk struct {
	names   map[string]*storedFile
	durable map[string]*storedFile
	mu      sync.Mutex
	// stalledUntil is the time until which syncs wait.
	stalledUntil time.Time
	syncTime     time.Duration
	full         bool
	// syncing is the number of syncs in progress.
	syncing int
}

// usualSyncTime is that of the disks of the platform's sites.
const usualSyncTime = 5 * time.Millisecond

func newFaultyDisk() *faultyDisk {
	return &faultyDisk{
		names:    make(map[string]*storedFile),
		durable:  make(map[string]*storedFile),
		syncTime: usualSyncTime,
	}
}

// clone returns a copy of a disk that no process uses, with everything on it durable.
func (d *faultyDisk) clone() *faultyDisk {
	c := newFaultyDisk()
	for n, file := range d.names {
		c.names[n] = &storedFile{
			content: slices.Clone(file.content),
			synced:  len(file.content),
		}
		c.durable[n] = c.names[n]
	}
	return c
}

func (d *faultyDisk) setFault(syncTime time.Duration, stalledUntil time.Time, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncTime = syncTime
	d.stalledUntil = stalledUntil
	d.full = full
}

func (d *faultyDisk) isSyncing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncing > 0
}

func (d *faultyDisk) sync(p *process) error {
	d.mu.Lock()
	wait := max(d.syncTime, time.Until(d.stalledUntil))
	d.syncing++
	d.mu.Unlock()
	survives := p.sleep(wait)
	d.mu.Lock()
	d.syncing--
	d.mu.Unlock()
	if !survives {
		return errProcessKilled
	}
	return nil
}

func (d *faultyDisk) checkWrite(p *process) error {
	if !p.pass() {
		return errProcessKilled
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return errDiskFull
	}
	return nil
}

// losePower keeps synced content, and each change of a name and each unsynced write by chance.
func (d *faultyDisk) losePower(random *draws) {
	for _, n := range slices.Sorted(keysOf(d.names, d.durable)) {
		kept := d.durable[n]
		if random.intN(2) == 0 {
			kept = d.names[n]
		}
		delete(d.names, n)
		if kept != nil {
			d.names[n] = kept
		}
	}
	d.durable = make(map[string]*storedFile)
	for _, n := range slices.Sorted(keysOf(d.names)) {
		file := d.names[n]
		file.content = file.content[:file.synced+random.intN(len(file.content)-file.synced+1)]
		file.synced = len(file.content)
		d.durable[n] = file
	}
}

func keysOf(maps ...map[string]*storedFile) func(func(string) bool) {
	return func(yield func(string) bool) {
		seen := make(map[string]bool)
		for _, m := range maps {
			for k := range m {
				if !seen[k] && !yield(k) {
					return
				}
				seen[k] = true
			}
		}
	}
}

// diskView is a process's access to a disk, which ends with the process.
type diskView struct {
	disk    *faultyDisk
	process *process
}

var _ hingefolder.Directory = diskView{}

func (v diskView) List() ([]string, error) {
	return slices.Sorted(keysOf(v.disk.names)), nil
}

func (v diskView) Read(name string) ([]byte, error) {
	file := v.disk.names[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.content), nil
}

func (v diskView) Create(name string) (hingefolder.File, error) {
	if err := v.disk.checkWrite(v.process); err != nil {
		return nil, err
	}
	v.disk.names[name] = &storedFile{}
	return v.OpenAppend(name)
}

func (v diskView) OpenAppend(name string) (hingefolder.File, error) {
	file := v.disk.names[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return &fileView{
		view: v,
		file: file,
	}, nil
}

func (v diskView) Truncate(name string, size int64) error {
	if err := v.disk.checkWrite(v.process); err != nil {
		return err
	}
	file := v.disk.names[name]
	file.content = file.content[:size]
	if err := v.disk.sync(v.process); err != nil {
		return err
	}
	file.synced = int(size)
	return nil
}

func (v diskView) Rename(from, to string) error {
	if err := v.disk.checkWrite(v.process); err != nil {
		return err
	}
	v.disk.names[to] = v.disk.names[from]
	delete(v.disk.names, from)
	return nil
}

func (v diskView) Remove(name string) error {
	if err := v.disk.checkWrite(v.process); err != nil {
		return err
	}
	delete(v.disk.names, name)
	return nil
}

func (v diskView) Sync() error {
	if err := v.disk.sync(v.process); err != nil {
		return err
	}
	v.disk.durable = make(map[string]*storedFile)
	for n, file := range v.disk.names {
		v.disk.durable[n] = file
	}
	return nil
}

type fileView struct {
	view diskView
	file *storedFile
}

func (f *fileView) Write(b []byte) (int, error) {
	if err := f.view.disk.checkWrite(f.view.process); err != nil {
		return 0, err
	}
	f.file.content = append(f.file.content, b...)
	return len(b), nil
}

func (f *fileView) Sync() error {
	written := len(f.file.content)
	if err := f.view.disk.sync(f.view.process); err != nil {
		return err
	}
	f.file.synced = max(f.file.synced, written)
	return nil
}

func (f *fileView) Close() error {
	return nil
}

// wires is the network of a fleet: which processes run, and which hosts are cut from all others.
type wires struct {
	network *hingefake.Network
	mu      sync.Mutex
	running map[hingeids.HostID]*process
	cut     map[hingeids.HostID]bool
}

func newWires() *wires {
	return &wires{
		network: hingefake.NewNetwork(),
		running: make(map[hingeids.HostID]*process),
		cut:     make(map[hingeids.HostID]bool),
	}
}

func (w *wires) setCut(id hingeids.HostID, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[id] = cut
}

func (w *wires) reaches(from, to hingeids.HostID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut[from] && !w.cut[to] && w.running[to] != nil && w.running[from] != nil
}

func (w *wires) link(id hingeids.HostID, p *process) *faultyLink {
	link := w.network.Link(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[id] = p
	return &faultyLink{
		Link:    link,
		wires:   w,
		process: p,
	}
}

func (w *wires) remove(id hingeids.HostID) {
	w.network.Remove(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, id)
}

const (
	wireDelay = time.Millisecond
	// A call to a host that doesn't answer ends after dialAttempts times dialInterval, the dial
	// timeout of hingelink.
	dialInterval = 50 * time.Millisecond
	dialAttempts = 20
)

// faultyLink is the link of one process. Traffic to a host that is cut, frozen or down gets no answer.
type faultyLink struct {
	*hingefake.Link
	wires   *wires
	process *process
}

var _ hingelink.Link = (*faultyLink)(nil)

func (l *faultyLink) Send(to hingeids.HostID, method hingelink.Method, body []byte) {
	if !l.process.pass() {
		return
	}
	time.AfterFunc(wireDelay, func() {
		if l.wires.reaches(l.Self(), to) {
			l.Link.Send(to, method, body)
		}
	})
}

func (l *faultyLink) Reply(to hingeids.HostID, method hingelink.Method, body []byte) {
	l.Send(to, method, body)
}

func (l *faultyLink) HandleDatagram(method hingelink.Method, h hingelink.DatagramHandler) {
	l.Link.HandleDatagram(method, func(from hingeids.HostID, body []byte) {
		if l.process.pass() {
			h(from, body)
		}
	})
}

func (l *faultyLink) HandleCall(method hingelink.Method, h hingelink.CallHandler) {
	l.Link.HandleCall(method, func(ctx context.Context, from hingeids.HostID, body []byte) ([]byte, error) {
		if !l.process.pass() {
			return nil, linkDown(hingeverdict.NotRun)
		}
		b, err := h(ctx, from, body)
		l.process.pass()
		return b, err
	})
}

func linkDown(v hingeverdict.Verdict) error {
	return hingeverdict.New(v, hingeverdict.CodeLinkDown, 0, errNoAnswer)
}

type callAnswer struct {
	body []byte
	err  error
}

func (l *faultyLink) Call(ctx context.Context, to hingeids.HostID, method hingelink.Method, body []byte) ([]byte, error) {
	answers := make(chan callAnswer, 1)
	go func() {
		answers <- l.call(ctx, to, method, body)
	}()
	var a callAnswer
	select {
	case a = <-answers:
	case <-ctx.Done():
		a.err = linkDown(hingeverdict.MayHaveRun)
	case <-l.process.dead:
		a.err = linkDown(hingeverdict.MayHaveRun)
	}
	l.process.pass()
	return a.body, a.err
}

func (l *faultyLink) call(ctx context.Context, to hingeids.HostID, method hingelink.Method, body []byte) callAnswer {
	for range dialAttempts {
		if !l.process.sleep(wireDelay) || ctx.Err() != nil {
			break
		}
		if l.wires.reaches(l.Self(), to) {
			return l.callReachable(ctx, to, method, body)
		}
		l.process.sleep(dialInterval)
	}
	return callAnswer{
		err: linkDown(hingeverdict.NotRun),
	}
}

func (l *faultyLink) callReachable(ctx context.Context, to hingeids.HostID, method hingelink.Method, body []byte) callAnswer {
	b, err := l.Link.Call(ctx, to, method, body)
	l.process.sleep(wireDelay)
	if !l.wires.reaches(to, l.Self()) {
		// The answer is lost.
		l.process.sleep(dialAttempts * dialInterval)
		return callAnswer{
			err: linkDown(hingeverdict.MayHaveRun),
		}
	}
	return callAnswer{
		body: b,
		err:  err,
	}
}
