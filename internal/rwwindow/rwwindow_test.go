package rwwindow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwwindow"
)

const target = 60 * time.Millisecond

var start = time.Unix(1000, 0)

// Guards against a window that changes in the wrong direction or by the wrong
// step.
func TestOneRequest(t *testing.T) {
	const first = 100 * time.Millisecond
	for _, c := range []struct {
		name    string
		gap     time.Duration
		first   time.Duration
		running int
		engine  bool
		want    int
	}{
		{"full and fast", 30 * time.Millisecond, first, 40, true, 41},
		{"not full", 30 * time.Millisecond, first, 39, true, 40},
		{"slow tokens", 61 * time.Millisecond, first, 40, true, 36},
		{"first token queued", 30 * time.Millisecond, 401 * time.Millisecond, 40, true, 36},
		{"plain service", 90 * time.Millisecond, first, 40, false, 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := rwwindow.New(40, target, c.engine)
			// This request sets the lowest time to the first token and
			// doesn't change the window.
			w.Observe(start, 1, first, first, 1)
			w.Observe(start.Add(time.Minute), 101, c.first, c.first+100*c.gap, c.running)
			require.Equal(t, c.want, w.Size())
		})
	}
}

// Guards against a first token that counts as queued because the lowest time was
// only a few milliseconds.
func TestShortFirstTokensAreNotQueued(t *testing.T) {
	w := rwwindow.New(40, target, true)
	w.Observe(start, 1, time.Millisecond, time.Millisecond, 1)
	w.Observe(start.Add(time.Minute), 1, 250*time.Millisecond, 250*time.Millisecond, 1)
	require.Equal(t, 40, w.Size())
}

// Guards against a window that collapses because each request that ran during
// one overload shrinks it.
func TestOneOverloadShrinksOnce(t *testing.T) {
	w := rwwindow.New(100, target, true)
	for i := range 100 {
		now := start.Add(time.Minute + time.Duration(i)*time.Millisecond)
		w.Observe(now, 101, target, target+100*2*target, 100)
	}
	require.Equal(t, 90, w.Size())
}

// Guards against a window that shrinks below one request.
func TestSizeStaysPositive(t *testing.T) {
	w := rwwindow.New(3, target, true)
	for i := range 20 {
		w.Observe(start.Add(time.Duration(i)*time.Hour), 101, target, target+100*2*target, 3)
	}
	require.Equal(t, 1, w.Size())
}

// Guards against a raise that changes a window above its start value or the
// window of a plain service.
func TestRaiseToStartKeepsLargerWindows(t *testing.T) {
	w := rwwindow.New(40, target, true)
	w.Observe(start.Add(time.Minute), 101, target, target+100*target/2, 40)
	require.Equal(t, 41, w.Size())
	w.RaiseToStart(start.Add(2 * time.Minute))
	require.Equal(t, 41, w.Size())

	// A request that began before the raise still counts, as the window did
	// not change.
	w.Observe(start.Add(2*time.Minute), 101, time.Second, time.Second+100*target/2, 41)
	require.Equal(t, 37, w.Size())

	service := rwwindow.New(40, target, false)
	service.RaiseToStart(start)
	require.Equal(t, 40, service.Size())
}

// Guards against a window that doesn't converge to the knee of an engine. This
// engine takes 1 ms between tokens per running request, so that 60 requests meet
// the target.
func TestWindowFindsTheKnee(t *testing.T) {
	for _, from := range []int{10, 200} {
		w := rwwindow.New(from, target, true)
		now, low, high := start, 1<<20, 0
		for round := range 400 {
			running := w.Size()
			total := target + 100*time.Duration(running)*time.Millisecond
			now = now.Add(total)
			for range running {
				w.Observe(now, 101, target, total, running)
			}
			if round > 200 {
				low, high = min(low, w.Size()), max(high, w.Size())
			}
		}
		require.GreaterOrEqual(t, low, 50, from)
		require.LessOrEqual(t, high, 70, from)
	}
}
