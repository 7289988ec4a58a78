// Package rwentry runs an accepted request until its response is complete. It
// waits for a slot, sends the request to the slot's upstream, and retries if the
// request did not run or is idempotent.
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
	// resumeTimeout bounds the wait for a slot to resume a truncated response.
	// The request's deadline applies only until the first byte.
	resumeTimeout = 10 * time.Second
	// maxUnusedSlots bounds how many slots one request may return unused, for
	// example because the process was paused and they expired.
	maxUnusedSlots = 8
)

// Runner runs requests. Its fields must be set before the first request.
type Runner struct {
	// Acquire waits for a slot for the request.
	Acquire func(context.Context, *rwrequest.Request) (*rwslot.Slot, error)
	// Call and Stream run a request on an upstream.
	Call   func(context.Context, rwupstream.Upstream, *rwrequest.Request) (*rwdispatch.Response, error)
	Stream func(context.Context, rwupstream.Upstream, *rwrequest.Request, int, func(*rwstream.Chunk) error) error
	// AllowRetry reports whether the retry budget allows a retry after a fault.
	AllowRetry func(*rwfault.Fault) bool
	// OnFirstAttempt is called once for each request, before its first attempt.
	// It may be nil.
	OnFirstAttempt func()
	// Now is the clock.
	Now func() time.Time
}

// RunInference runs a request on engines and calls emit for each chunk of the
// response in order. It returns nil only after a complete response. The outcome
// of its fault covers all attempts.
func (r *Runner) RunInference(ctx context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
	var joiner responseJoiner
	acquire := func(ctx context.Context) (*rwslot.Slot, error) {
		if joiner.offset == 0 {
			return r.Acquire(ctx, q)
		}
		return r.acquireToResume(ctx, q)
	}
	return r.runWithRetries(ctx, q, acquire, func(ctx context.Context, s *rwslot.Slot) (float64, time.Time, error) {
		var first time.Time
		cost := 0.0
		joiner.restart()
		err := r.Stream(ctx, s.Upstream, q, joiner.offset, func(c *rwstream.Chunk) error {
			if first.IsZero() {
				first = r.Now()
				cost = promptCost(q)
			}
			cost++
			if s.ReportCost != nil {
				s.ReportCost(cost)
			}
			isNew, err := joiner.accept(c)
			if err != nil || !isNew {
				return err
			}
			return emit(c)
		})
		return cost, first, err
	})
}

// promptCost returns the cost of a request's prompt in generated tokens. It is
// charged with the first chunk, since an engine that returned no chunk may not
// have processed the prompt.
func promptCost(q *rwrequest.Request) float64 {
	const (
		// bytesPerToken is a common average. The router has no tokenizer.
		bytesPerToken = 4
		// promptWeight is how many prompt tokens cost as much as one
		// generated token.
		promptWeight = 8
	)
	return float64(len(q.Body)) / bytesPerToken / promptWeight
}

// acquireToResume waits for a slot for a request whose response was truncated.
func (r *Runner) acquireToResume(ctx context.Context, q *rwrequest.Request) (*rwslot.Slot, error) {
	resumed := *q
	resumed.Deadline = r.Now().Add(resumeTimeout)
	ctx, stop := context.WithTimeoutCause(ctx, resumeTimeout, rwfault.New(rwcode.DeadlineExceeded, "no slot to resume "+q.ID))
	defer stop()
	s, err := r.Acquire(ctx, &resumed)
	if ended := rwfault.FromContext(ctx); err != nil && ended != nil {
		return nil, ended
	}
	return s, err
}

// responseJoiner joins the chunks of several attempts into one response.
type responseJoiner struct {
	// offset is the index of the first chunk that was not emitted yet, and digest
	// is a hash over all chunks before it.
	offset int
	digest uint64
	// repeatedDigest is a hash over the chunks that the current attempt has
	// repeated.
	repeatedDigest uint64
}

// restart begins a new attempt.
func (j *responseJoiner) restart() { j.repeatedDigest = 0 }

