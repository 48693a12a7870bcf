package hingeversion

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func apply(t interface{ Fatal(...any) }, m *Machine, d Document) {
	b, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(0, b)
}

// Guards against a machine that applies the last proposal instead of the highest
// version, and so restores removed routes when an older change is resent.
func TestHighestVersionWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 12).Draw(t, "versions")
		m := New()
		highest, body := Version(0), ""
		for i, v := range versions {
			content := string(rune('a' + i))
			before := m.Documents().Load().Version
			apply(t, m, Document{
				Version: Version(v),
				Body:    []byte(content),
			})
			if Version(v) > highest {
				highest, body = Version(v), content
			}
			if after := m.Documents().Load().Version; after < before {
				t.Fatalf("version %d after %d", after, before)
			}
		}
		want := Document{
			Version: highest,
			Body:    []byte(body),
		}
		if diff := cmp.Diff(&want, m.Documents().Load()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against different content under one version, which would leave hosts with
// different configurations.
func TestSameVersionWithOtherContentIsIgnored(t *testing.T) {
	m := New()
	for _, body := range []string{"first", "second"} {
		apply(t, m, Document{
			Version: 7,
			Body:    []byte(body),
		})
	}
	if got := string(m.Documents().Load().Body); got != "first" {
		t.Fatalf("the configuration is %q", got)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	m, other := New(), New()
	apply(t, m, Document{
		Version: 7,
		Body:    []byte("routes"),
	})
	if err := other.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m.Documents().Load(), other.Documents().Load()); diff != "" {
		t.Fatal(diff)
	}
	if err := other.Restore(nil); err != nil || other.Documents().Load().Version != 0 {
		t.Fatalf("an empty snapshot gives %v, error %v", other.Documents().Load(), err)
	}
	if err := other.Restore([]byte("broken")); err == nil {
		t.Fatal("a broken snapshot was restored without an error")
	}
}
