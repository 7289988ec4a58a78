// Package rwwindow learns how many requests an upstream should run at once.
package rwwindow

import "time"

const (
	// maxSize bounds the window of an upstream that never slows down.
	maxSize = 4096
	// queuedFactor and firstSlack tell a queue inside the engine from the
	// prompts' varying lengths.
	queuedFactor = 4
	queuedMargin = 250 * time.Millisecond
	// intervalSamples is over how many requests the time between tokens is
	// averaged: one long pause of a single stream is no overload.
	intervalSamples = 8
	// lowestFirstDecay raises the lowest first token seen by a thousandth for
	// each request, so that one cached prompt doesn't stay the measure.
	lowestFirstDecay = 1024
	// growthPerWindow is in how many steps a window grows by one window's worth of
	// requests once it has shrunk; before that, each request adds one.
	growthPerWindow = 8
)

// Window is the learned window of one upstream. It is not safe for concurrent
// use.
type Window struct {
	size   int
	target time.Duration
	engine bool

	// tokenInterval is the mean time between tokens, 0 before the first sample.
	tokenInterval time.Duration
	lowestFirst   time.Duration
	// shrunkAt is when the window last shrank. Requests that began before it
	// measured the old window.
	shrunkAt time.Time
	// fullRequests counts the requests since the last growth that saw room.
	fullRequests int
}

// New returns a window of the record's start value. target is the longest
// time between tokens that is wanted. The window of a plain service (engine
// is false) never changes.
func New(start int, target time.Duration, engine bool) *Window {
	return &Window{size: max(start, 1), target: target, engine: engine}
}

// Size is the number of requests that may run at once.
func (w *Window) Size() int { return w.size }

// Observe takes in a finished request: its tokens, the times to the first and
// the last byte, and how many requests ran on the upstream, with it.
func (w *Window) Observe(now time.Time, tokens float64, first, total time.Duration, running int) {
	if !w.engine || total <= 0 || now.Add(-total).Before(w.shrunkAt) {
		return
	}
	w.measure(tokens, first, total)
	switch {
	case w.tokenInterval > w.target || w.firstTokenQueued(first):
		w.shrink(now)
	case running >= w.size:
		w.grow()
	}
}

func (w *Window) measure(tokens float64, first, total time.Duration) {
	w.lowestFirst += w.lowestFirst / lowestFirstDecay
	if w.lowestFirst == 0 || first < w.lowestFirst {
		w.lowestFirst = first
	}
	if tokens <= 1 || total < first {
		return
	}
	gap := time.Duration(float64(total-first) / (tokens - 1))
	if w.tokenInterval == 0 {
		w.tokenInterval = gap
	}
	w.tokenInterval += (gap - w.tokenInterval) / intervalSamples
}

// firstTokenQueued reports whether the first token waited inside the engine.
func (w *Window) firstTokenQueued(first time.Duration) bool {
	return first > queuedMargin && first > queuedFactor*w.lowestFirst
}

func (w *Window) shrink(now time.Time) {
	w.size = max(w.size-max(w.size/10, 1), 1)
	w.shrunkAt = now
	w.tokenInterval = 0
	w.fullRequests = 0
}

func (w *Window) grow() {
	w.fullRequests++
	if !w.shrunkAt.IsZero() && w.fullRequests*growthPerWindow < w.size {
		return
	}
	w.fullRequests = 0
	w.size = min(w.size+1, maxSize)
}
