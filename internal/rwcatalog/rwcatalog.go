// Package rwcatalog decides which configuration and which upstreams are active.
// Items come from the platform's store, by listing or watching, and from other
// routers, in any order and possibly more than once; an item whose revision is
// not newer than the known one changes nothing. The package reads no clock and
// does no I/O.
package rwcatalog

import (
	"cmp"
	"slices"
	"time"

	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrouteconfig"
)

const (
	// lapseGrace is how long an upstream stays in use whose entry vanished
	// around an outage of the store. Entries that lapsed are back within two
	// seconds of the store's return, and an upstream that really left must get
	// no work after that time either.
	lapseGrace = 1500 * time.Millisecond
	// outageGrace is how long after the last failed call to the store a removal
	// may still be a lapse.
	outageGrace = 3 * time.Second
)

// Decoded is the content of an item; at most one field is set, and none if the
// item is not relevant.
type Decoded struct {
	Config   *rwrouteconfig.Config
	Instance *rwinstance.Instance
}

// Catalog is the catalog of one router. It is not safe for concurrent use.
type Catalog struct {
	// Decode decodes an item's value. If it fails, the configuration stays
	// active, and an upstream gets no work.
	Decode func(rwitem.Item) (Decoded, error)
	// OnStale, if set, is called for an item of a lower revision than the known
	// one, once for each revision of a key.
	OnStale func(it rwitem.Item, known int64)

	config *rwrouteconfig.Config
	// items holds the newest revision of each key, including removals, so that
	// a stale copy can't bring a removed upstream back.
	items map[string]*entry
	// rev is the revision up to which all changes were applied.
	rev              int64
	lastStoreFailure time.Time
	instances        []rwinstance.Instance
}

type entry struct {
	item rwitem.Item
	// instance is nil if the item describes no usable upstream.
	instance *rwinstance.Instance
	// lapseUntil is the end of the grace period for a removal that may be a
	// lapse.
	lapseUntil time.Time
	// staleRev is the revision for which OnStale was called last.
	staleRev int64
}

// New returns an empty catalog.
func New(decode func(rwitem.Item) (Decoded, error)) *Catalog {
	return &Catalog{Decode: decode, items: map[string]*entry{}}
}

// Config returns the active configuration, or nil before the first.
func (c *Catalog) Config() *rwrouteconfig.Config { return c.config }

// Rev returns the revision up to which all changes were applied.
func (c *Catalog) Rev() int64 { return c.rev }

// Advance records that all changes up to a revision were applied.
func (c *Catalog) Advance(rev int64) { c.rev = max(c.rev, rev) }

// Instances returns the upstreams that may get work and those that are leaving.
// The result must not be modified.
func (c *Catalog) Instances() []rwinstance.Instance { return c.instances }

// NoteStoreFailure records that a call to the store failed.
func (c *Catalog) NoteStoreFailure(now time.Time) { c.lastStoreFailure = now }

// Apply applies items in any order and reports whether anything changed. Items
// that can't be decoded are returned as errors by key.
func (c *Catalog) Apply(now time.Time, items []rwitem.Item) (bool, map[string]error) {
	changed := false
	var bad map[string]error
	for _, it := range items {
		ok, err := c.apply(now, it)
		changed = changed || ok
		if err != nil {
			if bad == nil {
				bad = map[string]error{}
			}
			bad[it.Key] = err
		}
	}
	if changed {
		c.rebuild(now)
	}
	return changed, bad
}

func (c *Catalog) apply(now time.Time, it rwitem.Item) (bool, error) {
	e := c.items[it.Key]
	if e != nil && it.Rev <= e.item.Rev {
		if it.Rev < e.item.Rev && it.Rev != e.staleRev && c.OnStale != nil {
			e.staleRev = it.Rev
			c.OnStale(it, e.item.Rev)
		}
		return false, nil
	}
	if e == nil {
		e = &entry{}
		c.items[it.Key] = e
	}
	e.item, e.lapseUntil = it, time.Time{}
	if it.Deleted {
		if e.instance != nil && !e.instance.Leaving && now.Sub(c.lastStoreFailure) < outageGrace {
			e.lapseUntil = now.Add(lapseGrace)
		} else {
			e.instance = nil
		}
		return true, nil
	}
	decoded, err := c.Decode(it)
	switch {
	case err != nil:
		// An item that can't be decoded describes no usable upstream.
		e.instance = nil
	case decoded.Config != nil:
		if c.config == nil || decoded.Config.Version > c.config.Version {
			c.config = decoded.Config
		}
	default:
		e.instance = decoded.Instance
	}
	return true, err
}

// ApplyListing applies a complete listing of the keys with a prefix as of a
// revision: keys in the catalog that are not listed and not newer than the
// listing were removed.
func (c *Catalog) ApplyListing(now time.Time, asOf int64, keys map[string]bool, within func(key string) bool) bool {
	var removed []rwitem.Item
	for key, e := range c.items {
		if !e.item.Deleted && within(key) && !keys[key] && e.item.Rev <= asOf {
			removed = append(removed, rwitem.Item{Key: key, Rev: asOf, Deleted: true})
		}
	}
	changed, _ := c.Apply(now, removed)
	return changed
}

// Tick removes upstreams whose grace period has ended, and reports whether
// there were any.
func (c *Catalog) Tick(now time.Time) bool {
	due := false
	for _, e := range c.items {
		if e.item.Deleted && e.instance != nil && !now.Before(e.lapseUntil) {
			e.instance = nil
			due = true
		}
	}
	if due {
		c.rebuild(now)
	}
	return due
}

// Since returns the items with a revision above rev, for another router.
func (c *Catalog) Since(rev int64) []rwitem.Item {
	var out []rwitem.Item
	for _, e := range c.items {
		if e.item.Rev > rev {
			out = append(out, e.item)
		}
	}
	slices.SortFunc(out, func(a, b rwitem.Item) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (c *Catalog) rebuild(now time.Time) {
	c.instances = nil
	for _, e := range c.items {
		if e.instance == nil || (e.item.Deleted && !now.Before(e.lapseUntil)) {
			continue
		}
		c.instances = append(c.instances, *e.instance)
	}
	slices.SortFunc(c.instances, func(a, b rwinstance.Instance) int { return cmp.Compare(a.ID, b.ID) })
}
