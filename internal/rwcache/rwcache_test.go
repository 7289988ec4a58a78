package rwcache

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwprompt"
)

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
	c.Use(parts("a", "b"))
	require.Equal(t, 20, c.CachedTokens(parts("a", "b", "c")))
	require.Zero(t, c.CachedTokens(parts("x", "a")))
}

// Guards against an estimate that grows beyond the capacity, and against
// evicting leading parts before those that follow them.
func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	c := New(40)
	c.Use(parts("a", "b"))
	c.Use(parts("a", "c"))
	c.Use(parts("a", "d"))
	c.Use(parts("a", "e"))
	require.Equal(t, 20, c.CachedTokens(parts("a", "e")))
	require.Equal(t, 10, c.CachedTokens(parts("a", "b")))
	c.Resize(10)
	require.Equal(t, 10, c.CachedTokens(parts("a", "e")))
}
