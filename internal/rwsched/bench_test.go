package rwsched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwsched"
	"redwingworks.example/internal/rwtotal"
)

// busyCell is a scheduler with accounts, some of them backlogged, whose slots
// are all in use.
type busyCell struct {
	s       *rwsched.Scheduler
	running []rwgrant.Grant
	turn    int
}

// unboundedBacklog is a backlog that no run uses up.
const unboundedBacklog = 1 << 40

func newBusyCell(accounts, backlogged int) *busyCell {
	l := &busyCell{s: newCell(40, 40, 40, 40)}
	l.s.SetPool(640, 6400, 300*time.Millisecond)
	for i := range accounts {
		l.s.SetAccount(fmt.Sprint("account-", i), share*(1+i%4))
	}
	var totals []rwtotal.Total
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		totals = append(totals, rwtotal.Total{Account: name, Cost: float64(i % 97)})
		if i < backlogged {
			for k := range 3 {
				l.s.SetBacklog(epoch, fmt.Sprint("entry-", i%8), name, fmt.Sprint("kind-", k), unboundedBacklog, 0)
			}
		}
	}
	l.s.MergeTotals("other", 5, totals)
	_, l.running = drain(l.s, epoch)
	for range 20 * accounts {
		l.decide()
	}
	return l
}

// decide ends one request, grants its slot again and reports whether there was
// a grant.
func (l *busyCell) decide() bool {
	g := &l.running[l.turn]
	l.s.Finish(epoch, g.ID, float64(50+l.turn%17), 0, time.Second, rwcode.None)
	next, ok := l.s.Next(epoch)
	*g = next
	l.turn = (l.turn + 1) % len(l.running)
	return ok
}

var sizes = []struct{ accounts, backlogged int }{
	{16, 2}, {16, 16}, {310, 31}, {310, 310}, {3100, 310}, {3100, 3100},
}

// BenchmarkDecision measures a Finish and the Next that reuses its slot.
func BenchmarkDecision(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprintf("%d of %d", c.backlogged, c.accounts), func(b *testing.B) {
			l := newBusyCell(c.accounts, c.backlogged)
			b.ReportAllocs()
			for b.Loop() {
				l.decide()
			}
		})
	}
}

// BenchmarkReturned measures a Next and the Finish of a grant that is returned
// unused.
func BenchmarkReturned(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprintf("%d of %d", c.backlogged, c.accounts), func(b *testing.B) {
			l := newBusyCell(c.accounts, c.backlogged)
			l.s.SetUpstream("up-0", 41)
			b.ReportAllocs()
			for b.Loop() {
				g, _ := l.s.Next(epoch)
				l.s.Finish(epoch, g.ID, 0, 0, 0, rwcode.None)
			}
		})
	}
}

// BenchmarkMerge measures the merge of a report of 30 totals. With few backlogged
// accounts, several of the totals are of the same account.
func BenchmarkMerge(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprintf("%d of %d", c.backlogged, c.accounts), func(b *testing.B) {
			l := newBusyCell(c.accounts, c.backlogged)
			totals := make([]rwtotal.Total, 30)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				for i := range totals {
					totals[i] = rwtotal.Total{Account: l.running[(n+i)%len(l.running)].Account, Cost: float64(1000 + n)}
				}
				l.s.MergeTotals("other", 5, totals)
			}
		})
	}
}

// Guards against decisions whose cost grows with the number of accounts: a
// decision with 310 of 3,100 accounts backlogged may take at most 3 times as
// long as with 2 of 16. The two are measured alternately and the fastest run of
// each counts, since other load on the machine only slows a run down.
func TestDecisionCostGrowsSlowly(t *testing.T) {
	const rounds, batch = 60, 3000
	small, large := newBusyCell(16, 2), newBusyCell(3100, 310)
	fastest := func(l *busyCell, best time.Duration) time.Duration {
		start := time.Now()
		for range batch {
			l.decide()
		}
		return min(best, time.Since(start))
	}
	a, b := time.Hour, time.Hour
	for range rounds {
		a, b = fastest(small, a), fastest(large, b)
	}
	t.Logf("2 of 16: %v, 310 of 3100: %v, ratio %.2f", a/batch, b/batch, float64(b)/float64(a))
	require.LessOrEqual(t, float64(b), 3*float64(a))
}

// Guards against allocations on the path of every request.
func TestDecisionDoesNotAllocate(t *testing.T) {
	for _, c := range sizes {
		l := newBusyCell(c.accounts, c.backlogged)
		require.Zero(t, testing.AllocsPerRun(20000, func() {
			if !l.decide() {
				t.Fatal("no grant")
			}
		}), c)
	}
}
