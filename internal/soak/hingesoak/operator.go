package hingesoak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	hingeplatform "github.com/swifthinge/swifthinge/platform"
)

// operator changes the configuration and reads it back.
type operator struct {
	fleet    *fleet
	checker  *checker
	version  atomic.Uint64
	sequence atomic.Uint64
	// ownRoutes adds to each version a route of its own, besides those of the versions before.
	ownRoutes bool
	// growth is the number of routes that each version has more than the one before.
	growth int
	// changes sends, reads and judges in place of the operator in a run with changes of all kinds, else it is nil.
	changes *changes
}

// keptRoutes is the number of versions whose own routes a version has: enough for the changes of some seconds.
const keptRoutes = 48

// maxRoutes is the largest number of routes, some 7 MB.
const maxRoutes = 32_000

func newOperator(f *fleet, c *checker, ownRoutes bool, growth int) *operator {
	return &operator{
		fleet:     f,
		checker:   c,
		ownRoutes: ownRoutes,
		growth:    growth,
	}
}

// put returns the call that sends a version, the same each time.
func (o *operator) put(v uint64) hingeplatform.Call {
	var added []string
	for i := max(v, keptRoutes) - keptRoutes + 1; o.ownRoutes && i <= v; i++ {
		added = append(added, ownRoute(i))
	}
	for i := range min(o.growth*int(v), maxRoutes) {
		added = append(added, fmt.Sprintf("/grown-%d/", i))
	}
	return wire.Put(v, requestHost, plainService, engineService, added...)
}

// ownRoute returns the path prefix of a version's own route.
func ownRoute(v uint64) string {
	return fmt.Sprintf("/version-%d/", v)
}

// run sends changes until the context is done, each up to 20 times until it is accepted.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		for try := 0; try < 20 && ctx.Err() == nil && !o.send(ctx, o.version.Load()); try++ {
			sleepUntil(ctx, time.Now().Add(100*time.Millisecond))
		}
		v := o.version.Add(uint64(1 + o.sequence.Load()%3))
		if v%5 == 0 {
			o.sendInvalid(ctx, o.version.Add(1))
			o.version.Add(1)
		}
		sleepUntil(ctx, time.Now().Add(400*time.Millisecond))
	}
}

// sendNext increases the version by step, sends it once and reports whether it was accepted.
func (o *operator) sendNext(ctx context.Context, step uint64) bool {
	if o.changes != nil {
		return o.changes.sendNext(ctx)
	}
	return o.send(ctx, o.version.Add(step))
}

func (o *operator) send(ctx context.Context, v uint64) bool {
	status, _, err := call(ctx, o.nextControl(), o.put(v))
	if err != nil || status != http.StatusOK {
		return false
	}
	o.checker.recordAccepted(v)
	return true
}

// sendInvalid sends a version that is cut short, or whose route has no service. Nobody sends it in a valid form, so that
// reads would show it.
func (o *operator) sendInvalid(ctx context.Context, v uint64) {
	c := wire.Put(v, requestHost, "", engineService)
	if v%2 == 0 {
		c.Body = c.Body[:len(c.Body)/2]
	}
	if status, _, err := call(ctx, o.nextControl(), c); err == nil && status == http.StatusOK {
		o.checker.recordViolation("an invalid change isn't accepted", "", fmt.Sprintf("version %d", v))
	}
}

func (o *operator) nextControl() string {
	controls := o.fleet.controlHosts()
	return controls[int(o.sequence.Add(1))%len(controls)].settings.ControlAddress
}

// read reads the configuration back periodically until the context is done.
func (o *operator) read(ctx context.Context) {
	for ctx.Err() == nil {
		o.readAt(ctx, o.nextControl())
		sleepUntil(ctx, time.Now().Add(150*time.Millisecond))
	}
}

// readAt reads from one control host and checks that the version isn't older than the newest accepted one before the
// read, and that its content is what was sent. It returns false, and what was answered, if the host returned none.
func (o *operator) readAt(ctx context.Context, address string) (bool, string) {
	if o.changes != nil {
		return o.changes.readAt(ctx, address)
	}
	newestVersion := o.checker.newestVersion()
	status, body, err := call(ctx, address, wire.Get())
	if err != nil || status != http.StatusOK {
		return false, fmt.Sprintf("status %d %s, %v", status, tail(string(body)), err)
	}
	v, err := wire.Version(body)
	if err != nil || v < newestVersion {
		o.checker.recordViolation("reads of the configuration are never stale", "", fmt.Sprintf("%s returns version %d after %d was accepted, %v", address, v, newestVersion, err))
	}
	if !bytes.Equal(body, o.put(v).Body) {
		o.checker.recordViolation("a version is read as it was sent", "", fmt.Sprintf("%s returns other content as version %d", address, v))
	}
	return true, ""
}

// readAll checks a read from every control host after recovery.
func (o *operator) readAll(ctx context.Context) {
	if o.changes != nil {
		o.changes.readBack(ctx)
	}
	for _, p := range o.fleet.controlHosts() {
		if !waitFor(ctx, recoveryTimeout, func() bool {
			ok, _ := o.readAt(ctx, p.settings.ControlAddress)
			return ok
		}) {
			o.checker.recordViolation("the fleet recovers", "", p.name+" doesn't answer reads of the configuration")
		}
	}
}
