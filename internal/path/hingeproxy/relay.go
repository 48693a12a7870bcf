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

// largestEvent bounds one event, so that an engine can't fill memory.
const largestEvent = 1 << 20

// relay passes the events of a stream on (rule 4).
type relay struct {
	// last is the id of the last event that the caller has.
	last string
	// events counts those passed on, firstAt and lastAt are when the first and the last came, and
	// pause is the longest time between two.
	events  int
	firstAt time.Time
	lastAt  time.Time
	pause   time.Duration
	// begun says that the head of the answer was passed on.
	begun bool
}

// passed notes the time of an event that was passed on.
func (y *relay) passed(now time.Time) {
	if y.firstAt.IsZero() {
		y.firstAt = now
	} else {
		y.pause = max(y.pause, now.Sub(y.lastAt))
	}
	y.lastAt = now
}

// errGap is a stream with an event missing.
var errGap = eris.New("an event is missing in the stream")

// pass passes the events of one run on, until its whole end. Told is called for each.
func (y *relay) pass(x *hingewire.Exchange, w *hingewire.Writer, told func(events int)) error {
	if !y.begun {
		if err := w.Begin(x.Answer.StatusCode, x.Answer.Header); err != nil {
			return err
		}
		y.begun = true
	}
	source := bufio.NewReader(x.Answer.Body)
	for {
		event, err := readEvent(source)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return w.End()
		}
		if err != nil {
			return eris.Wrap(err, "event stream")
		}
		id, pass, err := y.judge(event)
		if err != nil {
			return err
		}
		if !pass {
			continue
		}
		if err := w.Part(event); err != nil {
			return err
		}
		y.events++
		if id != "" {
			y.last = id
		}
		told(y.events)
	}
}

// readEvent reads up to and with the empty line that ends an event. At the end of
// the stream it gives io.EOF with what is left, nothing if the stream is whole.
func readEvent(source *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := source.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > largestEvent {
				return nil, eris.Errorf("an event has more than %d bytes", largestEvent)
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
		if len(event) > largestEvent {
			return nil, eris.Errorf("an event has more than %d bytes", largestEvent)
		}
	}
}

func isBlank(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

// judge tells an event that is due from one that the caller has, and from one
// that comes too early.
func (y *relay) judge(event []byte) (id string, pass bool, err error) {
	id = eventID(event)
	if id == "" {
		return "", true, nil
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		// Ids that aren't numbers have no order; they are passed on as they come.
		return id, true, nil
	}
	before, err := strconv.ParseInt(y.last, 10, 64)
	if err != nil {
		return id, true, nil
	}
	switch {
	case n <= before:
		return id, false, nil
	case n > before+1:
		return id, false, errGap
	}
	return id, true, nil
}

// eventID gives the id that an event carries, if any.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
