package rwprefillwindow

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wait after which the window is still too busy, and against one that is
// longer than needed.
func TestWaitIsTheLeastThatKeepsTheLimit(t *testing.T) {
	const window = 400 * ms
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var w Window
		now := at(0)
		for range 1 + random.IntN(8) {
			w.Add(now, time.Duration(1+random.IntN(150))*ms)
			now = now.Add(time.Duration(random.IntN(200)) * ms)
		}
		took, limit := time.Duration(1+random.IntN(390))*ms, time.Duration(random.IntN(360))*ms
		wait := w.Wait(now, took, window, limit)
		if wait > 0 {
			// A prompt that is sent earlier begins after those before at the earliest.
			require.Greater(t, w.Busy(now.Add(wait-1), took, window), limit, "seed %d", seed)
		}
		if w.Busy(now, took, window) <= limit {
			require.Zero(t, wait, "seed %d", seed)
		}
		require.LessOrEqual(t, w.Busy(now.Add(wait), took, window), limit, "seed %d", seed)
	}
}
