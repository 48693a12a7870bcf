// Package hingerelay reads the event stream of an engine and verifies that it is
// the complete response to the request.
//
//  1. An event is accepted only if it has the request's ID. Any other ID is an
//     error: the stream belongs to another request.
//  2. Events have the index of their token. An event with an index that was already
//     returned is dropped, so that a resumed stream has no duplicates. An event with
//     a higher index than the next one is an error, since a token is missing.
//  3. A stream ends with an end marker. A stream without it is an error, even if the
//     connection was closed properly.
//  4. The length of a line is limited, so that an engine can't exhaust the memory.
//
// Reading an event allocates no memory: its data is in the reader's buffer until
// the next call.
package hingerelay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// Errors of a stream that is not the complete response to its request.
var (
	// ErrWrongRequest means that an event has the ID of another request.
	ErrWrongRequest = errors.New("event has the ID of another request")
	// ErrMissingToken means that a token is missing.
	ErrMissingToken = errors.New("token missing in stream")
	// ErrNoEndMarker means that the stream ended, or the engine sent an error, before
	// the end marker.
	ErrNoEndMarker = errors.New("stream ended without an end marker")
	// ErrMalformed means that the stream can't be parsed.
	ErrMalformed = errors.New("malformed event stream")
)

// MaxLine is the maximum length of a line of a stream, in bytes.
const MaxLine = 64 << 10

// Event is a token event as sent by the engine.
type Event struct {
	// Index is the index of the token in the complete response.
	Index int
	// Data is the event's JSON. It is valid until the next call of Next.
	Data []byte
}

// Reader reads the events of one request. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	id     []byte
	prefix []byte
	next   int
	line   []byte
}

// bufferSize is the size of a reader's buffer in bytes. It is small, since a host has
// thousands of streams that are mostly idle.
const bufferSize = 1 << 10

// NewReader returns a reader of the events of the request with the given ID. The
// first event that it returns has the index next.
func NewReader(source io.Reader, id string, next int) *Reader {
	quoted := append(append([]byte(`"`), id...), '"')
	return &Reader{
		source: bufio.NewReaderSize(source, bufferSize),
		id:     quoted,
		prefix: append([]byte(`{"id":`), quoted...),
		next:   next,
	}
}

// NextIndex returns the index of the next token.
func (r *Reader) NextIndex() int {
	return r.next
}

var (
	indexField = []byte("id:")
	dataField  = []byte("data:")
	endMarker  = []byte("[DONE]")
	errorField = []byte(`"error"`)
)

// Next returns the next token, or io.EOF at the end marker.
func (r *Reader) Next() (Event, error) {
	index := r.next
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		switch {
		case bytes.HasPrefix(line, indexField):
			if index, err = parseIndex(line[len(indexField):]); err != nil {
				return Event{}, err
			}
		case bytes.HasPrefix(line, dataField):
			event, accept, err := r.accept(index, bytes.TrimSpace(line[len(dataField):]))
			if err != nil || accept {
				return event, err
			}
			index = r.next
		}
	}
}

// accept applies rules 1 and 2 to an event. It reports whether the event is the next
// one; a duplicate is neither accepted nor an error.
func (r *Reader) accept(index int, data []byte) (event Event, accept bool, err error) {
	if bytes.Equal(data, endMarker) {
		return Event{}, false, io.EOF
	}
	if err := r.checkID(data); err != nil {
		return Event{}, false, err
	}
	if index < r.next {
		return Event{}, false, nil
	}
	if index > r.next {
		return Event{}, false, eris.Wrapf(ErrMissingToken, "received token %d instead of %d", index, r.next)
	}
	r.next++
	return Event{
		Index: index,
		Data:  data,
	}, true, nil
}

// checkID applies rule 1. If the ID is the first field, one comparison is enough;
// otherwise the event is parsed, which allocates memory.
func (r *Reader) checkID(data []byte) error {
	if bytes.HasPrefix(data, r.prefix) {
		return nil
	}
	var body struct {
		ID json.RawMessage `json:"id"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	if bytes.Equal(body.ID, r.id) {
		return nil
	}
	if bytes.Contains(data, errorField) {
		return eris.Wrapf(ErrNoEndMarker, "engine sent an error: %.200s", data)
	}
	return ErrWrongRequest
}

// readLine returns a line without its line ending. A line that exceeds the buffer is
// assembled in a separate one, up to MaxLine.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.source.ReadSlice('\n')
		if err == nil && len(r.line) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		if len(r.line)+len(part) > MaxLine {
			return nil, eris.Wrap(ErrMalformed, "line exceeds the maximum length")
		}
		r.line = append(r.line, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(r.line, "\r\n"), nil
		case errors.Is(err, io.EOF):
			return nil, ErrNoEndMarker
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// maxIndexDigits limits a token index to the range of a 32-bit int.
const maxIndexDigits = 9

func parseIndex(b []byte) (int, error) {
	b = bytes.TrimSpace(b)
	if len(b) == 0 || len(b) > maxIndexDigits {
		return 0, eris.Wrap(ErrMalformed, "token index is empty or too long")
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, eris.Wrap(ErrMalformed, "token index is not a decimal number")
		}
		n = n*10 + int(c-'0')
	}
	return n, nil
}
