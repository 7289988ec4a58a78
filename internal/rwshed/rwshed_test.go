package rwshed_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwshed"
)

var start = time.Unix(1000, 0)

// play sends requests at even rates a second for 25 seconds and returns the refused
// fraction of each account in the last 20.
func play(s *rwshed.Shedder, ratio float64, rates map[string]int) map[string]float64 {
	const warmUp, seconds = 5, 25
	random := rand.New(rand.NewPCG(1, 2))
	// With the order of the map, the random numbers would differ between runs.
	names := slices.Sorted(maps.Keys(rates))
	refused := map[string]float64{}
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, name := range names {
			rate := rates[name]
			if ms*rate/1000 == (ms+1)*rate/1000 {
				continue
			}
			s.Count(now, name)
			if s.ShouldRefuse(now, name, ratio, random.Float64()) && ms >= warmUp*1000 {
				refused[name] += 1 / float64(rate*(seconds-warmUp))
			}
		}
	}
	return refused
}

// Guards against a fraction that is taken from small accounts as well as from the one
// that fills the router, and against one that is missed.
func TestTheLargestAreRefused(t *testing.T) {
	refused := play(rwshed.New(), 0.5, map[string]int{"large": 600, "middling": 60, "small": 5})
	require.Zero(t, refused["middling"])
	require.Zero(t, refused["small"])
	require.InDelta(t, 0.5*665/600, refused["large"], 0.05)
}

// Guards against an account that is served at the cost of others as large.
func TestEqualAccountsAreRefusedAlike(t *testing.T) {
	refused := play(rwshed.New(), 0.4, map[string]int{"a": 200, "b": 200, "c": 20})
	require.Zero(t, refused["c"])
	require.InDelta(t, 0.42, refused["a"], 0.05)
	require.InDelta(t, 0.42, refused["b"], 0.05)
}

// Guards against a single account that is never refused, and against refusals while the
// router has CPU time.
func TestRefusesWhatIsAsked(t *testing.T) {
	require.InDelta(t, 0.9, play(rwshed.New(), 0.9, map[string]int{"a": 300})["a"], 0.05)
	require.Zero(t, play(rwshed.New(), 0, map[string]int{"a": 300})["a"])
}

// Guards against accounts that are kept for ever.
func TestAccountsAreForgotten(t *testing.T) {
	s := rwshed.New()
	for i := range 1000 {
		s.Count(start, strconv.Itoa(i))
	}
	later := start.Add(time.Minute)
	s.Count(later, "a")
	require.False(t, s.ShouldRefuse(later, "a", 0.5, 0))
	require.True(t, s.ShouldRefuse(later, "a", 0.5, 0.6), "the share is that of the only account left")
}

// Guards against an account that is refused for the growth of its own rate in the first
// half second of a jump.
func TestJumpIsRefusedNoMoreThanAsked(t *testing.T) {
	const ratio, before, after = 0.1, 20, 650
	s := rwshed.New()
	random := rand.New(rand.NewPCG(1, 2))
	for ms := range 5000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%(1000/before) == 0 {
			s.Count(now, "a")
			s.ShouldRefuse(now, "a", ratio, random.Float64())
		}
	}
	asked, refused := 0, 0
	for at := 5 * time.Second; at < 5500*time.Millisecond; at += time.Second / after {
		s.Count(start.Add(at), "a")
		asked++
		if s.ShouldRefuse(start.Add(at), "a", ratio, random.Float64()) {
			refused++
		}
	}
	require.InDelta(t, ratio, float64(refused)/float64(asked), 0.05)
}
