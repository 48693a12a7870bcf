package hingeids

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against request ids that change when they are formatted and parsed again.
func TestRequestIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := RequestID{
			Instance: Instance{
				Host:        HostID(rapid.StringMatching(`[a-z0-9.-]{1,30}`).Draw(t, "host")),
				Incarnation: Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			},
			Sequence: rapid.Uint64().Draw(t, "sequence"),
			Attempt:  rapid.Uint16().Draw(t, "attempt"),
		}
		got, err := ParseRequestID(want.String())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzParseRequestID(f *testing.F) {
	f.Add("cancale-1.a.b")
	f.Add("..")
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseRequestID(s)
		if err != nil {
			return
		}
		again, err := ParseRequestID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q parsed as %v, which parsed as %v: %v", s, id, again, err)
		}
	})
}
