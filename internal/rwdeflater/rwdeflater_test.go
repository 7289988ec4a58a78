package rwdeflater

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwitem"
)

// Guards against compressing a large value for each router that asks, and against
// keeping the compressed values of all versions.
func TestCompressedValuesAreKept(t *testing.T) {
	var d Deflater
	value := []byte(strings.Repeat("route ", 10_000))
	first, deflated := d.Encode(rwitem.Item{Key: "a", Value: value, Rev: 1})
	require.True(t, deflated)
	require.Less(t, len(first), len(value)/20)
	again, _ := d.Encode(rwitem.Item{Key: "a", Value: value, Rev: 1})
	require.Same(t, &first[0], &again[0])
	for rev := range 20 {
		d.Encode(rwitem.Item{Key: "a" + strconv.Itoa(rev%3), Value: value, Rev: int64(rev)})
	}
	require.LessOrEqual(t, len(d.kept), maxDeflated)
	_, deflated = d.Encode(rwitem.Item{Key: "b", Value: value[:100], Rev: 1})
	require.False(t, deflated)
}
