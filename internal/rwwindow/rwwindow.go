// Package rwwindow learns the concurrency limit of an upstream by additive
// increase and multiplicative decrease.
package rwwindow

import "time"

const (
	// maxSize bounds the window of an upstream that never slows down.
	maxSize = 4096
	// queuedFactor and queuedMargin distinguish a queue inside the engine from
	// the effect of varying prompt lengths: a first token counts as queued if it
	// takes longer than the margin and than the factor times the lowest time.
	queuedFactor = 4
	queuedMargin = 250 * time.Millisecond
	// intervalSamples is the approximate number of requests over which the time
	// between tokens is averaged. One long pause of a single stream is not an
	// overload.
	intervalSamples = 8
	// lowestFirstDecay raises the lowest time to the first token by 1/1024 with
	// each request, so that one cached prompt doesn't set it forever.
	lowestFirstDecay = 1024
	// growthPerWindow is by how much the window grows during as many requests as
	// its size, but at most one for each request, once it has shrunk. Before
	// that, each request adds one. Only requests that find the window in full
	// use and no overload count.
	growthPerWindow = 8
)

// Window is the learned window of one upstream: the number of requests that may
// run at once. It is not safe for concurrent use.
type Window struct {
	size, start int
	target      time.Duration
	engine      bool

	// tokenInterval is the mean time between tokens, 0 before the first sample
	// and after the window shrank or was raised to its start value. The next
	// sample then counts in full.
	tokenInterval time.Duration
	// lowestFirst is the lowest recent time to the first token.
	lowestFirst time.Duration
	// shrunkAt is when the window last shrank or was raised to its start value.
	// Requests that began before then are ignored, since they ran with the old
	// window.
	shrunkAt time.Time
	// fullRequests counts the requests since the size last changed that found
	// the window in full use and no overload.
	fullRequests int
}

// New returns a window with the start value of the upstream's record. target is
// the longest acceptable time between tokens. The window of a plain service
// (engine is false) never changes.
func New(start int, target time.Duration, engine bool) *Window {
	start = max(start, 1)
	return &Window{size: start, start: start, target: target, engine: engine}
}

// Size returns the number of requests that may run at once.
func (w *Window) Size() int { return w.size }

// Observe adjusts the window after a finished request. It takes the request's
// tokens, its times to the first and the last byte, and the number of requests
// that ran on the upstream, including this one.
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
	w.resize(now, max(w.size-max(w.size/10, 1), 1))
}

// RaiseToStart sets a window that is below its start value to that value. It is
// called when the requests of another owner of the upstream, which shrank the
// window, no longer compete with it. A window of 1 grows only when its request
// ends: without the raise, an engine with 8 slots ran one request at a time for 8 s
// after a partition in some runs of TestZoneCutAndRejoin.
func (w *Window) RaiseToStart(now time.Time) {
	if w.size < w.start {
		w.resize(now, w.start)
	}
}

// resize sets the size and discards the measurements made with the old one.
func (w *Window) resize(now time.Time, size int) {
	w.size = size
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
