package hingeinventory

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against routes that match partial path segments, so that a request that must not be
// retried gets another class, and against allocations per request.
func TestClassify(t *testing.T) {
	classes := make(map[string]string)
	want := map[string]string{
		"viviers GET /viviers/lots":                "lot-status",
		"viviers GET /viviers/lots/7":              "lot-status",
		"viviers GET /viviers/lotsize":             "dispatch",
		"viviers POST /viviers/lots/7":             "dispatch",
		"viviers POST /v1/completions":             "declarations",
		"viviers POST /v1/chat/completions":        "quay-questions",
		"smriti POST /darshan/guestbook/uncle":     "guestbook-writes",
		"smriti GET /darshan/guestbook/uncle":      "pages",
		"smriti POST /v1/completions":              "eulogy-summaries",
		"smriti GET /somewhere":                    "default",
		"smriti POST /darshan/guestbookings/uncle": "pages",
	}
	for request := range want {
		fields := strings.Fields(request)
		workload, method, path := fields[0], fields[1], fields[2]
		inv, rules := example(t, workload)
		attributes := RequestAttributes{
			Route:  path,
			Method: method,
		}
		if s, ok := inv.ServiceOf(path); ok {
			attributes.Service = s
		} else if underRoute(path, "/v1") {
			attributes.Model = inv.Models[0].Name
		}
		classes[request] = rules.Classify(attributes).Name
	}
	if diff := cmp.Diff(want, classes); diff != "" {
		t.Errorf("classes (-want +got):\n%s", diff)
	}
	_, rules := example(t, "viviers")
	attributes := RequestAttributes{
		Model: "redacteur",
		Route: "/v1/completions",
	}
	if n := testing.AllocsPerRun(100, func() {
		rules.Classify(attributes)
	}); n != 0 {
		t.Errorf("classifying a request allocates %v times", n)
	}
}
