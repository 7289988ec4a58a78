package rwpart

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwitem"
)

func plain(it rwitem.Item) ([]byte, bool) { return it.Value, false }

func item(key string, rev int64, size int) rwitem.Item {
	return rwitem.Item{Key: key, Rev: rev, Value: []byte(strings.Repeat("x", size))}
}

// Guards against a cut that sends an item again or skips one at a position, also one
// whose item is gone or was replaced, and against one that makes no progress.
func TestPositions(t *testing.T) {
	items := []rwitem.Item{item("a", 3, 10), item("b", 1, 5000), item("b", 7, 20), item("c", 2, 0)}
	parts, next, done := Cut(items, Position{}, 1000, plain)
	require.False(t, done)
	require.Equal(t, []string{"a", "b"}, []string{parts[0].Key, parts[1].Key})
	require.Equal(t, Position{Key: "b", Rev: 1, Offset: len(parts[1].Value)}, next)

	again, _, _ := Cut(items, next, 1000, plain)
	require.Equal(t, next.Offset, again[0].Offset)
	require.Equal(t, 5000, again[0].Size)

	replaced := []rwitem.Item{item("a", 3, 10), item("b", 7, 20), item("c", 2, 0)}
	parts, next, done = Cut(replaced, next, 1000, plain)
	require.True(t, done)
	require.Len(t, parts, 2)
	require.Equal(t, int64(7), parts[0].Rev)
	require.Zero(t, parts[0].Offset)
	parts, _, done = Cut(replaced, next, 1000, plain)
	require.True(t, done)
	require.Empty(t, parts)

	for from, n := (Position{}), 0; ; n++ {
		require.Less(t, n, 6000)
		parts, from, done = Cut(items, from, 1, plain)
		require.NotEmpty(t, parts, "a limit below an item's own size")
		if done {
			break
		}
	}
	_, _, done = Cut(nil, Position{}, 1000, plain)
	require.True(t, done)
	parts, _, _ = Cut(items, Position{Key: "b", Rev: 1, Offset: 9000}, 1000, plain)
	require.Equal(t, 5000, parts[0].Offset, "a position beyond the value, which a peer may send")
	parts, _, _ = Cut(items, Position{Key: "b", Rev: 1, Offset: -5}, 1000, plain)
	require.Zero(t, parts[0].Offset)
}
