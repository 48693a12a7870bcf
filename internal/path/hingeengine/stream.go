package hingeengine

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeverdict"
	"github.com/swifthinge/swifthinge/internal/path/hingerelay"
)

// Stream is a streamed response of an engine.
type Stream struct {
	target   Target
	exchange *exchange
	reader   *hingerelay.Reader
}

// Next returns the next token, io.EOF at the end marker, or an error with a verdict.
// The token's data is valid until the next call.
func (s *Stream) Next() (hingerelay.Event, error) {
	e, err := s.reader.Next()
	if err == nil || errors.Is(err, io.EOF) {
		return e, err
	}
	switch {
	case errors.Is(err, hingerelay.ErrWrongRequest):
		return e, wrongRequestError(s.target)
	case errors.Is(err, hingerelay.ErrNoEndMarker), errors.Is(err, hingerelay.ErrMissingToken),
		errors.Is(err, hingerelay.ErrMalformed):
		return e, hingeverdict.New(hingeverdict.MayHaveRun, hingeverdict.CodeAnswerCut, 0,
			eris.Wrapf(err, "stream of server %s", s.target.Server))
	default:
		return e, s.exchange.wrapError(s.target, err)
	}
}

// NextIndex returns the index of the token that Next will return.
func (s *Stream) NextIndex() int {
	return s.reader.NextIndex()
}

// Close closes the connection. It doesn't cancel the request: an engine continues
// with a request after its connection was closed.
func (s *Stream) Close() {
	s.exchange.close()
}
