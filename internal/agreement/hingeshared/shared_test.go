package hingeshared

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/agreement/hingeversion"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
)

func apply(t *testing.T, m *Machine, p interface{ Encode() ([]byte, error) }) {
	t.Helper()
	b, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(0, b)
}

func record(since uint64) hingepoison.Record {
	return hingepoison.Record{
		Fingerprint: 7,
		Service:     "model",
		Crashes:     3,
		Since:       int64(since),
	}
}

// Guards against losing the list when all hosts restart: a poison request would crash
// more servers before it is detected again.
func TestListSurvivesARestart(t *testing.T) {
	m := New()
	config := hingeversion.Document{
		Version: 4,
		Body:    []byte("routes"),
	}
	apply(t, m, config)
	apply(t, m, Change{
		Record: record(1),
	})
	next := New()
	if err := next.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&config, next.Documents().Load()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(m.PoisonRequests().Load(), next.PoisonRequests().Load()); diff != "" {
		t.Error(diff)
	}
	if _, found := next.PoisonRequests().Load().Find(7); !found {
		t.Error("the request is missing from the list")
	}
	apply(t, next, Change{
		Record: hingepoison.Lift(time.UnixMilli(2), 7),
	})
	if l := next.PoisonRequests().Load(); len(l.Refused()) != 0 || l.Revision != 2 {
		t.Errorf("list is %+v after the block was lifted", l)
	}
}

// Guards against an upgrade that can't read a log and snapshot without a list, and
// against a downgrade that can't read one with it.
func TestStateWithoutAListIsCompatible(t *testing.T) {
	old := hingeversion.New()
	d := hingeversion.Document{
		Version: 9,
		Body:    []byte("routes"),
	}
	b, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	old.Apply(0, b)
	m := New()
	if err := m.Restore(old.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&d, m.Documents().Load()); diff != "" {
		t.Error(diff)
	}
	// An older build reads the configuration and ignores the list.
	apply(t, m, Change{
		Record: record(1),
	})
	if err := old.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	change, err := Change{
		Record: record(2),
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	old.Apply(0, change)
	if diff := cmp.Diff(&d, old.Documents().Load()); diff != "" {
		t.Error(diff)
	}
}

func FuzzApply(f *testing.F) {
	b, _ := Change{
		Record: record(1),
	}.Encode()
	f.Add(b)
	f.Add([]byte{0x82})
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		m.Apply(0, data)
		if err := New().Restore(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
