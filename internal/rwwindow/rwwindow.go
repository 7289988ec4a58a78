// Package rwwindow learns how many requests an upstream should run at once.
package rwwindow

import "time"

// Window is the learned window of one upstream.
type Window struct {
	size int
}

// New returns a window of the record's start value. target is the longest
// time between tokens that is wanted. The window of a plain service (engine
// is false) never changes.
func New(start int, target time.Duration, engine bool) *Window {
	return &Window{size: start}
}

// Done takes in a finished request: its tokens, the times to the first and
// the last byte, and how many requests ran on the upstream, with it.
func (w *Window) Done(now time.Time, tokens float64, first, total time.Duration, running int) {}

// Size is the number of requests that may run at once.
func (w *Window) Size() int { return w.size }
