package rwmaxmin

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against shares that favour one demand or waste capacity.
func TestLevel(t *testing.T) {
	require.True(t, math.IsInf(Share(10, []float64{4, 6}), 1))
	require.InDelta(t, 5, Share(10, []float64{20, 20}), 1e-9)
	require.InDelta(t, 9, Share(10, []float64{1, 20}), 1e-9)
	require.InDelta(t, 4, Share(10, []float64{2, 50, 5}), 1e-9)
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		share := Share(capacity, demands)
		demanded, granted := 0.0, 0.0
		for _, d := range demands {
			demanded += d
			granted += min(d, share)
		}
		require.InDelta(t, min(demanded, capacity), granted, 1e-6)
	})
}
