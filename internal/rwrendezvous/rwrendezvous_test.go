package rwrendezvous_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwrendezvous"
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("router-%d", i))
	}
	return out
}

// Guards against a hash that gives one router most of the keys.
func TestTopIsEven(t *testing.T) {
	list := names(8)
	got := map[string]int{}
	const keys = 8000
	for i := range keys {
		got[rwrendezvous.Top(fmt.Sprintf("key-%d", i), list)]++
	}
	for _, n := range list {
		require.InDelta(t, keys/len(list), got[n], 150, n)
	}
}

// Guards against a removal that moves keys between the remaining routers.
func TestRemovalMovesOnlyTheKeysOfTheRemoved(t *testing.T) {
	list := names(8)
	for i := range 500 {
		key := fmt.Sprintf("key-%d", i)
		order := rwrendezvous.Order(key, list)
		require.Equal(t, order[0], rwrendezvous.Top(key, list))
		if order[0] != list[7] {
			require.Equal(t, order[0], rwrendezvous.Top(key, list[:7]))
		} else {
			require.Equal(t, order[1], rwrendezvous.Top(key, list[:7]))
		}
	}
}

// Guards against a small machine that gets as many keys as a large one, and
// against a removal that moves keys between the remaining routers.
func TestWeighted(t *testing.T) {
	share := func(i int) float64 { return []float64{1, 1, 4, 16}[i%4] }
	list := names(8)
	top := func(key string, n int) string {
		best, bestScore := "", 0.0
		for i, name := range list[:n] {
			if s := rwrendezvous.WeightedScore(key, name, share(i)); s > bestScore {
				best, bestScore = name, s
			}
		}
		return best
	}
	got := map[string]int{}
	const keys = 8800
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		best := top(key, 8)
		got[best]++
		if best != list[7] {
			require.Equal(t, best, top(key, 7))
		}
	}
	for i, n := range list {
		require.InEpsilon(t, share(i)*keys/44, got[n], 0.2, n)
	}
}
