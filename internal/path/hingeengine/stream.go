package hingeengine

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/path/hingerelay"
)

// Stream is the answer of an engine, token by token.
type Stream struct {
	target   Target
	exchange *exchange
	reader   *hingerelay.Reader
}

// Next gives the next token, io.EOF after the end mark, or an error with a
// verdict. A token's bytes hold until the next call.
func (s *Stream) Next() (hingerelay.Event, error) {
	e, err := s.reader.Next()
	if err == nil || errors.Is(err, io.EOF) {
		return e, err
	}
	switch {
	case errors.Is(err, hingerelay.ErrForeign):
		return e, notOurs(s.target)
	case errors.Is(err, hingerelay.ErrNoEndMark), errors.Is(err, hingerelay.ErrGap),
		errors.Is(err, hingerelay.ErrMalformed):
		return e, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerTruncated, 0,
			eris.Wrapf(err, "server %s", s.target.Server))
	default:
		return e, s.exchange.verdict(s.target, err)
	}
}

// NextIndex is the index of the token that Next waits for.
func (s *Stream) NextIndex() int {
	return s.reader.NextIndex()
}

// Close closes the connection. It does not cancel: an engine goes on with a
// request whose connection broke.
func (s *Stream) Close() {
	s.exchange.close()
}
