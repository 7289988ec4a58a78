// Package rwfault defines the error type that all packages use.
package rwfault

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwoutcome"
)

// Fault is a failure with a code. It is immutable; the With methods return
// changed copies.
type Fault struct {
	// Code is never rwcode.None.
	Code rwcode.Code
	// Outcome is NotRun unless a request may have reached an upstream.
	Outcome rwoutcome.Outcome
	// RetryAfter is how long the caller should wait before a retry, or zero if
	// that is unknown.
	RetryAfter time.Duration
	// Detail is a text for people, such as the name or value that caused the
	// fault.
	Detail string
	// Cause is the wrapped error, or nil.
	Cause error
}

// New returns a fault with a code and a detail.
func New(code rwcode.Code, detail string) *Fault {
	return &Fault{Code: code, Detail: detail}
}

// Wrap returns a fault with a code that wraps an error.
func Wrap(code rwcode.Code, cause error) *Fault {
	return &Fault{Code: code, Cause: cause}
}

// From returns the fault in the chain of err, or an internal fault that wraps
// err.
func From(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return Wrap(rwcode.Internal, err)
}

// FromContext returns nil while the context is not done. After that it returns
// the fault that the context was cancelled with, or else DeadlineExceeded or
// CallerGone.
func FromContext(ctx context.Context) *Fault {
	if ctx.Err() == nil {
		return nil
	}
	var f *Fault
	cause := context.Cause(ctx)
	switch {
	case errors.As(cause, &f):
		return f
	case errors.Is(cause, context.DeadlineExceeded):
		return Wrap(rwcode.DeadlineExceeded, cause)
	default:
		return Wrap(rwcode.CallerGone, cause)
	}
}

// Is reports whether the chain of err has a fault with the code.
func Is(err error, code rwcode.Code) bool {
	var f *Fault
	return errors.As(err, &f) && f.Code == code
}

// WithOutcome returns a copy with the given outcome.
func (f *Fault) WithOutcome(o rwoutcome.Outcome) *Fault {
	c := *f
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy with the given retry time.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	c := *f
	c.RetryAfter = d
	return &c
}

// WithDetail returns a copy with the given detail.
func (f *Fault) WithDetail(detail string) *Fault {
	c := *f
	c.Detail = detail
	return &c
}

// Error returns the code, the detail and the cause.
func (f *Fault) Error() string {
	s := f.Code.String()
	if f.Detail != "" {
		s += ": " + f.Detail
	}
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the wrapped error.
func (f *Fault) Unwrap() error { return f.Cause }
