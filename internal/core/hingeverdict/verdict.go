// Package hingeverdict defines errors that state whether a request may have run.
//
// Every error that can reach a caller carries a verdict, which is based on
// evidence only:
//
//  1. NotRun: no byte of the request can have reached a backend server, or the
//     server answered, with the id of the request, that it refused to run it.
//  2. Ran: the server answered, with the id of the request, that the request ran.
//  3. MayHaveRun: every other case. It is the zero value, so that code that
//     doesn't set a verdict makes no claim.
package hingeverdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request may have run.
type Verdict uint8

// The three verdicts.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the verdict as written in headers and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "mayHaveRun"
	}
}

// Code is the stable number of a kind of refusal or failure. It is part of the
// interface to callers.
type Code uint16

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	// Code is the kind of failure; docs/INTERFACES.md lists the codes.
	Code Code
	// RetryAfter is the delay after which the caller may retry. Zero means that it
	// should not retry.
	RetryAfter time.Duration
	// Cause is the underlying error. It may be nil.
	Cause error
}

// New returns an error with a verdict. The cause may be nil.
func New(v Verdict, c Code, retryAfter time.Duration, cause error) *Error {
	return &Error{
		Verdict:    v,
		Code:       c,
		RetryAfter: retryAfter,
		Cause:      cause,
	}
}

func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%v (%d)", e.Verdict, e.Code)
	}
	return fmt.Sprintf("%v (%d): %v", e.Verdict, e.Code, e.Cause)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Of returns the verdict of an error: Ran for nil, and MayHaveRun for an error
// without a verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
