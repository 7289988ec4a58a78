package rwsched_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwsched"
	"redwingworks.example/internal/rwschedview"
	"redwingworks.example/internal/rwtotal"
)

const share = 1000

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// newCell returns a scheduler with one upstream per window.
func newCell(windows ...int) *rwsched.Scheduler {
	s := rwsched.New("cell", 1)
	for i, w := range windows {
		s.SetUpstream(fmt.Sprint("up-", i), w)
	}
	return s
}

// drain calls Next until it returns no grant and counts the grants by account.
func drain(s *rwsched.Scheduler, now time.Time) (got map[string]int, grants []rwgrant.Grant) {
	got = map[string]int{}
	for {
		g, ok := s.Next(now)
		if !ok {
			return got, grants
		}
		got[g.Account]++
		grants = append(grants, g)
	}
}

func accountView(s *rwsched.Scheduler, account string) rwschedview.Account {
	list := s.View().Accounts
	return list[slices.IndexFunc(list, func(a rwschedview.Account) bool { return a.Name == account })]
}

// Guards against idle slots while any work waits, in any state, and against
// grants without waiting work or with a reused identifier.
func TestSlotsAreNeverIdleWhileWorkWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCell(3, 5)
		backlogs, running := map[string]int{}, map[uint64]rwgrant.Grant{}
		windows := map[string]int{"up-0": 3, "up-1": 5}
		seen := map[uint64]bool{}
		now := epoch
		name := func(prefix string, n int) string { return fmt.Sprint(prefix, rapid.IntRange(0, n).Draw(t, prefix)) }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 8).Draw(t, "op") {
			case 0, 1, 2:
				e, a, k := name("e", 2), name("a", 5), name("k", 2)
				n := rapid.IntRange(0, 8).Draw(t, "backlog")
				s.SetBacklog(now, e, a, k, n, rapid.Float64Range(0, 1e6).Draw(t, "hint"))
				backlogs[e+a+k] = n
			case 3:
				s.SetAccount(name("a", 5), rapid.IntRange(1, 9000).Draw(t, "weight"))
			case 4:
				u := name("up-", 1)
				windows[u] = rapid.IntRange(0, 8).Draw(t, "window")
				s.SetUpstream(u, windows[u])
			case 5:
				e := name("e", 2)
				s.DropEntry(now, e)
				maps.DeleteFunc(backlogs, func(k string, _ int) bool { return k[:2] == e })
				maps.DeleteFunc(running, func(_ uint64, g rwgrant.Grant) bool { return g.Entry == e })
			case 6:
				s.MergeTotals("other", 5, []rwtotal.Total{{Account: name("a", 5), Cost: rapid.Float64Range(0, 1e5).Draw(t, "total")}})
			default:
				for _, id := range slices.Sorted(maps.Keys(running)) {
					if rapid.Bool().Draw(t, "done") {
						s.Finish(now, id, rapid.Float64Range(0, 500).Draw(t, "cost"), 0, time.Second, rwcode.None)
						delete(running, id)
					}
				}
			}
			_, grants := drain(s, now)
			for _, g := range grants {
				require.False(t, seen[g.ID])
				seen[g.ID] = true
				running[g.ID] = g
				backlogs[g.Entry+g.Account+g.Kind]--
				require.GreaterOrEqual(t, backlogs[g.Entry+g.Account+g.Kind], 0)
			}
			checkNoIdleSlots(t, backlogs, windows, running)
		}
	})
}

func checkNoIdleSlots(t *rapid.T, backlogs, windows map[string]int, running map[uint64]rwgrant.Grant) {
	waiting, free := 0, 0
	for _, n := range backlogs {
		waiting += n
	}
	used := map[string]int{}
	for _, g := range running {
		used[g.Upstream]++
	}
	for u, w := range windows {
		free += max(w-used[u], 0)
	}
	require.Zero(t, min(waiting, free), "waiting %d, free %d", waiting, free)
}

