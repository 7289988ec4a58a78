package rwedge

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwstorewatch"
)

// Guards against a log line for each upstream of a listing that may be stale, and
// against such a listing that removes what it lacks.
func TestStaleListingOnlyAdds(t *testing.T) {
	e := newEdge()
	var out bytes.Buffer
	e.log = e.log.Output(&out)
	e.catalog.Decode = func(rwitem.Item) (rwcatalog.Decoded, error) { return rwcatalog.Decoded{}, nil }
	e.onList("", rwstorewatch.Batch{Rev: 9, Items: []rwitem.Item{{Key: "a", Rev: 9}, {Key: "b", Rev: 8}}})
	out.Reset()
	e.onStaleList("", rwstorewatch.Batch{Rev: 5, Items: []rwitem.Item{{Key: "a", Rev: 4}, {Key: "c", Rev: 5}}})
	require.NotContains(t, out.String(), "stale record ignored")
	require.Nil(t, e.metrics.Counters.Get("stale_items"))
	items := e.catalog.Since(rwrevision.Revision{})
	require.Len(t, items, 3)
	for _, it := range items {
		require.False(t, it.Deleted, it.Key)
	}
	e.onChange("", rwstorewatch.Batch{Rev: 9, Items: []rwitem.Item{{Key: "a", Rev: 3}}})
	require.Contains(t, out.String(), "stale record ignored", "an old item of a watch is worth a line")
}
