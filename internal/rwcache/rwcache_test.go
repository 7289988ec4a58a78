package rwcache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwprompt"
)

var start = time.Unix(1000, 0)

func parts(ids ...string) []rwprompt.Part {
	var out []rwprompt.Part
	for _, id := range ids {
		out = append(out, rwprompt.Part{ID: id, Tokens: 10})
	}
	return out
}

// Guards against counting a part whose predecessors were evicted: the engine
// prefills it again.
func TestCachedTokensStopAtTheFirstGap(t *testing.T) {
	c := New(100)
	c.Use(start, parts("a", "b"))
	require.Equal(t, 20, c.CachedTokens(parts("a", "b", "c")))
	require.Zero(t, c.CachedTokens(parts("x", "a")))
}

// Guards against an estimate that grows beyond the capacity, and against
// evicting leading parts before those that follow them.
func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	c := New(40)
	c.Use(start, parts("a", "b"))
	c.Use(start, parts("a", "c"))
	c.Use(start, parts("a", "d"))
	c.Use(start, parts("a", "e"))
	require.Equal(t, 20, c.CachedTokens(parts("a", "e")))
	require.Equal(t, 10, c.CachedTokens(parts("a", "b")))
	c.Resize(10)
	require.Equal(t, 10, c.CachedTokens(parts("a", "e")))
}

// Guards against a cache with room that looks crowded, and against an age that isn't
// that of the next part to be evicted.
func TestNextEvicted(t *testing.T) {
	c := New(30)
	_, full := c.NextEvicted()
	require.False(t, full)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	c.Use(at(0), parts("a"))
	c.Use(at(1), parts("b"))
	c.Use(at(2), parts("c"))
	_, full = c.NextEvicted()
	require.False(t, full, "nothing was evicted yet")
	c.Use(at(3), parts("a"))
	c.Use(at(4), parts("d"))
	usedAt, full := c.NextEvicted()
	require.True(t, full)
	require.Equal(t, at(2), usedAt)
}