// Guards against one account that holds most slots while others wait, and
// against a cap that leaves slots idle although no other account uses them.
func TestCapOnSlots(t *testing.T) {
	s := newCell(10, 10)
	for i := range 10 {
		s.SetBacklog(at(0), "e", fmt.Sprint("a", i), "k", 8, 0)
	}
	s.MergeTotals("other", 5, []rwtotal.Total{
		{Account: "a1", Cost: 1000}, {Account: "a2", Cost: 1000}, {Account: "a3", Cost: 1000},
		{Account: "a4", Cost: 1000}, {Account: "a5", Cost: 1000}, {Account: "a6", Cost: 1000},
		{Account: "a7", Cost: 1000}, {Account: "a8", Cost: 1000}, {Account: "a9", Cost: 1000},
	})
	got, _ := drain(s, at(0))
	require.Equal(t, 4, got["a0"], "twice a tenth of 20 slots, although it is far behind")

	s = newCell(10, 10)
	s.SetBacklog(at(0), "e", "a0", "k", 30, 0)
	s.SetBacklog(at(0), "e", "a1", "k", 1, 0)
	s.SetBacklog(at(0), "e", "a2", "k", 1, 0)
	got, _ = drain(s, at(0))
	require.Equal(t, map[string]int{"a0": 18, "a1": 1, "a2": 1}, got)
}

// Guards against slots that stay idle because all backlogged accounts are at
// the cap, which happens when more requests run than the windows allow.
func TestCapLeavesNoSlotIdle(t *testing.T) {
	s := newCell(4)
	for i := range 40 {
		s.Restore(at(0), rwgrant.Grant{ID: uint64(100 + i), Entry: "e", Account: fmt.Sprint("a", i%2), Kind: "k", Upstream: "removed", Cost: 1})
	}
	s.SetBacklog(at(0), "e", "a0", "k", 8, 0)
	s.SetBacklog(at(0), "e", "a1", "k", 8, 0)
	got, _ := drain(s, at(0))
	require.Equal(t, map[string]int{"a0": 2, "a1": 2}, got)
}

// Guards against an account that saves up credit while it is idle, and against
// one that loses its lag because its backlog was empty for a moment.
func TestJoin(t *testing.T) {
	for _, c := range []struct {
		away time.Duration
		want int
	}{{10 * time.Second, 5}, {20 * time.Millisecond, 9}} {
		s := newCell(1)
		s.SetPool(100, 100, time.Second)
		turn := func(now time.Time) string {
			g, ok := s.Next(now)
			require.True(t, ok)
			s.Finish(now, g.ID, 1, 0, time.Millisecond, rwcode.None)
			s.SetBacklog(now, "e", g.Account, "k", 8, 0)
			return g.Account
		}
		s.SetBacklog(at(0), "e", "late", "k", 8, 0)
		s.SetBacklog(at(0), "e", "busy", "k", 8, 0)
		s.MergeTotals("other", 5, []rwtotal.Total{{Account: "busy", Cost: 8}})
		s.SetBacklog(at(0), "e", "late", "k", 0, 0)
		for range 3 {
			turn(at(0))
		}
		now := at(0).Add(c.away)
		s.SetBacklog(now, "e", "late", "k", 8, 0)
		got := 0
		for range 10 {
			if turn(now) == "late" {
				got++
			}
		}
		require.InDelta(t, c.want, got, 1, c.away)
	}
}

// Guards against a report of much service that starves the account: its virtual
// time may be at most maxLag above the lowest one.
func TestLeadIsLimited(t *testing.T) {
	s := newCell(1)
	s.SetPool(10, 100, 250*time.Millisecond)
	for _, a := range []string{"a", "b"} {
		s.SetBacklog(at(0), "e", a, "k", 8, 0)
	}
	s.MergeTotals("other", 5, []rwtotal.Total{{Account: "a", Cost: 1e9}})
	const maxLag = 2*1*(1+2*10.0/2) + 2*100*0.25
	require.InDelta(t, maxLag, accountView(s, "a").Virtual-accountView(s, "b").Virtual, 1e-9)
}

