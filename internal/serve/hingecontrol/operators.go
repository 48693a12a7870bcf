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

// poisonPath is where operators read and change the list of the requests that end servers.
const poisonPath = "/poison"

// Operators answers operators of a control host: GET of the list, PUT and DELETE of one request by its print. A change is
// answered once it is agreed on.
type Operators struct {
	Control *Control
}

var _ hingewire.Handler = Operators{}

// Serve answers one question.
func (o Operators) Serve(ctx context.Context, r *hingewire.Request, w *hingewire.Writer) {
	name, one := strings.CutPrefix(r.Target, poisonPath+"/")
	switch {
	case r.Target == poisonPath && r.Method == http.MethodGet:
		o.list(w)
	case one && r.Method == http.MethodPut:
		o.change(ctx, w, name, func(p hingeids.Fingerprint) hingepoison.Record {
			return hingepoison.Record{
				Fingerprint: p,
				First:       time.Now().UnixMilli(),
				Since:       time.Now().UnixMilli(),
			}
		})
	case one && r.Method == http.MethodDelete:
		o.change(ctx, w, name, func(p hingeids.Fingerprint) hingepoison.Record {
			return hingepoison.Lift(time.Now(), p)
		})
	default:
		tellOperator(w, http.StatusNotFound, "no such route")
	}
}

// record is a request on the list, as operators read it.
type record struct {
	Print   hingeids.Fingerprint `json:"print"`
	Service hingeids.Service     `json:"service,omitempty"`
	Caller  hingeids.CallerID    `json:"caller,omitempty"`
	Ended   int                  `json:"ended"`
	Servers []hingeids.ServerID  `json:"servers,omitempty"`
	First   time.Time            `json:"first"`
	Since   time.Time            `json:"since"`
	// TriedInMs is when it is tried again; zero or less if it is due.
	TriedInMs int64 `json:"triedInMs"`
	Trials    int   `json:"trials,omitempty"`
	Doubtful  bool  `json:"doubtful,omitempty"`
}

func (o Operators) list(w *hingewire.Writer) {
	now := time.Now()
	l := o.Control.PoisonRequests().Load()
	var records []record
	for _, r := range l.Refused() {
		records = append(records, record{
			Print:     r.Fingerprint,
			Service:   r.Service,
			Caller:    r.Caller,
			Ended:     r.Crashes,
			Servers:   r.Servers,
			First:     time.UnixMilli(r.First).UTC(),
			Since:     time.UnixMilli(r.Since).UTC(),
			TriedInMs: r.Wait(now).Milliseconds(),
			Trials:    r.FailedProbes,
			Doubtful:  r.Doubtful,
		})
	}
	tellOperator(w, http.StatusOK, struct {
		Revision uint64   `json:"revision"`
		Records  []record `json:"records"`
	}{
		Revision: l.Revision,
		Records:  records,
	})
}

func (o Operators) change(ctx context.Context, w *hingewire.Writer, name string, of func(hingeids.Fingerprint) hingepoison.Record) {
	var p hingeids.Fingerprint
	if err := p.UnmarshalText([]byte(name)); err != nil || p == 0 {
		tellOperator(w, http.StatusBadRequest, "a print is sixteen hexadecimal digits")
		return
	}
	if err := o.Control.proposeRecord(ctx, of(p)); err != nil {
		tellOperator(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	tellOperator(w, http.StatusOK, "agreed on")
}

func tellOperator(w *hingewire.Writer, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		// Only our own types stand in it, and all can be encoded.
		panic(err)
	}
	w.WriteResponse(status, http.Header{
		"Content-Type": {"application/json"},
	}, append(b, '\n'))
}
