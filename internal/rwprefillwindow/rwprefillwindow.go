// Package rwprefillwindow bounds how much of a span an engine spends on prefilling
// prompts. An engine shares its steps between chunks of prompts and the tokens of the
// streams that it decodes. While it has prompts to prefill, each step takes as long as a
// chunk, and a stream whose events hold several tokens pauses for as many chunks: 6 of
// 4,096 tokens take 620 ms where 40 tokens are prefilled in a ms. The package reads no
// clock.
package rwprefillwindow

import (
	"slices"
	"time"
)

// Window holds when an engine prefills. It is not safe for concurrent use.
type Window struct {
	// spans are in order and don't overlap.
	spans []span
}

type span struct{ start, end time.Time }

// Add records a prompt that takes a time to prefill, which the engine begins now or once
// it has prefilled those before.
func (w *Window) Add(now time.Time, took time.Duration) {
	start := w.next(now)
	w.spans = append(w.spans, span{start, start.Add(took)})
}

// Busy returns how much of the window that would end with a prompt the engine spends on
// prefilling others. The prompt takes a time to prefill and is sent now.
func (w *Window) Busy(now time.Time, took, window time.Duration) time.Duration {
	from := w.next(now).Add(took - window)
	w.spans = slices.DeleteFunc(w.spans, func(s span) bool { return s.end.Before(now.Add(-window)) })
	busy := time.Duration(0)
	for _, s := range w.spans {
		if s.end.After(from) {
			busy += s.end.Sub(later(s.start, from))
		}
	}
	return busy
}

// Wait returns how long to keep a prompt back until Busy is at most a limit.
func (w *Window) Wait(now time.Time, took, window, limit time.Duration) time.Duration {
	excess := w.Busy(now, took, window) - limit
	if excess <= 0 {
		return 0
	}
	// The window has to move past the earliest spans in it, by as much as is too much.
	from := w.next(now).Add(took - window)
	for _, s := range w.spans {
		if begin := later(s.start, from); s.end.After(begin) {
			if length := s.end.Sub(begin); length < excess {
				excess -= length
				continue
			}
			return begin.Add(excess + window - took).Sub(now)
		}
	}
	return 0
}

// next returns when the engine begins a prompt that is sent now.
func (w *Window) next(now time.Time) time.Time {
	if len(w.spans) == 0 {
		return now
	}
	return later(now, w.spans[len(w.spans)-1].end)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
