package hingeadmin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
	"github.com/swifthinge/swifthinge/internal/observe/hingetimeline"
)

var testNow = time.Unix(1000, 0)

// stub implements the dependencies of a Handler on a host that retains
// revisions 5 to 7.
type stub struct {
	proposed []Change
	err      error
}

func (s *stub) Propose(_ context.Context, c Change, _ time.Time) (AcceptedChange, error) {
	s.proposed = append(s.proposed, c)
	return AcceptedChange{
		Revision: 8,
	}, s.err
}

func (s *stub) At(r hingeids.Revision) (Snapshot, error) {
	switch {
	case r > 0 && r < 5:
		return Snapshot{}, ErrRevisionNotRetained
	case r > 7:
		return Snapshot{}, ErrRevisionNotApplied
	default:
		return Snapshot{
			Revision: 7,
		}, nil
	}
}

func (s *stub) History() []AcceptedChange {
	return nil
}

func (s *stub) Status(time.Time) Status {
	return Status{}
}

func (s *stub) Drain(time.Time) int {
	return 0
}

func sendRequest(s *stub, events *hingeevents.Recorder, method, uri, body string) (int, Failure, []byte) {
	h := NewHandler(Config{
		Configuration: s,
		Status:        s,
		Drainer:       s,
		Events:        events,
		Clock: func() time.Time {
			return testNow
		},
	})
	var c fasthttp.RequestCtx
	c.Request.Header.SetMethod(method)
	c.Request.SetRequestURI(uri)
	c.Request.SetBodyString(body)
	h.Handle(&c)
	var f Failure
	_ = json.Unmarshal(c.Response.Body(), &f)
	return c.Response.StatusCode(), f, c.Response.Body()
}

// Guards against proposing changes that are malformed or can't be validated, and
// against error responses without code or with the wrong verdict.
func TestRefusedChanges(t *testing.T) {
	good := `"changeId":"a","operator":"mael","puts":{"models/m":"name='m'"}`
	// The values are the HTTP status, the code and the number of proposed changes.
	want := map[string]string{
		`{`:                               "400 1001 0",
		`{` + good + `} {}`:               "400 1001 0",
		`{"expectedRevison":5}`:           "400 1001 0",
		`{"changeId":"a"}`:                "400 1001 0",
		`{"changeId":"a","operator":"b"}`: "400 1001 0",
		`{"changeId":"a","operator":"b","puts":{"x":""},"deletes":["x"]}`: "400 1001 0",
		`{"changeId":"` + strings.Repeat("x", MaxChangeBytes) + `"}`:      "413 1002 0",
		`{"expectedRevision":5,` + good + `}`:                             "422 1001 0",
		`{"expectedRevision":9,` + good + `}`:                             "503 4002 0",
		// The revision is no longer retained, so the log decides whether it is a resend.
		`{"expectedRevision":2,` + good + `}`: "200 0 1",
	}
	got := make(map[string]string)
	for body := range want {
		s := &stub{}
		status, f, _ := sendRequest(s, nil, "POST", "/v1/changes", body)
		got[body] = fmt.Sprint(status, f.Code, len(s.proposed))
		if status != 200 && f.Verdict != "notRun" {
			t.Errorf("%.60s: verdict %s", body, f.Verdict)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// Guards against reporting a change as not accepted when the quorum was lost
// while the change was being proposed.
func TestUncertainChange(t *testing.T) {
	s := &stub{
		err: errors.New("the link broke"),
	}
	status, f, _ := sendRequest(s, nil, "POST", "/v1/changes", `{"changeId":"a","operator":"b","expectedRevision":2,"deletes":["x"]}`)
	if status != 500 || f.Verdict != "mayHaveRun" {
		t.Errorf("status %d, verdict %s", status, f.Verdict)
	}
}

// Guards against reporting events as dropped when all events of the requested
// period are retained.
func TestEventsSince(t *testing.T) {
	r := hingeevents.NewRecorder(hingeids.Instance{
		Host: "cancale-1",
	})
	for i := range 20000 {
		r.Record(testNow.Add(time.Duration(i)*time.Second), hingeevents.ProcessStarted, hingeevents.Fields{})
	}
	for uri, want := range map[string]hingetimeline.Source{
		"/v1/events": {
			Dropped: true,
		},
		"/v1/events?since=20900000000000": {},
	} {
		_, _, body := sendRequest(&stub{}, r, "GET", uri, "")
		var got hingetimeline.Source
		if err := json.Unmarshal(body, &got); err != nil {
			t.Fatal(err)
		}
		if got.Dropped != want.Dropped || len(got.Events) == 0 {
			t.Errorf("%s: dropped %v, %d events", uri, got.Dropped, len(got.Events))
		}
	}
	if status, f, _ := sendRequest(&stub{}, r, "GET", "/v1/events?since=yesterday", ""); status != 400 || f.Code != hingeverdict.CodeMalformed {
		t.Errorf("since=yesterday: status %d, code %d", status, f.Code)
	}
	if status, _, _ := sendRequest(&stub{}, r, "PUT", "/v1/changes", ""); status != 404 {
		t.Errorf("PUT: status %d", status)
	}
}

func FuzzChange(f *testing.F) {
	f.Add(`{"changeId":"a","operator":"b","expectedRevision":5,"puts":{"models/m":"name = 'm'"},"deletes":["zones/z"]}`)
	f.Add(`{"changeId":"a","operator":"b","puts":{"rules/classes/x":"order = 1\n[class]\nname = 'x'"}}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		s := &stub{}
		status, failure, _ := sendRequest(s, nil, "POST", "/v1/changes", body)
		if status != 200 && (failure.Code == 0 || failure.Error == "") {
			t.Fatalf("status %d without an error code or text", status)
		}
		if (status == 200) != (len(s.proposed) == 1) {
			t.Fatalf("status %d, proposed %d times", status, len(s.proposed))
		}
	})
}
