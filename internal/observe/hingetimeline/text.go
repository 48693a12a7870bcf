package hingetimeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
	"github.com/swifthinge/swifthinge/internal/observe/hingeevents"
)

// WriteText writes one line for each event: wall time, host, number, name,
// fields. Gaps come first (rule 2).
func (t Timeline) WriteText(w io.Writer) error {
	var b strings.Builder
	t.writeGaps(&b)
	for _, e := range t.Events {
		fmt.Fprintf(&b, "%s %s %d %s%s\n", wallTime(e.Stamp), e.Instance.Host, e.Number, name(e.Number), fieldsText(e.Fields))
	}
	return write(w, b.String())
}

// WriteExplanation writes the events that explain a request as sentences, each
// with the time since the request's first event.
func (t Timeline) WriteExplanation(w io.Writer, r hingeids.RequestID) error {
	explained := t.Explain(r)
	var b strings.Builder
	explained.writeGaps(&b)
	if len(explained.Events) == 0 {
		fmt.Fprintf(&b, "no process that answered keeps an event of request %v\n", r)
		return write(w, b.String())
	}
	fmt.Fprintf(&b, "request %v\n", r)
	start := explained.Events[0].Stamp.Wall
	for _, e := range explained.Events {
		since := time.Duration(e.Stamp.Wall - start).Round(10 * time.Microsecond)
		fmt.Fprintf(&b, "%+10v %s: %s%s\n", since, e.Instance.Host, sentence(e.Number), fieldsText(withoutRequest(e.Fields)))
	}
	return write(w, b.String())
}

// WriteJSON writes a JSON line with the processes and gaps, then one for each event.
func (t Timeline) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(struct {
		Processes []hingeids.Instance `json:"processes"`
		Dropped   []hingeids.Instance `json:"dropped"`
		Missing   []hingeids.HostID   `json:"missing"`
	}{
		Processes: notNil(t.Instances),
		Dropped:   notNil(t.Dropped),
		Missing:   notNil(t.Missing),
	}); err != nil {
		return eris.Wrap(err, "write timeline")
	}
	for _, e := range t.Events {
		if err := encoder.Encode(struct {
			Name string    `json:"name"`
			Time time.Time `json:"time"`
			hingeevents.Event
		}{
			Name:  name(e.Number),
			Time:  time.Unix(0, e.Stamp.Wall).UTC(),
			Event: e,
		}); err != nil {
			return eris.Wrap(err, "write timeline")
		}
	}
	return nil
}

func (t Timeline) writeGaps(b *strings.Builder) {
	for _, h := range t.Missing {
		fmt.Fprintf(b, "! no answer from %s: its events are missing below\n", h)
	}
	for _, l := range t.Dropped {
		fmt.Fprintf(b, "! %s has dropped its oldest events: the beginning may be missing below\n", l.Host)
	}
}

func wallTime(s hingeevents.Stamp) string {
	return fmt.Sprintf("%s+%d", time.Unix(0, s.Wall).UTC().Format("2006-01-02T15:04:05.000000Z"), s.Counter)
}

func name(n hingeevents.Number) string {
	if e, ok := hingeevents.Lookup(n); ok {
		return e.Name
	}
	return "unknown"
}

func sentence(n hingeevents.Number) string {
	if e, ok := hingeevents.Lookup(n); ok {
		return fmt.Sprintf("%s (%d)", e.Description, n)
	}
	return fmt.Sprintf("An event that isn't in this build's catalogue (%d); it comes from a newer version.", n)
}

func withoutRequest(f hingeevents.Fields) hingeevents.Fields {
	f.Request = hingeids.RequestID{}
	return f
}

func fieldsText(f hingeevents.Fields) string {
	var b strings.Builder
	for i, x := range f.KeysAndValues() {
		if i%2 == 0 {
			fmt.Fprintf(&b, " %v=", x)
			continue
		}
		text := fmt.Sprint(x)
		if strings.ContainsAny(text, " \n\t\"") {
			text = fmt.Sprintf("%q", text)
		}
		b.WriteString(text)
	}
	return b.String()
}

// notNil returns an empty slice for nil, which json would encode as null.
func notNil[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}

func write(w io.Writer, s string) error {
	_, err := io.WriteString(w, s)
	return eris.Wrap(err, "write timeline")
}
