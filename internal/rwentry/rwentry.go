// Package rwentry carries a request from its acceptance to its whole answer:
// it waits for a slot, runs the request on the slot's upstream and retries
// where nothing ran.
package rwentry

import (
	"context"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslot"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

// maxAttempts bounds how often one request is tried.
const maxAttempts = 3

// Entry runs requests. Its function fields are set before the first request.
type Entry struct {
	// Acquire waits for a slot for the request.
	Acquire func(context.Context, *rwrequest.Request) (*rwslot.Slot, error)
	// Call and Stream run a request on an upstream.
	Call   func(context.Context, rwupstream.Upstream, *rwrequest.Request) (*rwdispatch.Answer, error)
	Stream func(context.Context, rwupstream.Upstream, *rwrequest.Request, int, func(*rwstream.Chunk) error) error
	// Retry reports whether the budget has room for a retry after a fault.
	Retry func(*rwfault.Fault) bool
	// Now is the clock.
	Now func() time.Time
}

// Run runs model work and calls emit for each chunk of the answer in order.
// It returns nil only after the whole answer.
func (e *Entry) Run(ctx context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
	offset := 0
	return e.attempt(ctx, q, func(ctx context.Context, s *rwslot.Slot) (float64, time.Time, error) {
		var first time.Time
		cost := 0.0
		err := e.Stream(ctx, s.Upstream, q, offset, func(c *rwstream.Chunk) error {
			if first.IsZero() {
				first = e.Now()
			}
			cost++
			offset = c.Index + 1
			if s.Used != nil {
				s.Used(cost)
			}
			return emit(c)
		})
		return cost, first, err
	})
}

// Do runs a call to a plain service and returns its whole answer.
func (e *Entry) Do(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Answer, error) {
	var answer *rwdispatch.Answer
	err := e.attempt(ctx, q, func(ctx context.Context, s *rwslot.Slot) (float64, time.Time, error) {
		a, err := e.Call(ctx, s.Upstream, q)
		answer = a
		return 1, e.Now(), err
	})
	return answer, err
}

type work func(context.Context, *rwslot.Slot) (cost float64, first time.Time, err error)

func (e *Entry) attempt(ctx context.Context, q *rwrequest.Request, run work) error {
	for n := 1; ; n++ {
		err := e.once(ctx, q, run)
		if err == nil {
			return nil
		}
		f := rwfault.From(err)
		if n == maxAttempts || ctx.Err() != nil || !mayRepeat(q, f) || !e.Retry(f) {
			return f
		}
	}
}

// mayRepeat reports whether the request may be sent again: nothing ran, or
// running it twice does no harm.
func mayRepeat(q *rwrequest.Request, f *rwfault.Fault) bool {
	switch f.Code {
	case rwcode.UpstreamUnreachable, rwcode.UpstreamLeaving, rwcode.UpstreamRefused,
		rwcode.UpstreamTruncated, rwcode.UpstreamMalformed, rwcode.UpstreamMismatch,
		rwcode.GrantExpired, rwcode.Paused:
		return f.Outcome == rwoutcome.NotRun || q.Idempotent
	default:
		return false
	}
}

func (e *Entry) once(ctx context.Context, q *rwrequest.Request, run work) error {
	s, err := e.Acquire(ctx, q)
	if err != nil {
		return err
	}
	start := e.Now()
	if start.After(s.Expires) {
		s.Done(0, 0, 0, rwcode.GrantExpired)
		return rwfault.New(rwcode.GrantExpired, q.ID)
	}
	cost, first, err := run(ctx, s)
	code := rwcode.None
	if err != nil {
		code = rwfault.From(err).Code
	}
	s.Done(cost, first.Sub(start), e.Now().Sub(start), code)
	return err
}
