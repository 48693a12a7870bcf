package hingeproxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/path/hingewire"
)

// maxEventBytes limits the memory that an engine can occupy with one event.
const maxEventBytes = 1 << 20

// relay forwards the events of a stream to the caller (rule 4). It keeps its state when the stream moves to another
// engine.
type relay struct {
	// lastID is the id of the last forwarded event.
	lastID string
	// events counts the forwarded events; firstAt and lastAt are the times of the first and the last one, and
	// maxPause is the longest time between two.
	events   int
	firstAt  time.Time
	lastAt   time.Time
	maxPause time.Duration
	// headSent is set once the head of the answer was forwarded.
	headSent bool
}

func (r *relay) recordEvent(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt = now
	} else {
		r.maxPause = max(r.maxPause, now.Sub(r.lastAt))
	}
	r.lastAt = now
}

var errMissingEvent = eris.New("stream is missing an event")

// forward forwards the events of one engine until the stream is complete. It calls onEvent after each event with the
// number of events forwarded so far.
func (r *relay) forward(x *hingewire.Exchange, w *hingewire.Writer, onEvent func(events int)) error {
	if !r.headSent {
		if err := w.WriteHead(x.Response.StatusCode, x.Response.Header); err != nil {
			return err
		}
		r.headSent = true
	}
	source := bufio.NewReader(x.Response.Body)
	for {
		event, err := readEvent(source)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return w.Finish()
		}
		if err != nil {
			return eris.Wrap(err, "event stream")
		}
		id, forward, err := r.checkEvent(event)
		if err != nil {
			return err
		}
		if !forward {
			continue
		}
		if err := w.WritePart(event); err != nil {
			return err
		}
		r.events++
		if id != "" {
			r.lastID = id
		}
		onEvent(r.events)
	}
}

// readEvent reads an event, including the blank line that ends it. At the end of a complete stream it returns io.EOF
// and no data; a truncated event is returned with io.ErrUnexpectedEOF.
func readEvent(source *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := source.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEventBytes {
				return nil, eris.Errorf("event exceeds %d bytes", maxEventBytes)
			}
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		}
		if isBlank(line) && len(event) > len(line) {
			return event, nil
		}
		if len(event) > maxEventBytes {
			return nil, eris.Errorf("event exceeds %d bytes", maxEventBytes)
		}
	}
}

func isBlank(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

// checkEvent reports whether to forward an event. An event that the caller already has is skipped, one that doesn't
// follow the last forwarded event is an error.
func (r *relay) checkEvent(event []byte) (id string, forward bool, err error) {
	id = eventID(event)
	if id == "" {
		return "", true, nil
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		// Ids that aren't numbers have no order; such events are forwarded as they come.
		return id, true, nil
	}
	lastID, err := strconv.ParseInt(r.lastID, 10, 64)
	if err != nil {
		return id, true, nil
	}
	switch {
	case n <= lastID:
		return id, false, nil
	case n > lastID+1:
		return id, false, errMissingEvent
	}
	return id, true, nil
}

// eventID returns the id field of an event, empty if there is none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