// accept reports whether the chunk has to be emitted. An engine that can't
// resume repeats the response from its start. The repeated chunks are dropped,
// and it is an error if they differ from those that were emitted: a sampled
// response may differ from the earlier one, and parts of different responses
// must not be joined.
func (j *responseJoiner) accept(c *rwstream.Chunk) (bool, error) {
	if c.Index >= j.offset {
		j.offset = c.Index + 1
		j.digest = extendDigest(j.digest, c.Digest)
		return true, nil
	}
	j.repeatedDigest = extendDigest(j.repeatedDigest, c.Digest)
	if c.Finish != "" || (c.Index == j.offset-1 && j.repeatedDigest != j.digest) {
		return false, rwfault.New(rwcode.UpstreamMismatch, "the engine started again and returned a different response").
			WithOutcome(rwoutcome.Unknown)
	}
	return false, nil
}

func extendDigest(digest, chunk uint64) uint64 {
	const prime = 1099511628211
	return (digest ^ chunk) * prime
}

// RunCall runs a call to a plain service and returns the complete response. The
// outcome of its fault covers all attempts.
func (r *Runner) RunCall(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Response, error) {
	var response *rwdispatch.Response
	acquire := func(ctx context.Context) (*rwslot.Slot, error) { return r.Acquire(ctx, q) }
	err := r.runWithRetries(ctx, q, acquire, func(ctx context.Context, s *rwslot.Slot) (float64, time.Time, error) {
		resp, err := r.Call(ctx, s.Upstream, q)
		response = resp
		if err == nil {
			noteRetryAfter(s, resp.RetryAfter)
		}
		return 1, r.Now(), err
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

type acquireFunc func(context.Context) (*rwslot.Slot, error)

// attemptFunc runs one attempt and returns its cost and the time of the first byte.
type attemptFunc func(context.Context, *rwslot.Slot) (cost float64, first time.Time, err error)

func (r *Runner) runWithRetries(ctx context.Context, q *rwrequest.Request, acquire acquireFunc, run attemptFunc) error {
	if r.OnFirstAttempt != nil {
		r.OnFirstAttempt()
	}
	outcome := rwoutcome.NotRun
	sends, unused := 0, 0
	for {
		err := r.runOnce(ctx, acquire, run)
		if err == nil {
			return nil
		}
		f := toFault(err)
		// If an earlier attempt may have run, the outcome is not NotRun even
		// if this attempt did not run.
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
		if sends == maxSends || unused == maxUnusedSlots || !mayRetry(q, f) || !r.AllowRetry(f) {
			return f
		}
	}
}

// toFault returns the fault inside err. For an internal error or one without a
// fault, the outcome is Unknown, because nothing proves that the request did not
// run.
func toFault(err error) *rwfault.Fault {
	f := rwfault.From(err)
	if f.Code == rwcode.Internal {
		return f.WithOutcome(rwoutcome.Unknown)
	}
	return f
}

// mayRetry reports whether the request may be sent again: the fault's code is
// retryable, and the request did not run or is idempotent. The outcome of the
// fault must cover all attempts so far.
func mayRetry(q *rwrequest.Request, f *rwfault.Fault) bool {
	return rwretrybudget.Retryable(f.Code) && (f.Outcome == rwoutcome.NotRun || q.Idempotent)
}

func (r *Runner) runOnce(ctx context.Context, acquire acquireFunc, run attemptFunc) error {
	s, err := acquire(ctx)
	if err != nil {
		return err
	}
	start := r.Now()
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
		f := rwfault.From(err)
		code = f.Code
		if f.RetryAfter > 0 {
			noteRetryAfter(s, f.RetryAfter)
			// It is not the time after which the caller finds another upstream.
			err = f.WithRetryAfter(0)
		}
	}
	total := r.Now().Sub(start)
	if first.IsZero() {
		first = start.Add(total)
	}
	s.Done(cost, first.Sub(start), total, code)
	return err
}

// noteRetryAfter reports to a slot for how long its upstream wants no requests.
func noteRetryAfter(s *rwslot.Slot, d time.Duration) {
	if d > 0 && s.RetryAfter != nil {
		s.RetryAfter(d)
	}
}
