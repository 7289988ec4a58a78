// Package rwfault is the error type of the system.
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
	// RetryAfter is how long the caller should wait before it tries again;
	// zero means that no time is known.
	RetryAfter time.Duration
	// Detail is for people: the name or value that caused the fault.
	Detail string
	// Cause is the error underneath, or nil.
	Cause error
}

// New returns a fault with a code and a detail for people.
func New(code rwcode.Code, detail string) *Fault {
	return &Fault{Code: code, Detail: detail}
}

// Wrap returns a fault with a code around an error.
func Wrap(code rwcode.Code, cause error) *Fault {
	return &Fault{Code: code, Cause: cause}
}

// From returns the fault inside err, or an internal fault around err.
func From(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return Wrap(rwcode.Internal, err)
}

// FromContext returns nil while the context is live. After that it returns the fault
// that the context was cancelled with, or DeadlineExceeded or CallerGone.
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

// Is reports whether err contains a fault with the code.
func Is(err error, code rwcode.Code) bool {
	var f *Fault
	return errors.As(err, &f) && f.Code == code
}

// WithOutcome returns a copy with another outcome.
func (f *Fault) WithOutcome(o rwoutcome.Outcome) *Fault {
	c := *f
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy with another retry time.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	c := *f
	c.RetryAfter = d
	return &c
}

// WithDetail returns a copy with another detail.
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

// Unwrap returns the error underneath.
func (f *Fault) Unwrap() error { return f.Cause }