// Guards against charges that aren't corrected, and against accounts that pay
// for work that failed inside the fleet or never ran.
func TestCorrections(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *rwsched.Scheduler, id uint64)
		want float64
	}{
		{"running", func(*rwsched.Scheduler, uint64) {}, 1},
		{"usage", func(s *rwsched.Scheduler, id uint64) { s.UpdateCost(at(1), id, 7) }, 7},
		{"usage below the charge", func(s *rwsched.Scheduler, id uint64) { s.UpdateCost(at(1), id, 0.5) }, 1},
		{"usage and done", func(s *rwsched.Scheduler, id uint64) {
			s.UpdateCost(at(1), id, 7)
			s.Finish(at(2), id, 5, 0, time.Second, rwcode.None)
			s.Finish(at(2), id, 5, 0, time.Second, rwcode.None)
			s.UpdateCost(at(2), id, 50)
		}, 5},
		{"returned", func(s *rwsched.Scheduler, id uint64) { s.Finish(at(2), id, 0, 0, 0, rwcode.None) }, 0},
		{"failed inside the fleet", func(s *rwsched.Scheduler, id uint64) {
			s.UpdateCost(at(1), id, 7)
			s.Finish(at(2), id, 9, 0, time.Second, rwcode.UpstreamTruncated)
		}, 0},
		{"caller disconnected", func(s *rwsched.Scheduler, id uint64) { s.Finish(at(2), id, 9, 0, time.Second, rwcode.CallerGone) }, 9},
		{"entry router dropped", func(s *rwsched.Scheduler, _ uint64) { s.DropEntry(at(2), "e") }, 0},
		{"other grant", func(s *rwsched.Scheduler, id uint64) { s.Finish(at(2), id+1, 9, 0, time.Second, rwcode.None) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCell(1)
			s.SetAccount("a", 2*share)
			s.SetBacklog(at(0), "e", "a", "k", 1, 1e6)
			g, ok := s.Next(at(0))
			require.True(t, ok)
			c.end(s, g.ID)
			require.InDelta(t, c.want, accountView(s, "a").Total, 1e-9)
			require.InDelta(t, c.want/2, accountView(s, "a").Virtual, 1e-9)
		})
	}
}

// Guards against a new owner that exceeds a window because it doesn't count the
// running grants, or that charges the work of its predecessor again.
func TestRestore(t *testing.T) {
	s := newCell(2)
	for range 2 {
		s.Restore(at(0), rwgrant.Grant{ID: 7, Entry: "e", Account: "a", Kind: "k", Upstream: "up-0"})
	}
	s.SetBacklog(at(0), "e", "a", "k", 8, 0)
	got, _ := drain(s, at(0))
	require.Equal(t, 1, got["a"])
	s.Finish(at(1), 7, 100, 0, time.Second, rwcode.None)
	require.InDelta(t, 1, accountView(s, "a").Total, 1e-9)
	got, _ = drain(s, at(1))
	require.Equal(t, 1, got["a"])
}

// Guards against a later owner that reuses identifiers of an earlier one. A late
// end of a request would then free the wrong slot.
func TestIdentifiersOfOwnersDiffer(t *testing.T) {
	start := epoch.UnixMicro()
	first, second := rwsched.New("cell", start), rwsched.New("cell", start+1_000_000)
	for _, s := range []*rwsched.Scheduler{first, second} {
		s.SetUpstream("up-0", 1000)
		s.SetBacklog(at(0), "e", "a", "k", 1000, 0)
	}
	_, a := drain(first, at(0))
	_, b := drain(second, at(0))
	require.Less(t, a[len(a)-1].ID, b[0].ID)
}

