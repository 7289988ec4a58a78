// Package rwlag notices that a process doesn't get the processor in time. A
// router in that state reads requests late, so that it forwards requests whose
// callers have left, and holds ever more of them in memory.
package rwlag

import (
	"context"
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// tick is the step of the measurement.
	tick = 50 * time.Millisecond
	// Threshold is the lateness from which the process is behind. A machine whose
	// share is a quota stands still for up to a tenth of a second without
	// being overloaded.
	Threshold = 150 * time.Millisecond
	// hold is how long the process counts as behind after it was late.
	hold = 200 * time.Millisecond
)

// Monitor measures how late timers fire.
type Monitor struct {
	// OnMeasure, if set before Run, is told after each step how late the process
	// is: how late a timer fired, or how long a tenth of the goroutines waited
	// for the processor, whichever is more. A timer's goroutine runs at once;
	// the others of a saturated machine waited for seconds while timers fired
	// within a millisecond.
	OnMeasure func(now time.Time, late time.Duration)

	// until is the end of the time in which the process counts as behind, in
	// nanoseconds since start.
	until atomic.Int64
	start time.Time
}

// New returns a measurement; Run has to be called.
func New() *Monitor { return &Monitor{start: time.Now()} }

// Run measures until the context ends.
func (l *Monitor) Run(ctx context.Context) error {
	waits := newWaits()
	for {
		due := time.Now().Add(tick)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(tick):
		}
		now := time.Now()
		l.note(now, due)
		if l.OnMeasure != nil {
			l.OnMeasure(now, max(now.Sub(due), waits.since()))
		}
	}
}

// waits reads how long goroutines waited until they ran.
type waits struct {
	sample []metrics.Sample
	last   []uint64
}

func newWaits() *waits {
	w := &waits{sample: []metrics.Sample{{Name: "/sched/latencies:seconds"}}}
	w.since()
	return w
}

// since returns the ninth decile of the waits that ended since the last call.
func (w *waits) since() time.Duration {
	metrics.Read(w.sample)
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := w.sample[0].Value.Float64Histogram()
	counts := slices.Clone(h.Counts)
	total := uint64(0)
	if len(w.last) == len(h.Counts) {
		for i := range counts {
			counts[i] -= w.last[i]
		}
	}
	w.last = slices.Clone(h.Counts)
	for _, n := range counts {
		total += n
	}
	return ninth(counts, h.Buckets, total)
}

// ninth returns the lower end of the bucket that holds the ninth decile.
func ninth(counts []uint64, buckets []float64, total uint64) time.Duration {
	seen := uint64(0)
	for i, n := range counts {
		seen += n
		if n > 0 && 10*seen >= 9*total {
			return time.Duration(max(buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}

func (l *Monitor) note(now, due time.Time) {
	if now.Sub(due) >= Threshold {
		l.until.Store(int64(now.Add(hold).Sub(l.start)))
	}
}

// Lagging reports whether the process was late a moment ago.
func (l *Monitor) Lagging() bool { return int64(time.Since(l.start)) < l.until.Load() }
