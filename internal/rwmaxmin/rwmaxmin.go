// Package rwmaxmin computes max-min fair shares.
package rwmaxmin

import (
	"math"
	"slices"
)

// Share returns the max-min fair share of a capacity: demands up to the share
// are met in full, and larger ones are limited to it. It is infinite if all
// demands fit into the capacity.
func Share(capacity float64, demands []float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	remaining := capacity
	for i, d := range sorted {
		equal := remaining / float64(len(sorted)-i)
		if d > equal {
			return equal
		}
		remaining -= d
	}
	return math.Inf(1)
}
