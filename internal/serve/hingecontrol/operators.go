package hingecontrol

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/decide/hingepoison"
	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// poisonPath is the route by which operators read and change the list of poison requests.
const poisonPath = "/poison"

// Operators serves the operators of a control host: GET returns the list of poison requests, PUT and
// DELETE add and lift one by its fingerprint. The response to a change is sent once a quorum has
// accepted it.
type Operators struct {
	Control *Control
}

var _ hingewire.Handler = Operators{}

// Serve handles one request of an operator.
func (o Operators) Serve(ctx context.Context, r *hingewire.Request, w *hingewire.Writer) {
	name, hasName := strings.CutPrefix(r.Target, poisonPath+"/")
	switch {
	case r.Target == poisonPath && r.Method == http.MethodGet:
		o.list(w)
	case hasName && r.Method == http.MethodPut:
		o.change(ctx, w, name, func(fingerprint hingeids.Fingerprint) hingepoison.Record {
			return hingepoison.Record{
				Fingerprint: fingerprint,
				First:       time.Now().UnixMilli(),
				Since:       time.Now().UnixMilli(),
			}
		})
	case hasName && r.Method == http.MethodDelete:
		o.change(ctx, w, name, func(fingerprint hingeids.Fingerprint) hingepoison.Record {
			return hingepoison.Lift(time.Now(), fingerprint)
		})
	default:
		writeJSON(w, http.StatusNotFound, "no such route")
	}
}

type record struct {
	Fingerprint hingeids.Fingerprint `json:"print"`
	Service     hingeids.Service     `json:"service,omitempty"`
	Caller      hingeids.CallerID    `json:"caller,omitempty"`
	Crashes     int                  `json:"ended"`
	Servers     []hingeids.ServerID  `json:"servers,omitempty"`
	First       time.Time            `json:"first"`
	Since       time.Time            `json:"since"`
	// NextProbeInMs is the time until the next probe; zero or negative if the probe is overdue.
	NextProbeInMs int64 `json:"triedInMs"`
	FailedProbes  int   `json:"trials,omitempty"`
	Doubtful      bool  `json:"doubtful,omitempty"`
}

func (o Operators) list(w *hingewire.Writer) {
	now := time.Now()
	l := o.Control.PoisonRequests().Load()
	var records []record
	for _, r := range l.Refused() {
		records = append(records, record{
			Fingerprint:   r.Fingerprint,
			Service:       r.Service,
			Caller:        r.Caller,
			Crashes:       r.Crashes,
			Servers:       r.Servers,
			First:         time.UnixMilli(r.First).UTC(),
			Since:         time.UnixMilli(r.Since).UTC(),
			NextProbeInMs: r.Wait(now).Milliseconds(),
			FailedProbes:  r.FailedProbes,
			Doubtful:      r.Doubtful,
		})
	}
	writeJSON(w, http.StatusOK, struct {
		Revision uint64   `json:"revision"`
		Records  []record `json:"records"`
	}{
		Revision: l.Revision,
		Records:  records,
	})
}

func (o Operators) change(ctx context.Context, w *hingewire.Writer, name string, newRecord func(hingeids.Fingerprint) hingepoison.Record) {
	var fingerprint hingeids.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(name)); err != nil || fingerprint == 0 {
		writeJSON(w, http.StatusBadRequest, "the fingerprint must be 16 hexadecimal digits and not zero")
		return
	}
	if err := o.Control.proposeRecord(ctx, newRecord(fingerprint)); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, "agreed on")
}

func writeJSON(w *hingewire.Writer, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		// All callers pass types of this package, which can be encoded.
		panic(err)
	}
	w.WriteResponse(status, http.Header{
		"Content-Type": {"application/json"},
	}, append(b, '\n'))
}
