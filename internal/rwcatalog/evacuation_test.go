package rwcatalog

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
)

// zoneDecode takes the zone of an upstream from its value, and that of an evacuation
// from its key.
func zoneDecode(it rwitem.Item) (Decoded, error) {
	if zone, ok := strings.CutPrefix(it.Key, "evacuate/"); ok {
		return Decoded{Evacuated: zone}, nil
	}
	return Decoded{Instance: &rwinstance.Instance{ID: it.Key, Zone: string(it.Value), StartMillis: 1}}, nil
}

// evacuatedIDs returns the evacuated upstreams.
func evacuatedIDs(c *Catalog) []string {
	out := []string{}
	for _, in := range c.Instances() {
		if in.Evacuated {
			out = append(out, in.ID)
		}
	}
	return out
}

func zones(c *Catalog) []string {
	out := []string{}
	for _, v := range c.Evacuations() {
		out = append(out, v.Zone)
	}
	return out
}

func upstreams() []rwitem.Item { return []rwitem.Item{put("a", "x", 1), put("b", "y", 2)} }

// Guards against an evacuation that misses upstreams, takes those of another zone, or
// outlives the zone's return; two zones follow each other, and one is taken back at
// once.
func TestZonesAreEvacuatedAndTakenBack(t *testing.T) {
	c := New(zoneDecode)
	c.Apply(start, upstreams())
	changed, bad := c.Apply(start, []rwitem.Item{put("evacuate/x", "{}", 3)})
	require.True(t, changed)
	require.Empty(t, bad)
	require.Equal(t, []string{"a"}, evacuatedIDs(c))
	c.Apply(start, []rwitem.Item{put("c", "x", 4)})
	require.Equal(t, []string{"a", "c"}, evacuatedIDs(c), "an upstream that joins the zone")
	c.Apply(start, []rwitem.Item{put("evacuate/y", "odd", 5)})
	require.Equal(t, []string{"x", "y"}, zones(c))
	c.Apply(start, []rwitem.Item{removal("evacuate/x", 6)})
	require.Equal(t, []string{"b"}, evacuatedIDs(c))
	c.Apply(start, []rwitem.Item{removal("evacuate/y", 8), put("evacuate/y", "{}", 7), put("evacuate/x", "{}", 3)})
	require.Empty(t, evacuatedIDs(c), "items that come late")
	c.Apply(start, []rwitem.Item{put("evacuate/y", "{}", 9), removal("evacuate/y", 10)})
	require.Empty(t, zones(c), "taken back at once")
	c.Apply(start, []rwitem.Item{put("evacuate/none", "{}", 11)})
	require.Empty(t, evacuatedIDs(c))
	require.Equal(t, []string{"none"}, zones(c), "an unknown zone")
}

// Guards against a listing that misses an order which was removed, and against one
// that was read before the order and ends it.
func TestListingsTellOfEvacuations(t *testing.T) {
	c := New(zoneDecode)
	list(c, start, 0, 3, append(upstreams(), put("evacuate/x", "{}", 3))...)
	require.Equal(t, []string{"a"}, evacuatedIDs(c))
	list(c, start, 0, 2, upstreams()...)
	require.Equal(t, []string{"a"}, evacuatedIDs(c), "an earlier listing")
	list(c, start, 0, 4, upstreams()...)
	require.Empty(t, evacuatedIDs(c))
}

// Guards against a zone that stays evacuated at a router because the one that it pulls
// from has seen neither the order nor its removal, and against one that is taken back by
// a router which lacks a newer order or is of another era.
func TestOrdersOfAnotherRouter(t *testing.T) {
	c, other := New(zoneDecode), New(zoneDecode)
	c.Apply(start, append(upstreams(), put("evacuate/x", "{}", 5), put("evacuate/y", "{}", 6)))
	list(other, start, 0, 7, append(upstreams(), put("evacuate/y", "{}", 6))...)
	require.False(t, c.ApplyOrders(start, rwrevision.Revision{Rev: 4}, nil), "the other lacks the orders")
	c.Apply(start, other.Since(rwrevision.Revision{Rev: 6}))
	require.Equal(t, []string{"x", "y"}, zones(c))
	require.False(t, c.ApplyOrders(start, rwrevision.Revision{Era: 1, Rev: 7}, nil))
	require.True(t, c.ApplyOrders(start, other.Rev(), other.Orders()))
	require.Equal(t, []string{"y"}, zones(c))
	require.Len(t, c.Instances(), 2, "upstreams aren't removed")
}

