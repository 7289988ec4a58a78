package rwprefixcache_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/cmd/rwengine/internal/rwprefixcache"
)

// Guards against a cache that grows without bound or evicts the wrong prefix.
func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	c := rwprefixcache.New(2)
	require.False(t, c.Use("a"))
	require.False(t, c.Use("b"))
	require.True(t, c.Use("a"))
	require.False(t, c.Use("c"))
	require.True(t, c.Use("a"))
	require.False(t, c.Use("b"))
	require.Equal(t, 2, c.Hits)
	require.Equal(t, 4, c.Misses)
}

// Guards against a panic in an engine without a cache.
func TestNoCache(t *testing.T) {
	c := rwprefixcache.New(0)
	require.False(t, c.Use("a"))
	require.False(t, c.Use("a"))
}
