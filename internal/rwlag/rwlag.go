// Package rwlag detects that a process doesn't get CPU time when it needs it. A
// router in that state reads requests late: it forwards requests whose callers
// have disconnected, and holds ever more of them in memory.
package rwlag

import (
	"context"
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// interval is the time between two measurements.
	interval = 50 * time.Millisecond
	// Threshold is the lateness from which the process counts as lagging. A
	// machine whose CPU share is a quota may stall for up to 100 ms without
	// being overloaded.
	Threshold = 150 * time.Millisecond
	// lagHold is how long the process counts as lagging after it was late.
	lagHold = 200 * time.Millisecond
)

// Monitor measures how late the process runs its work.
type Monitor struct {
	// OnMeasure, if set before Run, is called after each measurement with the
	// lateness: how late a timer fired or the 90th percentile of the times that
	// goroutines waited to run, whichever is more. Timers alone don't show the
	// load, because a timer's goroutine runs first: on a saturated machine,
	// other goroutines waited for seconds while timers fired within a
	// millisecond.
	OnMeasure func(now time.Time, late time.Duration)
	// SchedulingDelay returns the 90th percentile of the times that goroutines
	// waited to run since its last call. It must be set before Run; New sets it
	// to what the runtime measured.
	SchedulingDelay func() time.Duration

	// laggingUntil is the end of the time in which the process counts as
	// lagging, in nanoseconds since start.
	laggingUntil atomic.Int64
	start        time.Time
}

// New returns a monitor that measures once Run is called.
func New() *Monitor {
	return &Monitor{SchedulingDelay: newSchedLatencies().percentile90, start: time.Now()}
}

// Run measures until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	// The waits before now don't belong to the first measurement.
	m.SchedulingDelay()
	for {
		due := time.Now().Add(interval)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
		now := time.Now()
		m.record(now, due)
		if m.OnMeasure != nil {
			m.OnMeasure(now, max(now.Sub(due), m.SchedulingDelay()))
		}
	}
}

// schedLatencies reads how long goroutines waited to run.
type schedLatencies struct {
	sample     []metrics.Sample
	lastCounts []uint64
}

func newSchedLatencies() *schedLatencies {
	w := &schedLatencies{sample: []metrics.Sample{{Name: "/sched/latencies:seconds"}}}
	w.percentile90()
	return w
}

// percentile90 returns the 90th percentile of the waits that ended since the
// last call.
func (w *schedLatencies) percentile90() time.Duration {
	metrics.Read(w.sample)
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := w.sample[0].Value.Float64Histogram()
	counts := slices.Clone(h.Counts)
	total := uint64(0)
	if len(w.lastCounts) == len(h.Counts) {
		for i := range counts {
			counts[i] -= w.lastCounts[i]
		}
	}
	w.lastCounts = slices.Clone(h.Counts)
	for _, n := range counts {
		total += n
	}
	return bucketPercentile90(counts, h.Buckets, total)
}

// bucketPercentile90 returns the lower bound of the bucket that holds the 90th
// percentile.
func bucketPercentile90(counts []uint64, buckets []float64, total uint64) time.Duration {
	seen := uint64(0)
	for i, n := range counts {
		seen += n
		if n > 0 && 10*seen >= 9*total {
			return time.Duration(max(buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}

func (m *Monitor) record(now, due time.Time) {
	if now.Sub(due) >= Threshold {
		m.laggingUntil.Store(int64(now.Add(lagHold).Sub(m.start)))
	}
}

// Lagging reports whether a measurement within lagHold was late.
func (m *Monitor) Lagging() bool { return int64(time.Since(m.start)) < m.laggingUntil.Load() }
