// Package rwentry carries a request from its acceptance to its whole answer:
// it waits for a slot, runs the request on the slot's upstream and retries
// where nothing ran or where running twice does no harm.
package rwentry

import (
	"context"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwretrybudget"
	"redwingworks.example/internal/rwslot"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

const (
	// maxSends bounds how often one request is sent to an upstream.
	maxSends = 3
	// resumeWait bounds the wait for a slot to resume an answer that broke
	// off. The request's deadline does not: it ends with the first byte.
	resumeWait = 10 * time.Second
	// maxUnused bounds how many slots one request may lose unused, for
	// example because the process was paused.
	maxUnused = 8
)

// Runner runs requests. Its function fields are set before the first request.
type Runner struct {
	// Acquire waits for a slot for the request.
	Acquire func(context.Context, *rwrequest.Request) (*rwslot.Slot, error)
	// Call and Stream run a request on an upstream.
	Call   func(context.Context, rwupstream.Upstream, *rwrequest.Request) (*rwdispatch.Response, error)
	Stream func(context.Context, rwupstream.Upstream, *rwrequest.Request, int, func(*rwstream.Chunk) error) error
	// AllowRetry reports whether the budget has room for a retry after a fault.
	AllowRetry func(*rwfault.Fault) bool
	// OnFirstAttempt counts a request before its first attempt. It may be nil.
	OnFirstAttempt func()
	// Now is the clock.
	Now func() time.Time
}

// RunInference runs model work and calls emit for each chunk of the answer in order.
// It returns nil only after the whole answer. The outcome of its fault covers
// all attempts.
func (e *Runner) RunInference(ctx context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
	var joined join
	acquire := func(ctx context.Context) (*rwslot.Slot, error) {
		if joined.offset == 0 {
			return e.Acquire(ctx, q)
		}
		return e.resume(ctx, q)
	}
	return e.attempt(ctx, q, acquire, func(ctx context.Context, s *rwslot.Slot) (float64, time.Time, error) {
		var first time.Time
		cost := 0.0
		joined.restart()
		err := e.Stream(ctx, s.Upstream, q, joined.offset, func(c *rwstream.Chunk) error {
			if first.IsZero() {
				first = e.Now()
				cost = promptCost(q)
			}
			cost++
			if s.ReportCost != nil {
				s.ReportCost(cost)
			}
			fresh, err := joined.take(c)
			if err != nil || !fresh {
				return err
			}
			return emit(c)
		})
		return cost, first, err
	})
}

// promptCost is the cost of a request's prompt in generated tokens. It is
// charged with the first chunk: an engine that gave none may not have read it.
func promptCost(q *rwrequest.Request) float64 {
	const (
		// bytesPerToken is a common ratio; the router has no tokenizer.
		bytesPerToken = 4
		// promptWeight is how many prompt tokens cost as much as a
		// generated one.
		promptWeight = 8
	)
	return float64(len(q.Body)) / bytesPerToken / promptWeight
}

// resume waits for a slot for a request whose answer broke off.
func (e *Runner) resume(ctx context.Context, q *rwrequest.Request) (*rwslot.Slot, error) {
	again := *q
	again.Deadline = e.Now().Add(resumeWait)
	ctx, stop := context.WithTimeoutCause(ctx, resumeWait, rwfault.New(rwcode.DeadlineExceeded, "no slot to resume "+q.ID))
	defer stop()
	s, err := e.Acquire(ctx, &again)
	if ended := rwfault.FromContext(ctx); err != nil && ended != nil {
		return nil, ended
	}
	return s, err
}

// join puts the chunks of several attempts together into one answer.
type join struct {
	// offset is the index of the first chunk that the caller does not have,
	// and digest covers all chunks before it.
	offset int
	digest uint64
	// again covers the chunks that the present attempt has repeated.
	again uint64
}

func (j *join) restart() { j.again = 0 }

// take reports whether the chunk is new to the caller. An engine that can't
// resume repeats the answer from the start. Its repetition is dropped, and the
// answer goes on only if the repetition equals what the caller has: a sampled
// answer may differ, and two halves of different answers must not be joined.
func (j *join) take(c *rwstream.Chunk) (bool, error) {
	if c.Index >= j.offset {
		j.offset = c.Index + 1
		j.digest = extend(j.digest, c.Digest)
		return true, nil
	}
	j.again = extend(j.again, c.Digest)
	if c.Finish != "" || (c.Index == j.offset-1 && j.again != j.digest) {
		return false, rwfault.New(rwcode.UpstreamMismatch, "the engine started again and gave another answer").
			WithOutcome(rwoutcome.Unknown)
	}
	return false, nil
}

func extend(digest, chunk uint64) uint64 {
	const prime = 1099511628211
	return (digest ^ chunk) * prime
}

// RunCall runs a call to a plain service and returns its whole answer. The outcome
// of its fault covers all attempts.
func (e *Runner) RunCall(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Response, error) {
	var answer *rwdispatch.Response
	acquire := func(ctx context.Context) (*rwslot.Slot, error) { return e.Acquire(ctx, q) }
	err := e.attempt(ctx, q, acquire, func(ctx context.Context, s *rwslot.Slot) (float64, time.Time, error) {
		a, err := e.Call(ctx, s.Upstream, q)
		answer = a
		return 1, e.Now(), err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

type acquire func(context.Context) (*rwslot.Slot, error)

type work func(context.Context, *rwslot.Slot) (cost float64, first time.Time, err error)

func (e *Runner) attempt(ctx context.Context, q *rwrequest.Request, slot acquire, run work) error {
	if e.OnFirstAttempt != nil {
		e.OnFirstAttempt()
	}
	outcome := rwoutcome.NotRun
	sends, unused := 0, 0
	for {
		err := e.once(ctx, slot, run)
		if err == nil {
			return nil
		}
		f := fault(err)
		// A later attempt that did not run does not undo an earlier one
		// that may have run.
		if f.Outcome == rwoutcome.NotRun {
			f = f.WithOutcome(outcome)
		}
		outcome = f.Outcome
		if ended := rwfault.FromContext(ctx); ended != nil {
			return ended.WithOutcome(outcome)
		}
		if rwretrybudget.MayHaveBeenSent(f.Code) {
			sends++
		} else {
			unused++
		}
		if sends == maxSends || unused == maxUnused || !mayRepeat(q, f) || !e.AllowRetry(f) {
			return f
		}
	}
}

// fault returns the fault inside err. An error without one has an unknown
// outcome, because nothing says that the request did not run.
func fault(err error) *rwfault.Fault {
	f := rwfault.From(err)
	if f.Code == rwcode.Internal {
		return f.WithOutcome(rwoutcome.Unknown)
	}
	return f
}

// mayRepeat reports whether the request may be sent again: nothing ran, or
// running it twice does no harm. The outcome covers all attempts so far.
func mayRepeat(q *rwrequest.Request, f *rwfault.Fault) bool {
	return rwretrybudget.Retryable(f.Code) && (f.Outcome == rwoutcome.NotRun || q.Idempotent)
}

func (e *Runner) once(ctx context.Context, slot acquire, run work) error {
	s, err := slot(ctx)
	if err != nil {
		return err
	}
	start := e.Now()
	if start.After(s.Expires) {
		s.Done(0, 0, 0, rwcode.GrantExpired)
		return rwfault.New(rwcode.GrantExpired, s.Upstream.Name)
	}
	if ended := rwfault.FromContext(ctx); ended != nil {
		s.Done(0, 0, 0, ended.Code)
		return ended
	}
	cost, first, err := run(ctx, s)
	code := rwcode.None
	if err != nil {
		code = rwfault.From(err).Code
	}
	total := e.Now().Sub(start)
	if first.IsZero() {
		first = start.Add(total)
	}
	s.Done(cost, first.Sub(start), total, code)
	return err
}