// Guards against grants for an upstream that was removed or can't be reached,
// and against one that gets no work after it recovered.
func TestUpstreams(t *testing.T) {
	s := newCell(4, 8)
	s.SetBacklog(at(0), "e", "a", "k", 6, 0)
	_, grants := drain(s, at(0))
	used := map[string]int{}
	for _, g := range grants {
		used[g.Upstream]++
	}
	require.Equal(t, map[string]int{"up-0": 2, "up-1": 4}, used, "the same part of each window")

	s.RemoveUpstream("up-1")
	for _, g := range grants {
		s.Finish(at(1), g.ID, 1, 0, time.Millisecond, rwcode.None)
	}
	s.SetBacklog(at(1), "e", "a", "k", 10, 0)
	_, grants = drain(s, at(1))
	require.Len(t, grants, 4)
	for _, g := range grants {
		require.Equal(t, "up-0", g.Upstream)
		s.Finish(at(2), g.ID, 0, 0, 0, rwcode.UpstreamUnreachable)
	}
	_, ok := s.Next(at(50))
	require.False(t, ok)
	require.Equal(t, at(102), s.NextRetry())
	got, grants := drain(s, at(102))
	require.Equal(t, 1, got["a"], "one trial")
	s.Finish(at(103), grants[0].ID, 1, 0, time.Millisecond, rwcode.None)
	got, _ = drain(s, at(103))
	require.Equal(t, 4, got["a"])
}

// Guards against a learned window that has no effect or is reset.
func TestEngineWindow(t *testing.T) {
	s := rwsched.New("cell", 1)
	s.SetEngine("engine", 2, 60*time.Millisecond)
	s.SetBacklog(at(0), "e", "a", "k", 8, 0)
	got, grants := drain(s, at(0))
	require.Equal(t, 2, got["a"])
	s.Finish(at(1000), grants[0].ID, 100, 100*time.Millisecond, time.Second, rwcode.None)
	s.SetEngine("engine", 2, 60*time.Millisecond)
	got, _ = drain(s, at(1000))
	require.Equal(t, 2, got["a"], "the free slot and one more")
}

// Guards against a removed account that still gets slots, or whose backlog is
// lost when it is added again.
func TestRemovedAccount(t *testing.T) {
	s := newCell(2)
	s.SetBacklog(at(0), "e", "a", "k", 8, 0)
	s.RemoveAccount("a")
	got, _ := drain(s, at(0))
	require.Empty(t, got)
	s.SetAccount("a", share)
	got, _ = drain(s, at(0))
	require.Equal(t, 2, got["a"])
}

// Guards against a change of owner that resets the gaps between accounts, and
// against leads that an owner adopts twice or when it is no longer new.
func TestNewOwnerAdoptsLeads(t *testing.T) {
	old := newCell(1)
	old.SetPool(100, 1000, time.Second)
	for _, a := range []string{"a", "b"} {
		old.SetBacklog(at(0), "e", a, "k", 8, 0)
	}
	old.MergeTotals("third", 5, []rwtotal.Total{{Account: "a", Cost: 50}})
	old.ReportAll()
	first, second := old.Report(nil), old.Report(nil)
	for _, c := range []struct {
		inc   int64
		after int
		want  float64
	}{{2, 300, 50}, {2, 5000, 0}, {0, 300, 0}} {
		s := rwsched.New("other", c.inc)
		s.SetPool(100, 1000, time.Second)
		for _, a := range []string{"a", "b"} {
			s.SetBacklog(at(0), "e", a, "k", 8, 0)
		}
		s.Next(at(c.after))
		s.MergeTotals("cell", 1, first)
		s.MergeTotals("cell", 1, second)
		// The smallest lead is 1e-6, since 0 marks accounts without work.
		require.InDelta(t, c.want, accountView(s, "a").Virtual-accountView(s, "b").Virtual, 2e-6)
	}
}

