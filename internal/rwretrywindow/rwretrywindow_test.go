package rwretrywindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against retries of all routers together that exceed the fleet's budget
// in some window, for any order of requests and retries.
func TestFleetStaysWithinTheBound(t *testing.T) {
	const window = 10 * time.Second
	const ratio, extra, routers = 0.2, 56.0, 8
	rapid.Check(t, func(t *rapid.T) {
		var budgets []*Budget
		for range routers {
			budgets = append(budgets, New(ratio, extra, window))
		}
		type sent struct {
			at    time.Time
			retry bool
		}
		var log []sent
		now := start
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				log = append(log, sent{now, false})
			} else if b.Allow(now, routers) {
				log = append(log, sent{now, true})
			}
		}
		for i, last := range log {
			requests, retries := 0.0, 0.0
			for _, s := range log[:i+1] {
				switch {
				case last.at.Sub(s.at) >= window:
				case s.retry:
					retries++
				default:
					requests++
				}
			}
			require.LessOrEqual(t, retries, ratio*requests+extra)
		}
	})
}

// Guards against a budget that is still used up a window after a burst.
func TestBudgetRefills(t *testing.T) {
	b := New(0.2, 8, time.Second)
	n := 0
	for b.Allow(start, 1) {
		n++
	}
	require.Equal(t, 6, n)
	require.True(t, b.Allow(start.Add(2*time.Second), 1))
}
