package hingefront

import (
	"fmt"
	"testing"
	"time"

	"github.com/swifthinge/swifthinge/internal/config/hingeroutes"
	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/membership/hingeannounce"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// One server leaves in a fleet of hundreds of entry hosts. If each wrote a line on it, whoever looks for a failed request
// would read the same line 300 or 560 times, and half of all lines would be these. Control hosts write it, once each, however
// many entry hosts there are; an entry host writes none, and knows all the same.
func TestEntryHostWritesNoLineOnWhatControlHostsTold(t *testing.T) {
	lines := 0
	life := hingeids.Instance{
		Host:        "entry-1",
		Incarnation: 1,
	}
	f, err := New(Options{
		Life: life,
		Link: "127.0.0.1:0",
		AddressOf: func(hingeids.HostID) (string, error) {
			return "127.0.0.1:1", nil
		},
		Parse: func([]byte) (*hingeroutes.Table, error) {
			return &hingeroutes.Table{}, nil
		},
		Recorder: hingeevents.NewRecorderTo(life, func(hingeevents.Event) {
			lines++
		}, time.Now),
	})
	if err != nil {
		t.Fatal(err)
	}
	var records []hingeannounce.Record
	for i := range 100 {
		records = append(records, hingeannounce.Record{
			Announcement: hingeannounce.Announcement{
				Server:      hingeids.ServerID(fmt.Sprint("app-", i)),
				Incarnation: 1,
				Sequence:    1,
				Kind:        hingeannounce.Service,
				Address:     fmt.Sprint("10.0.0.1:", 1000+i),
				Service:     "app",
			},
			Owner: "control-1",
		})
	}
	f.took(time.Now(), records)
	if got := len(f.Replicas()["app"]); got != 100 {
		t.Errorf("%d servers are known", got)
	}
	if lines != 0 {
		t.Errorf("%d lines", lines)
	}
}
