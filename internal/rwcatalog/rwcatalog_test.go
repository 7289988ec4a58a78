package rwcatalog

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwrouteconfig"
)

// decode reads values of the form "config N", "ready", "leaving" and "bad".
func decode(it rwitem.Item) (Decoded, error) {
	switch v := string(it.Value); {
	case strings.HasPrefix(v, "config "):
		return Decoded{Config: rwrouteconfig.New(int64(v[7]-'0'), rwrouteconfig.Limits{}, nil, nil, nil)}, nil
	case v == "bad":
		return Decoded{}, rwfault.New(rwcode.RecordInvalid, it.Key)
	default:
		return Decoded{Instance: &rwinstance.Instance{ID: it.Key, Leaving: v == "leaving"}}, nil
	}
}

func put(key, value string, rev int64) rwitem.Item {
	return rwitem.Item{Key: key, Value: []byte(value), Rev: rev}
}

func removal(key string, rev int64) rwitem.Item {
	return rwitem.Item{Key: key, Rev: rev, Deleted: true}
}

func ids(c *Catalog) []string {
	out := []string{}
	for _, in := range c.Instances() {
		id := in.ID
		if in.Leaving {
			id += " leaving"
		}
		out = append(out, id)
	}
	return out
}

var start = time.Unix(1000, 0)

// Guards against a stale copy, from another router or an old page, that brings
// back an older configuration or an upstream that is leaving or removed.
func TestOlderRevisionsChangeNothing(t *testing.T) {
	c := New(decode)
	_, bad := c.Apply(start, []rwitem.Item{put("a", "ready", 5), put("b", "ready", 6), put("p", "config 3", 7)})
	require.Empty(t, bad)
	c.Apply(start, []rwitem.Item{put("a", "leaving", 9), removal("b", 10)})
	changed, _ := c.Apply(start, []rwitem.Item{put("a", "ready", 5), put("b", "ready", 6), put("b", "ready", 10)})
	require.False(t, changed)
	require.Equal(t, []string{"a leaving"}, ids(c))
	c.Apply(start, []rwitem.Item{put("p", "config 2", 20)})
	require.EqualValues(t, 3, c.Config().Version)
}

// Guards against an undecodable entry that stays in use or that removes others.
func TestUndecodableEntryIsNotUsed(t *testing.T) {
	c := New(decode)
	c.Apply(start, []rwitem.Item{put("a", "ready", 1), put("b", "ready", 2)})
	changed, bad := c.Apply(start, []rwitem.Item{put("a", "bad", 3)})
	require.True(t, changed)
	require.True(t, rwfault.Is(bad["a"], rwcode.RecordInvalid))
	require.Equal(t, []string{"b"}, ids(c))
}

// Guards against using an upstream after its entry was removed, and against
// losing all upstreams whose entries lapsed during an outage of the store.
func TestRemovalAndLapse(t *testing.T) {
	c := New(decode)
	c.Apply(start, []rwitem.Item{put("a", "ready", 1), put("b", "ready", 2)})
	c.Apply(start, []rwitem.Item{removal("a", 3)})
	require.Equal(t, []string{"b"}, ids(c), "without an outage, a removal takes effect at once")

	c.NoteStoreFailure(start)
	c.Apply(start.Add(time.Second), []rwitem.Item{removal("b", 4)})
	require.Equal(t, []string{"b"}, ids(c), "a removal around an outage may be a lapse")
	require.False(t, c.Tick(start.Add(time.Second+lapseGrace-time.Millisecond)))
	require.True(t, c.Tick(start.Add(time.Second+lapseGrace)))
	require.Empty(t, ids(c))
	c.Apply(start.Add(4*time.Second), []rwitem.Item{put("b", "ready", 9)})
	require.Equal(t, []string{"b"}, ids(c))
}

// Guards against keeping a leaving upstream in use because its removal looks
// like a lapse.
func TestLeavingDoesNotLapse(t *testing.T) {
	c := New(decode)
	c.Apply(start, []rwitem.Item{put("a", "leaving", 1)})
	c.NoteStoreFailure(start)
	c.Apply(start, []rwitem.Item{removal("a", 2)})
	require.Empty(t, ids(c))
}

// Guards against missing a removal that a watch didn't report, and against a
// listing that removes entries written after it.
func TestListingRemovesWhatIsMissing(t *testing.T) {
	c := New(decode)
	c.Apply(start, []rwitem.Item{put("s/a", "ready", 1), put("s/b", "ready", 8), put("p", "config 1", 2)})
	within := func(key string) bool { return strings.HasPrefix(key, "s/") }
	require.True(t, c.ApplyListing(start, rwrevision.Revision{Rev: 5}, map[string]bool{}, within))
	require.Equal(t, []string{"s/b"}, ids(c))
	require.NotNil(t, c.Config())
}

// Guards against a catalog that reports a newer revision because of one new
// item.
func TestRevisionIsThatOfCompleteReads(t *testing.T) {
	c := New(decode)
	c.Apply(start, []rwitem.Item{put("a", "ready", 50)})
	require.Zero(t, c.Rev())
	c.Advance(start, rwrevision.Revision{Rev: 40})
	c.Advance(start, rwrevision.Revision{Rev: 30})
	require.Equal(t, rwrevision.Revision{Rev: 40}, c.Rev())
	require.Len(t, c.Since(rwrevision.Revision{Rev: 40}), 1)
	require.Empty(t, c.Since(rwrevision.Revision{Rev: 50}))
}
