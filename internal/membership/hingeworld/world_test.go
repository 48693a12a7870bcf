package hingeworld

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const fleetService = hingeids.Service("redacteur")

// beat is a heartbeat of an engine at the one address of these tests.
func beat(id hingeids.ServerID, sequence uint64) hingeannounce.Announcement {
	return hingeannounce.Announcement{
		Server:      id,
		Incarnation: 1,
		Sequence:    sequence,
		Kind:        hingeannounce.Decode,
		Zone:        "cancale",
		Address:     "10.0.0.1:80",
		Service:     fleetService,
	}
}

// used names the engines that streams may be placed on.
func used(d *hingeannounce.Directory) []hingeids.ServerID {
	var out []hingeids.ServerID
	for _, e := range Build(nil, d.Since(0)).Engines()[fleetService] {
		out = append(out, e.Server)
	}
	return out
}

// An engine crashes and is restarted at its address within two seconds, under a new
// name. Its old life is found silent only after the new one has announced itself. If that
// news took the address away from the new life, a healthy engine would get no work until
// the old one is forgotten, ten minutes later, and callers would be refused meanwhile.
func TestRestartedEngineIsUsedAfterItsOldLifeIsFoundSilent(t *testing.T) {
	d := hingeannounce.NewDirectory("control-1")
	now := began
	for i := range uint64(10) {
		now = now.Add(time.Second)
		d.Hear(now, beat("engine-before", i))
	}
	restarted := now.Add(2 * time.Second)
	d.Hear(restarted, beat("engine-after", 0))
	for i := range uint64(40) {
		now = restarted.Add(time.Duration(i) * 250 * time.Millisecond)
		if i%4 == 0 {
			d.Hear(now, beat("engine-after", i+1))
		}
		d.Step(now)
		if diff := cmp.Diff([]hingeids.ServerID{"engine-after"}, used(d)); diff != "" {
			t.Fatalf("%v after the restart: %s", now.Sub(restarted), diff)
		}
	}
}

// The same engine's last heartbeat was held up behind a cut and comes after its
// successor's first. It would bring the old life back, and requests for it
// would be turned away by the new one.
func TestHeldUpHeartbeatDoesNotTakeTheAddressBack(t *testing.T) {
	d := hingeannounce.NewDirectory("control-1")
	d.Hear(began, beat("engine-before", 1))
	d.Hear(began.Add(2*time.Second), beat("engine-after", 0))
	d.Hear(began.Add(3*time.Second), beat("engine-before", 2))
	d.Merge(began.Add(3*time.Second), hingeannounce.Record{
		Announcement: beat("engine-before", 3),
		Owner:        "control-2",
	})
	if diff := cmp.Diff([]hingeids.ServerID{"engine-after"}, used(d)); diff != "" {
		t.Fatal(diff)
	}
}

// An engine crashes and starts again under the id that it had, at another address. Whoever sends it
// streams must not believe of the new life what was learned of the old one: it may have been
// left alone for failing, or be thought full of streams that ended with it.
func TestNewLifeHasANameOfItsOwn(t *testing.T) {
	d := hingeannounce.NewDirectory("control-1")
	old := beat("engine", 9)
	old.Incarnation = 100
	d.Hear(began, old)
	if diff := cmp.Diff([]hingeids.ServerID{"engine#100"}, used(d)); diff != "" {
		t.Fatal(diff)
	}
	reborn := beat("engine", 1)
	reborn.Incarnation = 200
	reborn.Address = "10.0.0.2:80"
	d.Hear(began.Add(time.Second), reborn)
	if diff := cmp.Diff([]hingeids.ServerID{"engine#200"}, used(d)); diff != "" {
		t.Fatal(diff)
	}
	w := Build(nil, d.Since(0))
	if a, _ := w.Address("engine#200"); a != "10.0.0.2:80" {
		t.Fatalf("the new life is at %q", a)
	}
	if a, there := w.Address("engine#100"); there {
		t.Fatalf("the old life still is at %q", a)
	}
}

// Another writer announces a server of a service that nobody configured, or a plain replica of a service of engines,
// at the address of a good engine. If it took the address, the engine would get no work for as
// long as the writer goes on.
func TestServerThatFitsNoServiceTakesNoAddress(t *testing.T) {
	table := &hingeroutes.Table{
		Services: map[hingeids.Service]hingeroutes.Service{
			fleetService: {
				Engine: &hingeroutes.Engine{},
			},
		},
	}
	for _, other := range []hingeannounce.Announcement{
		{
			Service: "nobody's",
			Kind:    hingeannounce.Decode,
		},
		{
			Service: fleetService,
			Kind:    hingeannounce.Service,
		},
	} {
		d := hingeannounce.NewDirectory("control-1")
		d.Hear(began, beat("engine", 1))
		other.Server = "other"
		other.Incarnation = 1
		other.Address = "10.0.0.1:80"
		d.Hear(began.Add(time.Second), other)
		w := Build(table, d.Since(0))
		if a, _ := w.Address("engine"); a != "10.0.0.1:80" {
			t.Errorf("%+v leaves the engine at %q", other, a)
		}
		if len(w.Replicas()[fleetService]) != 1 {
			t.Errorf("%+v: replicas %+v", other, w.Replicas()[fleetService])
		}
	}
}

// Three hundred hosts hear of two engines in different orders. Somebody who follows one request over their logs has to see which
// of them knew the same, and what control hosts wrote at the change that made the difference.
func TestVersionNamesWhatIsKnown(t *testing.T) {
	other := beat("other", 1)
	other.Address = "10.0.0.2:80"
	one, two := hingeannounce.NewDirectory("control-1"), hingeannounce.NewDirectory("control-2")
	one.Hear(began, beat("engine", 1))
	before := Build(nil, one.Since(0))
	one.Hear(began, other)
	two.Hear(began, other)
	two.Hear(began, beat("engine", 1))
	after := Build(nil, one.Since(0))
	if x, y := after.Version(), Build(nil, two.Since(0)).Version(); x != y {
		t.Errorf("the same servers are %s and %s", x, y)
	}
	if after.Version() == before.Version() {
		t.Errorf("one and two servers are both %s", after.Version())
	}
	usable, gone := after.Since(before)
	if diff := cmp.Diff([]hingeids.ServerID{"other"}, usable); diff != "" || len(gone) > 0 {
		t.Errorf("gone %v, usable %s", gone, diff)
	}
	usable, gone = before.Since(after)
	if diff := cmp.Diff([]hingeids.ServerID{"other"}, gone); diff != "" || len(usable) > 0 {
		t.Errorf("usable %v, gone %s", usable, diff)
	}
	if v := Build(&hingeroutes.Table{
		Version: 7,
	}, nil).Version(); v != "7/00000000" {
		t.Errorf("nothing but a configuration is %s", v)
	}
}
