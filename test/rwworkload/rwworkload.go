// Package rwworkload generates requests with seeded arrival times and lengths.
package rwworkload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwjob"
)

// maxInProgress limits the outstanding requests of one open loop, so that a
// flood can't exhaust the memory or the ports of the machine.
const maxInProgress = 10000

// refusedRetryDelay prevents a closed loop from busy-looping on refusals.
const refusedRetryDelay = 20 * time.Millisecond

// Workload is a set of flows. Its fields are set before Run.
type Workload struct {
	// Seed determines lengths, prompts and arrival intervals.
	Seed uint64
	// Name makes the idempotency keys and bodies of a run unique.
	Name string
	// Flows run concurrently.
	Flows []rwflow.Flow
	// Send sends a request, waits for its response and reports whether it was
	// served.
	Send func(context.Context, rwjob.Job) bool

	skipped atomic.Int64
}

// Skipped returns the number of open-loop arrivals that were not sent because
// too many requests were outstanding.
func (w *Workload) Skipped() int64 { return w.skipped.Load() }

// Run generates requests for the duration and waits until the last one has
// ended. Cancelling the context ends the outstanding requests.
func (w *Workload) Run(ctx context.Context, duration time.Duration) {
	until := time.Now().Add(duration)
	var all sync.WaitGroup
	for i, f := range w.Flows {
		if f.Rate > 0 {
			all.Go(func() { w.runOpenLoop(ctx, until, f, i) })
			continue
		}
		for n := range f.Concurrency {
			all.Go(func() { w.runClosedLoop(ctx, until, f, i, n) })
		}
	}
	all.Wait()
}

func (w *Workload) newRand(flow, worker int) *rand.Rand {
	return rand.New(rand.NewPCG(w.Seed, uint64(flow)<<32|uint64(worker)))
}

func (w *Workload) runClosedLoop(ctx context.Context, until time.Time, f rwflow.Flow, flow, worker int) {
	r := w.newRand(flow, worker)
	for n := 0; ctx.Err() == nil && time.Now().Before(until); n++ {
		if !w.Send(ctx, w.newJob(r, f, fmt.Sprintf("%s-%d-%d-%d", w.Name, flow, worker, n))) {
			sleep(ctx, refusedRetryDelay)
		}
	}
}

func (w *Workload) runOpenLoop(ctx context.Context, until time.Time, f rwflow.Flow, flow int) {
	r := w.newRand(flow, 0)
	slots := make(chan struct{}, maxInProgress)
	var all sync.WaitGroup
	defer all.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(r.ExpFloat64() / f.Rate * float64(time.Second)))
		j := w.newJob(r, f, fmt.Sprintf("%s-%d-%d", w.Name, flow, n))
		if next.After(until) || !sleep(ctx, time.Until(next)) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			w.skipped.Add(1)
			continue
		}
		all.Go(func() {
			w.Send(ctx, j)
			<-slots
		})
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Workload) newJob(r *rand.Rand, f rwflow.Flow, name string) rwjob.Job {
	j := rwjob.Job{
		Account: f.Account, CallerKey: f.CallerKey,
		Kind: f.Kind, Pool: f.Pool, Engine: f.Engine, Stream: f.Engine,
		Deadline: f.Deadline,
		Body:     `{"job":"` + name + `"}`,
	}
	if f.Engine {
		j.Tokens = f.MinTokens + r.IntN(max(f.MaxTokens-f.MinTokens, 0)+1)
		j.Prompt = fmt.Sprintf("%s prompt %d", f.Account, r.IntN(max(f.Prompts, 1)))
	}
	if f.Hints {
		j.Hint = max(1, int(float64(j.Tokens)*(0.5+1.5*r.Float64())))
	}
	if f.Keyed {
		j.Key = name
	}
	return j
}
