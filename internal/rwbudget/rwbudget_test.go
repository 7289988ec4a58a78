package rwbudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbudget"
)

var start = time.Unix(1000, 0)

const late = rwbudget.StallTime

// Guards against callers that stop short of the end of their bodies and keep others from
// sending, and against a steady caller that loses its memory to them.
func TestStalledClaimsGoFirst(t *testing.T) {
	b := rwbudget.New(100)
	var evicted []string
	open := func(name string, n int64) *rwbudget.Claim {
		c := b.Open(start, "bodies", 0, func() { evicted = append(evicted, name) })
		require.True(t, c.Grow(start, n))
		return c
	}
	oldest, steady, other := open("oldest", 40), open("steady", 40), open("other", 20)
	fresh := b.Open(start, "bodies", 0, func() { evicted = append(evicted, "fresh") })
	require.False(t, fresh.Grow(start.Add(late/2), 10), "nobody has stalled yet")
	require.Empty(t, evicted)
	steady.Progress(start.Add(late))
	require.True(t, fresh.Grow(start.Add(late), 10))
	require.Equal(t, []string{"oldest"}, evicted)
	require.False(t, oldest.Grow(start.Add(late), 1), "it has lost its memory")
	require.False(t, oldest.Pin())
	require.False(t, fresh.Grow(start.Add(late), 60), "only one has stalled, which is not enough")
	require.Equal(t, []string{"oldest"}, evicted, "a claim that gains nothing takes nothing")
	require.True(t, other.Pin())
}

// Guards against complete requests that lose their bodies while an upstream runs them.
func TestPinnedClaimsStay(t *testing.T) {
	b := rwbudget.New(100)
	c := b.Open(start, "bodies", 0, func() { require.Fail(t, "evicted") })
	require.True(t, c.Grow(start, 90))
	require.True(t, c.Pin())
	other := b.Open(start, "bodies", 0, func() {})
	require.False(t, other.Grow(start.Add(time.Hour), 20))
	require.True(t, other.Pin())
	require.False(t, b.EvictStalled(start.Add(time.Hour)))
	c.Close()
	require.True(t, other.Grow(start.Add(time.Hour), 20))
}

// Guards against memory that is counted twice, never returned, or for requests that take
// none beside their own.
func TestHeld(t *testing.T) {
	b := rwbudget.New(100)
	c := b.Open(start, "bodies", 60, func() {})
	require.True(t, c.Grow(start, 50))
	requireHeld(t, b, 0)
	require.True(t, c.Grow(start, 100))
	requireHeld(t, b, 90)
	require.True(t, c.Grow(start, -70))
	requireHeld(t, b, 20)
	require.False(t, c.Grow(start, 100))
	requireHeld(t, b, 20)
	require.True(t, b.EvictStalled(start.Add(late)))
	requireHeld(t, b, 0)
	c.Close()
	requireHeld(t, b, 0)
	_, evicted := b.Held()
	require.EqualValues(t, 1, evicted)
}

func requireHeld(t *testing.T, b *rwbudget.Budget, n int64) {
	held, _ := b.Held()
	require.Equal(t, n, held["bodies"])
}

// Guards against a router without a memory limit that refuses requests.
func TestNoBudget(t *testing.T) {
	var b *rwbudget.Budget
	c := b.Open(start, "bodies", 0, nil)
	require.True(t, c.Grow(start, 1<<40))
	c.Progress(start)
	require.True(t, c.Pin())
	c.Unpin(start, nil)
	c.Close()
	require.False(t, b.EvictStalled(start))
}

// Guards against large claims that leave nothing to small ones.
func TestReserveIsForSmallClaims(t *testing.T) {
	const total, reserve = 4 * rwbudget.SmallBytes, rwbudget.SmallBytes
	b := rwbudget.NewWithReserve(total, reserve)
	open := func() *rwbudget.Claim { return b.Open(start, "bodies", 0, func() {}) }
	large := open()
	require.False(t, large.Grow(start, total-reserve+1))
	require.True(t, large.Grow(start, total-reserve))
	small := open()
	require.True(t, small.Grow(start, rwbudget.SmallBytes/2))
	require.False(t, open().Grow(start, rwbudget.SmallBytes), "not more than the total")
	require.True(t, small.Grow(start, rwbudget.SmallBytes/2))
	large.Close()
	require.False(t, open().Grow(start, total-reserve), "all of the rest, but for the reserve")
	require.True(t, open().Grow(start, total-2*reserve))
}

// Guards against responses that are complete and whose callers don't read them, which
// would keep their memory for good.
func TestUnpinnedClaimGivesWay(t *testing.T) {
	b := rwbudget.New(100)
	c := b.Open(start, "responses", 0, nil)
	require.True(t, c.Pin())
	require.True(t, c.Grow(start, 90))
	other := b.Open(start, "bodies", 0, func() {})
	require.False(t, other.Grow(start.Add(late), 20))
	evicted := 0
	c.Unpin(start.Add(late), func() { evicted++ })
	require.False(t, other.Grow(start.Add(late), 20), "its caller has the time of others")
	require.True(t, other.Grow(start.Add(2*late), 20))
	require.Equal(t, 1, evicted)
	c.Unpin(start.Add(3*late), func() { require.Fail(t, "evicted twice") })
	other.Close()
	require.False(t, b.EvictStalled(start.Add(time.Hour)))
}

// Guards against callers that send single bytes and so never stall.
func TestSingleBytesAreNoProgress(t *testing.T) {
	b := rwbudget.New(100)
	lost := false
	slow := b.Open(start, "bodies", 0, func() { lost = true })
	steady := b.Open(start, "bodies", 0, func() { require.Fail(t, "evicted") })
	for at := time.Duration(0); at < late; at += late / 10 {
		slow.Receive(start.Add(at), 1)
		steady.Receive(start.Add(at), rwbudget.ProgressBytes/8)
	}
	require.True(t, b.EvictStalled(start.Add(late)))
	require.True(t, lost)
	require.False(t, b.EvictStalled(start.Add(late)))
}

// Guards against a claim that goes in place of one of another group, and against one that
// hasn't stalled and goes because it is the first of its group.
func TestStalledClaimOfGroup(t *testing.T) {
	b := rwbudget.New(100)
	var evicted []string
	for _, group := range []string{"a", "b"} {
		b.Open(start, "bodies", 0, func() { evicted = append(evicted, group) }).Join(group)
	}
	b.Open(start.Add(late), "bodies", 0, func() { evicted = append(evicted, "late") }).Join("c")
	require.False(t, b.EvictStalledOf(start.Add(late), "c"))
	require.True(t, b.EvictStalledOf(start.Add(late), "b"))
	require.False(t, b.EvictStalledOf(start.Add(late), "b"))
	require.Equal(t, []string{"b"}, evicted)
}
