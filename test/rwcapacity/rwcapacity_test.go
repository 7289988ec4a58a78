package rwcapacity_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwcapacity"
)

// Guards against a wrong slope, intercept or residual.
func TestFit(t *testing.T) {
	f := rwcapacity.New([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	require.InDelta(t, 2, f.Slope, 1e-9)
	require.InDelta(t, 3, f.Intercept, 1e-9)
	require.InDelta(t, 0, f.Residual, 1e-9)
	require.InDelta(t, 23, f.At(10), 1e-9)
	f = rwcapacity.New([]float64{0, 0, 2, 2}, []float64{9, 11, 9, 11})
	require.InDelta(t, 0.1, f.Residual, 1e-9)
}