// Guards against a store's older copy that sends work to a zone whose return this
// router doesn't know, against one that does so for ever, and against a router with
// the news that keeps the zone from work.
func TestEvacuationThatACopyLacks(t *testing.T) {
	all := append(upstreams(), put("evacuate/x", "{}", 3))
	lacks, knows := New(zoneDecode), New(zoneDecode)
	list(lacks, start, 1, 3, all...)
	list(knows, start, 1, 3, all...)
	list(knows, start, 1, 4, upstreams()...)
	for _, c := range []*Catalog{lacks, knows} {
		list(c, start, 2, 2, upstreams()...)
	}
	require.Equal(t, []string{"x"}, zones(lacks))
	require.Empty(t, zones(knows))

	started := New(zoneDecode)
	list(started, start, 2, 2, upstreams()...)
	started.Apply(start, lacks.Since(rwrevision.Revision{}))
	require.Equal(t, []string{"x"}, zones(started), "a router that has just started hears of it")

	const bound = 10 * time.Second
	for s := range int(bound / time.Second) {
		now := start.Add(time.Duration(s) * time.Second)
		list(lacks, now, 2, int64(s+3), upstreams()...)
		lacks.Tick(now)
		started.Apply(now, lacks.Since(rwrevision.Revision{}))
		lacks.Apply(now, started.Since(rwrevision.Revision{}))
		started.Tick(now)
	}
	require.Empty(t, zones(lacks), "two routers that tell each other don't hold it for ever")
	require.Empty(t, zones(started))

	list(knows, start, 2, 20, append(upstreams(), put("evacuate/x", "{}", 20))...)
	require.Equal(t, []string{"x"}, zones(knows), "written again")
}

// Guards against a copy of the store with an order that is not followed, and against
// its removal there that isn't.
func TestEvacuationThatACopyHolds(t *testing.T) {
	c := New(zoneDecode)
	list(c, start, 1, 3, append(upstreams(), put("evacuate/x", "{}", 3))...)
	list(c, start, 1, 9, upstreams()...)
	list(c, start, 2, 3, append(upstreams(), put("evacuate/x", "{}", 3))...)
	require.Equal(t, []string{"x"}, zones(c))
	c.Apply(start, []rwitem.Item{in(2, removal("evacuate/x", 4))})
	require.Empty(t, zones(c))
}

// Guards against routers that disagree once they have the same items, whatever their
// order, how often they came and which of them a pull brought.
func TestRoutersAgreeOnEvacuations(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var history []rwitem.Item
		want := map[string]bool{}
		for rev := int64(1); rev <= 12; rev++ {
			zone := string(rune('p' + r.IntN(3)))
			want[zone] = r.IntN(2) == 0
			if want[zone] {
				history = append(history, put("evacuate/"+zone, "{}", rev))
			} else {
				history = append(history, removal("evacuate/"+zone, rev))
			}
		}
		var before *Catalog
		for range 4 {
			c := New(zoneDecode)
			for _, i := range append(r.Perm(len(history)), r.Perm(len(history))...) {
				c.Apply(start, history[i:i+1])
				if before != nil && r.IntN(5) == 0 {
					c.Apply(start, before.Since(rwrevision.Revision{Rev: int64(r.IntN(13))}))
				}
			}
			for zone, evacuated := range want {
				require.Equal(t, evacuated, strings.Contains(strings.Join(zones(c), ""), zone), "seed %d, zone %s", seed, zone)
			}
			before = c
		}
	}
}
