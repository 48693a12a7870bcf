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

func record(p uint64) hingepoison.Record {
	return hingepoison.Record{
		Fingerprint: 7,
		Service:     "model",
		Crashes:     3,
		Since:       int64(p),
	}
}

// All hosts lose power after a request was found that ends servers. If the list weren't in what they read from their disks,
// it would end three more before it is known again.
func TestListOutlivesARestart(t *testing.T) {
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
	if diff := cmp.Diff(&config, next.Views().Load()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(m.Poisons().Load(), next.Poisons().Load()); diff != "" {
		t.Error(diff)
	}
	if _, found := next.Poisons().Load().Find(7); !found {
		t.Error("the request isn't on the list any more")
	}
	apply(t, next, Change{
		Record: hingepoison.Lift(time.UnixMilli(2), 7),
	})
	if l := next.Poisons().Load(); len(l.Refused()) != 0 || l.Revision != 2 {
		t.Errorf("%+v after it was lifted", l)
	}
}

// A host is brought to this build: its disk holds a log and a snapshot that know of no list.
func TestStateThatWasWrittenBeforeTheListIsRead(t *testing.T) {
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
	if diff := cmp.Diff(&d, m.Views().Load()); diff != "" {
		t.Error(diff)
	}
	// The other way round an older build reads the configuration, and passes the list over.
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
	if diff := cmp.Diff(&d, old.Views().Load()); diff != "" {
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
