package hingeinventory

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// An operator writes a key as it is into the rules. It must not travel on: the configuration's items stand on every disk host, in
// the history and in what `get` writes, where others read them. The customer is known by the key all the same.
func TestKeysStayOnTheOperatorsMachine(t *testing.T) {
	const secret = "kwq81-secret"
	inv, r := example(t, "viviers")
	rank := 90
	r.Customers = []Customer{
		{
			Name:     "quai-nord",
			Keys:     []string{secret},
			Priority: &rank,
		},
		{
			Name:       "quai-sud",
			KeyDigests: []string{DigestText("other")},
		},
	}
	items := Split(&inv, &r)
	_, rules := Format(&inv, &r)
	for path, document := range items {
		if strings.Contains(string(document), secret) {
			t.Errorf("item %s holds the key", path)
		}
	}
	if strings.Contains(string(rules), secret) {
		t.Error("the rules hold the key")
	}
	_, joined, err := FromItems(items)
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[hingecustomers.Key]hingeids.CallerID)
	for _, k := range []hingecustomers.Key{secret, "other", "nobody's"} {
		if c := joined.CustomerSet().Holder(k); c != nil {
			got[k] = c.Name
		}
	}
	want := map[hingecustomers.Key]hingeids.CallerID{
		secret:  "quai-nord",
		"other": "quai-sud",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	if p := joined.CustomerSet().Holder(secret).Priority; p == nil || *p != rank {
		t.Errorf("priority %v", p)
	}
}
