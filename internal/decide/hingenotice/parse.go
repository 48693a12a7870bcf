package hingenotice

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

const (
	// minRateLimit replaces lower limits, also zero: one request in ten seconds finds out whether the
	// limit still holds.
	minRateLimit hingeids.RequestsPerSecond = 0.1
	// maxRateLimit replaces higher limits, which restrict nothing.
	maxRateLimit hingeids.RequestsPerSecond = 1e6
)

// ParseRateLimit parses the values of a header that names a rate limit, a decimal number of requests a
// second. It returns zero if there is no such header, and zero with an error for a value that can't be
// read: one that is negative, not a finite number, or differs from another value of the same answer.
func ParseRateLimit(values []string) (hingeids.RequestsPerSecond, error) {
	if len(values) == 0 {
		return 0, nil
	}
	text, err := single(values)
	if err != nil {
		return 0, err
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, eris.Errorf("rate limit %q isn't a number of requests a second", truncated(text))
	}
	return min(max(hingeids.RequestsPerSecond(limit), minRateLimit), maxRateLimit), nil
}

// ParseLeaving parses the values of a header that states that a server leaves. The only value that states it is 1.
func ParseLeaving(values []string) (bool, error) {
	if len(values) == 0 {
		return false, nil
	}
	text, err := single(values)
	if err != nil {
		return false, err
	}
	if text != "1" {
		return false, eris.Errorf("statement that the server leaves is %q, not 1", truncated(text))
	}
	return true, nil
}

// maxBackoff replaces longer backoffs: a server that changes its mind isn't left without requests for hours.
const maxBackoff = 10 * time.Minute

// ParseBackoff parses the values of a header with the time that a server that refuses a request wants to be left alone,
// in seconds. A date can't be read, as clocks differ.
func ParseBackoff(values []string) (time.Duration, error) {
	if len(values) == 0 {
		return 0, nil
	}
	text, err := single(values)
	if err != nil {
		return 0, err
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, eris.Errorf("time until a retry %q isn't a number of seconds", truncated(text))
	}
	return durationOf(min(seconds, maxBackoff.Seconds())), nil
}

// single returns the value of a header that may occur several times with the same value.
func single(values []string) (string, error) {
	text := strings.TrimSpace(values[0])
	for _, other := range values[1:] {
		if strings.TrimSpace(other) != text {
			return "", eris.Errorf("header has the values %q and %q", truncated(text), truncated(other))
		}
	}
	return text, nil
}

// maxLoggedValue bounds the length of a header value in a log line, in bytes.
const maxLoggedValue = 40

func truncated(text string) string {
	return text[:min(len(text), maxLoggedValue)]
}
