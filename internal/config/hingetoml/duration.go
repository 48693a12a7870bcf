package hingetoml

import (
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration encoded as text in Go's syntax, for example "250ms".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return eris.Wrap(err, "invalid duration, want one such as 250ms or 3s")
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
