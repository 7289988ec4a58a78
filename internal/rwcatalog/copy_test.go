package rwcatalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
)

// in returns an item of an era.
func in(era int64, it rwitem.Item) rwitem.Item {
	it.Era = era
	return it
}

// list applies a complete listing of an era.
func list(c *Catalog, now time.Time, era, rev int64, items ...rwitem.Item) {
	keys := map[string]bool{}
	for i := range items {
		items[i].Era = era
		keys[items[i].Key] = true
	}
	asOf := rwrevision.Revision{Era: era, Rev: rev}
	c.Apply(now, items)
	c.ApplyListing(now, asOf, keys, func(string) bool { return true })
	c.Advance(now, asOf)
}

// newModelCatalog returns a catalog that reads the values of the model.
func newModelCatalog() *Catalog {
	c := New(modelDecode)
	c.EntryTTL = modelTTL
	return c
}

// Guards against an upstream that left and gets work again because an older copy of
// the store holds its entry, and against keeping one from work whose entry is written
// again or would have lapsed.
func TestRemovedUpstreamInACopy(t *testing.T) {
	returned := func() *Catalog {
		c := newModelCatalog()
		list(c, start, 1, 5, put("a", "1 ready", 2))
		list(c, start, 1, 9)
		require.Empty(t, ids(c))
		list(c, start, 2, 5, put("a", "1 ready", 2))
		require.Empty(t, ids(c), "the copy's entry is used")
		return c
	}
	c := returned()
	c.Apply(start, []rwitem.Item{in(2, put("a", "1 ready", 6))})
	require.Equal(t, []string{"a"}, ids(c), "written again")
	c = returned()
	c.Apply(start, []rwitem.Item{in(2, put("a", "2 ready", 6))})
	require.Equal(t, []string{"a"}, ids(c), "another start")
	c = returned()
	c.Tick(start.Add(lapseGrace + modelTTL - time.Millisecond))
	require.Empty(t, ids(c))
	c.Tick(start.Add(lapseGrace + modelTTL))
	require.Equal(t, []string{"a"}, ids(c), "it would have lapsed by now")
}

// Guards against taking an entry that is written after a return for one of the copy,
// although a listing has shown that the copy lacks it.
func TestEntryThatIsWrittenAfterAListingIsNew(t *testing.T) {
	c := newModelCatalog()
	list(c, start, 1, 5, put("a", "1 ready", 2))
	list(c, start, 1, 9)
	list(c, start, 2, 5)
	c.Apply(start, []rwitem.Item{in(2, put("a", "1 ready", 6))})
	require.Equal(t, []string{"a"}, ids(c))
}

// Guards against a router that has seen the store only after its return and takes
// nothing from others that know more, also if they run a release that names no era.
func TestOthersKnowWhatTheCopyLacks(t *testing.T) {
	for _, era := range []int64{0, 1} {
		c := newModelCatalog()
		list(c, start, 2, 5, put("a", "3 ready", 2), put("p", "config 1", 3))
		c.Apply(start, []rwitem.Item{in(era, put("a", "3 leaving", 8)), in(era, put("p", "config 4", 9))})
		require.Equal(t, []string{"a leaving"}, ids(c))
		require.EqualValues(t, 4, c.Config().Version)
		var told []rwitem.Item
		for _, it := range c.Since(rwrevision.Revision{}) {
			if it.Key == "p" {
				told = append(told, it)
			}
		}
		require.Equal(t, []rwitem.Item{in(era, put("p", "config 4", 9)), in(2, put("p", "config 1", 3))}, told)
		list(c, start, 2, 6, put("a", "3 ready", 2), put("p", "config 2", 6))
		require.EqualValues(t, 4, c.Config().Version)
	}
}

// Guards against an invalid configuration that brings an older one back after a return
// of the store, at routers that read it and at those that learn of it from others.
func TestInvalidConfigurationAfterAReturn(t *testing.T) {
	c := newModelCatalog()
	list(c, start, 1, 10, put("p", "config 7", 10))
	list(c, start, 2, 5, put("p", "config 5", 3))
	_, bad := c.Apply(start, []rwitem.Item{in(2, put("p", "odd", 6))})
	require.Contains(t, bad, "p")
	require.EqualValues(t, 7, c.Config().Version)
	started := newModelCatalog()
	started.Apply(start, c.Since(rwrevision.Revision{}))
	require.EqualValues(t, 7, started.Config().Version)
	c.Apply(start, []rwitem.Item{in(2, put("p", "config 9", 7))})
	require.EqualValues(t, 9, c.Config().Version)
}