// Guards against a cell that treats accounts that join after an outage as newly
// backlogged although they were backlogged at other cells, and then works
// against the corrections of those cells; and against accounts that keep credit
// when they join at any other time.
func TestJoinAfterOutage(t *testing.T) {
	for _, c := range []struct {
		reconnected bool
		lead        float64
		want        float64
	}{{true, 1, 60 - 20}, {true, 0, 60 - 70}, {false, 1, 60 - 70}} {
		s := newCell(1)
		s.SetPool(100, 1000, time.Second)
		s.SetBacklog(at(0), "e", "here", "k", 8, 0)
		s.SetBacklog(at(0), "e", "there", "k", 8, 0)
		s.MergeTotals("other", 1, []rwtotal.Total{{Account: "there", Cost: 10}, {Account: "here", Cost: 60}})
		s.SetBacklog(at(100), "e", "there", "k", 0, 0)
		if c.reconnected {
			s.PeersReconnected(at(10000))
		}
		s.SetBacklog(at(10000), "e", "there", "k", 8, 0)
		s.MergeTotals("other", 1, []rwtotal.Total{{Account: "there", Cost: 20, Lead: c.lead}})
		require.InDelta(t, c.want, accountView(s, "here").Virtual-accountView(s, "there").Virtual, 1e-9, c)
	}
}

// Guards against an engine that stays almost idle for seconds after an outage.
// Another owner filled it during the outage, so its window shrank to 1, which
// grows only when a request ends. Requests granted during the outage end after
// it and must not shrink the window again.
func TestWindowAfterOutage(t *testing.T) {
	s := rwsched.New("cell", 1)
	s.SetEngine("up", 8, 60*time.Millisecond)
	s.SetBacklog(at(0), "e", "a", "k", 100, 0)
	window := func() int { return s.View().Upstreams[0].Window }
	finish := func(ms int, g rwgrant.Grant, first time.Duration) {
		s.Finish(at(ms), g.ID, 10, first, first+200*time.Millisecond, rwcode.None)
	}
	next := func() rwgrant.Grant {
		g, ok := s.Next(at(0))
		require.True(t, ok)
		return g
	}
	finish(220, next(), 20*time.Millisecond)
	duringOutage := next()
	for i := range 20 {
		_, grants := drain(s, at(1000*i))
		for _, g := range grants {
			finish(1000*i+900, g, 700*time.Millisecond)
		}
	}
	require.Equal(t, 1, window())

	s.PeersReconnected(at(20000))
	require.Equal(t, 8, window())
	finish(20500, duringOutage, 10*time.Second)
	require.Equal(t, 8, window())

	// The window shrinks again if the engine is still overloaded.
	_, grants := drain(s, at(21000))
	require.Len(t, grants, 8)
	finish(22000, grants[0], 800*time.Millisecond)
	require.Equal(t, 7, window())
}

// Guards against an account that loses its lag whenever its entry router
// selects other cells, although its work waits in the pool throughout; and
// against one that keeps its lag because of an old report of a cell that no
// longer reports.
func TestJoinWithWorkAtOtherCells(t *testing.T) {
	for _, c := range []struct {
		ms   int
		lead float64
		want float64
	}{{2000, 1, 50}, {2000, 0, 0}, {20000, 1, 0}} {
		s := newCell(1)
		s.SetPool(100, 1000, time.Second)
		s.SetBacklog(at(0), "e", "here", "k", 8, 0)
		s.MergeTotals("other", 1, []rwtotal.Total{{Account: "here", Cost: 60}, {Account: "there", Cost: 10, Lead: c.lead}})
		s.SetBacklog(at(c.ms), "e", "there", "k", 8, 0)
		require.InDelta(t, c.want, accountView(s, "here").Virtual-accountView(s, "there").Virtual, 1e-9, c)
	}
}

// Guards against reports that don't show that an account became backlogged or
// idle.
func TestReportShowsBacklog(t *testing.T) {
	s := newCell(0)
	s.SetBacklog(at(0), "e", "a", "k", 8, 0)
	for range 2 {
		got := s.Report(nil)
		require.Len(t, got, 1)
		require.NotZero(t, got[0].Lead)
	}
	s.SetBacklog(at(1), "e", "a", "k", 0, 0)
	s.SetBacklog(at(1), "e", "a", "k", 8, 0)
	require.Empty(t, s.Report(nil))
	s.SetBacklog(at(2), "e", "a", "k", 0, 0)
	require.Equal(t, []rwtotal.Total{{Account: "a"}}, s.Report(nil))
}
