package rwkindsched_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwingworks.example/internal/rwkindsched"
)

// A fixed seed makes the result the same on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

// serveTurns serves n requests of one cost unit each while all kinds stay
// backlogged, and returns the number of requests by kind.
func serveTurns(s *rwkindsched.Scheduler, n int) map[string]int {
	got := map[string]int{}
	for range n {
		entry, kind, _ := s.Next()
		s.Charge(kind, 1)
		s.Set(entry, kind, 8, 0)
		got[s.KindName(kind)]++
	}
	return got
}

// Guards against urgent kinds that starve the others: together they must not get
// more than the weight of their urgency, however many they are.
func TestUrgenciesShareByWeight(t *testing.T) {
	s := rwkindsched.New()
	for i := range 10 {
		s.Set("e", s.KindIndex(fmt.Sprint("urgent-", i), 0), 8, 0)
	}
	s.Set("e", s.KindIndex("soon", 1), 8, 0)
	s.Set("e", s.KindIndex("later", 2), 8, 0)
	s.Set("e", s.KindIndex("batch", 3), 8, 0)
	got := serveTurns(s, 1500)
	require.InDelta(t, 400, got["soon"], 2)
	require.InDelta(t, 200, got["later"], 2)
	require.InDelta(t, 100, got["batch"], 2)
	for i := range 10 {
		require.InDelta(t, 80, got[fmt.Sprint("urgent-", i)], 2)
	}
}

// Guards against a kind that saves up credit while it is idle.
func TestKindCannotSaveUpCredit(t *testing.T) {
	s := rwkindsched.New()
	s.Set("e", s.KindIndex("busy", 0), 8, 0)
	serveTurns(s, 1000)
	s.Set("e", s.KindIndex("peer", 0), 8, 0)
	s.Set("e", s.KindIndex("batch", 3), 8, 0)
	got := serveTurns(s, 170)
	require.InDelta(t, 75, got["busy"], 2)
	require.InDelta(t, 75, got["peer"], 2)
	require.InDelta(t, 19, got["batch"], 2)
}

// Guards against an entry router that is skipped.
func TestEntryRoutersAreServedRoundRobin(t *testing.T) {
	s := rwkindsched.New()
	k := s.KindIndex("k", 0)
	got := map[string]int{}
	for i := range 5 {
		s.Set(fmt.Sprint(i), k, 8, 0)
	}
	for range 20 {
		entry, _, _ := s.Next()
		got[entry]++
	}
	for i := range 5 {
		require.Equal(t, 4, got[fmt.Sprint(i)])
	}
}

// Guards against a count that disagrees with the backlogs after any sequence of
// changes. Slots would then be idle, or granted without waiting requests.
func TestCountsAgreeWithBacklogs(t *testing.T) {
	type key struct{ entry, kind string }
	rapid.Check(t, func(t *rapid.T) {
		s, model := rwkindsched.New(), map[key]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "entry"))
			k := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "kind"))
			switch rapid.IntRange(0, 7).Draw(t, "op") {
			case 0:
				s.DropEntry(e)
				for m := range model {
					if m.entry == e {
						delete(model, m)
					}
				}
			case 1:
				s.SetUrgency(k, rapid.IntRange(0, 3).Draw(t, "urgency"))
			case 2, 3, 4:
				n := rapid.IntRange(0, 3).Draw(t, "backlog")
				s.Set(e, s.KindIndex(k, 2), n, 0)
				model[key{e, k}] = n
			default:
				if s.Backlog() > 0 {
					entry, kind, _ := s.Next()
					model[key{entry, s.KindName(kind)}]--
				}
			}
			sum := 0
			for m, n := range model {
				require.GreaterOrEqual(t, n, 0, m)
				sum += n
			}
			require.Equal(t, sum, s.Backlog())
		}
		for s.Backlog() > 0 {
			entry, kind, _ := s.Next()
			model[key{entry, s.KindName(kind)}]--
		}
		for m, n := range model {
			require.Zero(t, n, m)
		}
	})
}
