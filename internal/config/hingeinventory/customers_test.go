package hingeinventory

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/swifthinge/swifthinge/internal/config/hingecustomers"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Guards against API keys in items or formatted files, which other operators can read. Their
// digests must still identify the customers.
func TestItemsAndFilesHoldOnlyKeyDigests(t *testing.T) {
	const secret = "kwq81-secret"
	inv, r := example(t, "viviers")
	priority := 90
	r.Customers = []Customer{
		{
			Name:     "quai-nord",
			Keys:     []string{secret},
			Priority: &priority,
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
			t.Errorf("item %s contains the key", path)
		}
	}
	if strings.Contains(string(rules), secret) {
		t.Error("the formatted rules contain the key")
	}
	_, joined, err := FromItems(items)
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[hingecustomers.Key]hingeids.CallerID)
	for _, k := range []hingecustomers.Key{secret, "other", "nobody's"} {
		if c := joined.CustomerSet().CustomerByKey(k); c != nil {
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
	if p := joined.CustomerSet().CustomerByKey(secret).Priority; p == nil || *p != priority {
		t.Errorf("unexpected priority %v", p)
	}
}
