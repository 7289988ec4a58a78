// Package rwcatalog decides which configuration and which upstreams are active.
// Items come from the platform's store, by listing or watching, and from other
// routers, in any order and possibly more than once; an item whose revision is
// not newer than the known one changes nothing. The package reads no clock and
// does no I/O.
//
// The store may come back from an older copy, in a higher era. What it then holds
// may be older than what was known before, until the operator and the upstreams have
// written again:
//
//   - The configuration of the highest version is active, whatever its era.
//   - An incarnation that was leaving stays so.
//   - An incarnation that was removed gets no work until its entry is written again
//     or would have lapsed.
//   - An upstream that the copy lacks stays in use for lapseGrace, and so does an
//     incarnation of which the copy holds only a former one.
//   - A zone whose evacuation the copy lacks stays evacuated for a bounded time (see
//     rwevacuation), and one whose evacuation the copy holds is evacuated.
package rwcatalog

import (
	"cmp"
	"slices"
	"time"

	"redwingworks.example/internal/rwevacuation"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwrevision"
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
	// defaultEntryTTL is used if EntryTTL is not set.
	defaultEntryTTL = 4 * time.Second
)

// Decoded is the content of an item; at most one field is set, and none if the
// item is not relevant.
type Decoded struct {
	Config   *rwrouteconfig.Config
	Instance *rwinstance.Instance
	// Evacuated is the availability zone that the operator empties, or empty.
	Evacuated string
}

// Catalog is the catalog of one router. It is not safe for concurrent use.
type Catalog struct {
	// Decode decodes an item's value. If it fails, the configuration stays
	// active, and an upstream gets no work.
	Decode func(rwitem.Item) (Decoded, error)
	// OnStale, if set, is called for an item of a lower revision than the known
	// one, once for each revision of a key.
	OnStale func(it rwitem.Item, known rwrevision.Revision)
	// EntryTTL is the time after which the entry of an upstream lapses that no
	// longer writes it, or 0 for the default.
	EntryTTL time.Duration

	config *rwrouteconfig.Config
	// items holds the newest revision of each key, including removals, so that
	// a stale copy can't bring a removed upstream back.
	items map[string]*entry
	// leaving holds the highest StartMillis of the incarnations of an upstream, by
	// its id, that were leaving. Only a later one gets work. It is 0 for one whose
	// start isn't known, until its entry is removed.
	leaving map[string]int64
	// rev is the revision up to which all changes were applied.
	rev rwrevision.Revision
	// era is the highest era of an item or a complete read; returnedAt is when
	// this router learned that the store had come back in it, or zero if the store
	// hasn't since this router started.
	era              int64
	returnedAt       time.Time
	lastStoreFailure time.Time
	instances        []rwinstance.Instance
	evacuations      []rwevacuation.Evacuation
}

// state is an item with its content.
type state struct {
	item   rwitem.Item
	config *rwrouteconfig.Config
	// instance is the upstream that the item describes or whose entry was
	// removed, or nil if that is none or not known.
	instance *rwinstance.Instance
	// evacuated is the zone of an item that orders an evacuation, or empty.
	evacuated string
}

type entry struct {
	state
	// evacuation is that of the zone which the key names, or the zero value.
	evacuation rwevacuation.Evacuation
	// earlier is an item of an earlier era that tells more than the newest one, or
	// nil. If it is a removal, the upstream had really left.
	earlier *state
	// firstRev is the revision of the first item of the newest era.
	firstRev int64
	// lapseUntil is the end of the grace period for a removal that may be a
	// lapse.
	lapseUntil time.Time
	// staleRev is the revision for which OnStale was called last.
	staleRev rwrevision.Revision
}

// New returns an empty catalog.
func New(decode func(rwitem.Item) (Decoded, error)) *Catalog {
	return &Catalog{Decode: decode, items: map[string]*entry{}, leaving: map[string]int64{}}
}

// Config returns the active configuration, or nil before the first.
func (c *Catalog) Config() *rwrouteconfig.Config { return c.config }

// Rev returns the revision up to which all changes were applied.
func (c *Catalog) Rev() rwrevision.Revision { return c.rev }

// Era returns the highest era of the store that is known.
func (c *Catalog) Era() int64 { return c.era }

// Settled reports whether the store has all upstreams as far as that is known: after
// its return from a copy it lacks those that haven't written again.
func (c *Catalog) Settled(now time.Time) bool {
	return c.returnedAt.IsZero() || now.Sub(c.returnedAt) >= lapseGrace
}

// Advance records that all changes up to a revision were applied.
func (c *Catalog) Advance(now time.Time, rev rwrevision.Revision) {
	c.enterEra(now, rev.Era)
	c.rev = c.rev.Max(rev)
}

// enterEra records that the store has an era.
func (c *Catalog) enterEra(now time.Time, era int64) {
	if era <= c.era {
		return
	}
	if len(c.items) > 0 {
		c.returnedAt = now
	}
	c.era = era
}

// Instances returns the upstreams that may get work, those that are leaving and those
// whose zone is evacuated.
// The result must not be modified.
func (c *Catalog) Instances() []rwinstance.Instance { return c.instances }

// Evacuations returns the evacuations of zones, by zone. The result must not be
// modified.
func (c *Catalog) Evacuations() []rwevacuation.Evacuation { return c.evacuations }

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
	if e == nil {
		return c.add(now, it)
	}
	switch order := it.Revision().Compare(e.item.Revision()); {
	case order > 0:
		return true, c.replace(now, e, it)
	case order == 0:
		return false, nil
	case it.Era < e.item.Era:
		return c.applyEarlier(now, e, it)
	}
	if c.OnStale != nil && it.Revision() != e.staleRev {
		e.staleRev = it.Revision()
		c.OnStale(it, e.item.Revision())
	}
	return false, nil
}

// add adds the first item of a key. An item of an earlier era than that of the last
// complete read is one that the store's copy lacks.
func (c *Catalog) add(now time.Time, it rwitem.Item) (bool, error) {
	c.enterEra(now, it.Era)
	next, err := c.decode(it)
	e := &entry{state: next, firstRev: it.Rev}
	c.items[it.Key] = e
	e.evacuate(now, next)
	if next.config != nil {
		c.activate(next.config)
	} else if it.Era < c.rev.Era {
		return true, c.replace(now, e, removalOf(it, c.rev))
	}
	return true, err
}

// removalOf returns the removal of an item at a revision.
func removalOf(it rwitem.Item, rev rwrevision.Revision) rwitem.Item {
	return rwitem.Item{Key: it.Key, Value: it.Value, Rev: rev.Rev, Era: rev.Era, Deleted: true}
}

// replace replaces an item by a newer one.
func (c *Catalog) replace(now time.Time, e *entry, it rwitem.Item) error {
	c.enterEra(now, it.Era)
	if it.Deleted && len(it.Value) == 0 {
		it.Value = e.item.Value
	}
	next, err := c.decode(it)
	before, returned, lapseUntil := c.current(now, e), it.Era > e.item.Era, time.Time{}
	if mark, ok := c.leaving[instanceID(e)]; it.Deleted && ok && mark == 0 {
		delete(c.leaving, instanceID(e))
	}
	if it.Deleted && before != nil && !before.Leaving {
		lapseUntil = c.lapseEnd(now, e, returned)
		if now.Before(lapseUntil) {
			next.instance = before
		}
	}
	if returned {
		c.keepEarlier(now, e)
		e.firstRev = it.Rev
	}
	if best := e.newestConfig(); best != nil && (next.config == nil || next.config.Version < best.config.Version) {
		// The active configuration is kept for routers that start.
		e.earlier = best
	} else if next.config != nil {
		e.earlier = nil
		c.activate(next.config)
	}
	switch {
	case !it.Deleted:
		e.evacuate(now, next)
	case !returned && !e.item.Deleted:
		e.evacuation = e.evacuation.WithReturn()
	case returned:
		e.evacuation = e.evacuation.WithLostItem(now)
	}
	e.state, e.lapseUntil = next, lapseUntil
	return err
}

// evacuate records the evacuation that a state orders, if it orders one.
func (e *entry) evacuate(now time.Time, s state) {
	if s.evacuated != "" {
		e.evacuation = e.evacuation.WithOrder(s.evacuated, now)
	}
}

// instanceID returns the id of the upstream that an entry describes, or an empty
// string.
func instanceID(e *entry) string {
	if e.instance == nil {
		return ""
	}
	return e.instance.ID
}

// lapseEnd returns the end of the grace period of an upstream in use whose entry is
// removed, or zero if the removal isn't a lapse. A removal that repeats one doesn't
// lengthen it, unless the store has returned since.
func (c *Catalog) lapseEnd(now time.Time, e *entry, returned bool) time.Time {
	switch {
	case returned:
		return c.returnedAt.Add(lapseGrace)
	case e.item.Deleted:
		return e.lapseUntil
	case now.Sub(c.lastStoreFailure) < outageGrace:
		return now.Add(lapseGrace)
	}
	return time.Time{}
}

// keepEarlier keeps what tells more about an upstream for the time after its item is
// replaced by one of a higher era. A removal that may be a lapse tells nothing.
func (c *Catalog) keepEarlier(now time.Time, e *entry) {
	switch {
	case e.earlier != nil && c.overrideOf(now, e) != nil:
	case e.item.Deleted && !e.lapseUntil.IsZero():
		e.earlier = nil
	default:
		kept := e.state
		e.earlier = &kept
	}
}

// newestConfig returns the one of an entry's items that has the configuration with
// the highest version, or nil if none has one.
func (e *entry) newestConfig() *state {
	if old := e.earlier; old != nil && old.config != nil && (e.config == nil || old.config.Version > e.config.Version) {
		return old
	}
	if e.config == nil {
		return nil
	}
	kept := e.state
	return &kept
}

// activate makes a configuration the active one if its version is the highest.
func (c *Catalog) activate(config *rwrouteconfig.Config) {
	if c.config == nil || config.Version > c.config.Version {
		c.config = config
	}
}

// decode decodes an item. A removal has the upstream of the removed value.
func (c *Catalog) decode(it rwitem.Item) (state, error) {
	s := state{item: it}
	if it.Deleted && len(it.Value) == 0 {
		return s, nil
	}
	decoded, err := c.Decode(it)
	if in := decoded.Instance; in != nil && in.Leaving && in.StartMillis > 0 {
		c.leaving[in.ID] = max(c.leaving[in.ID], in.StartMillis)
	}
	switch {
	case it.Deleted:
		// A value that can't be decoded was reported before it was removed.
		s.instance = decoded.Instance
		return s, nil
	case err != nil:
		// An item that can't be decoded describes no usable upstream. Its value may
		// be too large for a message to other routers.
		s.item.Value = nil
		return s, err
	case decoded.Evacuated != "" || decoded == Decoded{}:
		// Only the key of an evacuation counts, and its value may be large.
		s.item.Value = nil
	}
	s.config, s.instance, s.evacuated = decoded.Config, decoded.Instance, decoded.Evacuated
	return s, nil
}

// applyEarlier applies an item of an earlier era than the known one.
func (c *Catalog) applyEarlier(now time.Time, e *entry, it rwitem.Item) (bool, error) {
	if it.Deleted || e.earlier != nil && !it.Revision().After(e.earlier.item.Revision()) {
		// A removal that another router knows may be that of an entry which a copy
		// lacked.
		return false, nil
	}
	earlier, err := c.decode(it)
	if err != nil {
		return false, nil
	}
	if config := earlier.config; config != nil {
		if c.config != nil && config.Version <= c.config.Version {
			return false, nil
		}
		c.activate(config)
	}
	if earlier.evacuated != "" {
		if !e.item.Deleted || e.evacuation.Zone != "" {
			return false, nil
		}
		// Another router holds an evacuation that the store's copy lacks.
		e.evacuation = rwevacuation.New(earlier.evacuated, now).WithLostItem(now)
	}
	if old := e.earlier; old != nil && old.instance != nil && earlier.instance != nil && earlier.instance.StartMillis < old.instance.StartMillis {
		// It is from a copy itself.
		return false, nil
	}
	e.earlier = &earlier
	return true, nil
}

// current returns the upstream that an entry describes, or nil if that is none.
func (c *Catalog) current(now time.Time, e *entry) *rwinstance.Instance {
	in := e.instance
	if e.item.Deleted && !now.Before(e.lapseUntil) {
		return nil
	}
	if !e.item.Deleted {
		if o := c.overrideOf(now, e); o != nil {
			in = o.instance
		}
	}
	if in == nil || in.Leaving || !c.isLeaving(in.ID, in.StartMillis) {
		return in
	}
	return asLeaving(in)
}

// isLeaving reports whether an incarnation was leaving.
func (c *Catalog) isLeaving(id string, startMillis int64) bool {
	mark, ok := c.leaving[id]
	return ok && startMillis <= mark && (startMillis > 0) == (mark > 0)
}

// MarkLeaving records that an incarnation leaves, whatever its entry says, and
// reports whether that was new.
func (c *Catalog) MarkLeaving(now time.Time, id string, startMillis int64) bool {
	if c.isLeaving(id, startMillis) {
		return false
	}
	c.leaving[id] = max(c.leaving[id], startMillis)
	c.rebuild(now)
	return true
}

// override is the upstream of an entry as the item of an earlier era tells it, or nil
// for none.
type override struct{ instance *rwinstance.Instance }

// overrideOf returns what the item of an earlier era makes of the upstream of the
// newest one, or nil if it changes nothing.
func (c *Catalog) overrideOf(now time.Time, e *entry) *override {
	old, in := e.earlier, e.instance
	if old == nil || in == nil {
		return nil
	}
	// An entry that was written again in this era, or would have lapsed by now, isn't
	// one that the copy has brought back.
	sinceReturn := now.Sub(c.returnedAt)
	if e.item.Rev != e.firstRev || sinceReturn >= lapseGrace+c.entryTTL() {
		return nil
	}
	order := 0
	if old.instance != nil && old.instance.StartMillis > 0 && in.StartMillis > 0 {
		order = cmp.Compare(in.StartMillis, old.instance.StartMillis)
	}
	switch {
	case order > 0:
		return nil
	case old.item.Deleted:
		return &override{}
	case old.instance == nil:
		return nil
	case order < 0 && (old.instance.Leaving || sinceReturn >= lapseGrace):
		return &override{}
	case order < 0:
		return &override{old.instance}
	case old.instance.Leaving:
		return &override{asLeaving(in)}
	}
	return nil
}

func asLeaving(in *rwinstance.Instance) *rwinstance.Instance {
	leaving := *in
	leaving.Leaving = true
	return &leaving
}

func (c *Catalog) entryTTL() time.Duration {
	if c.EntryTTL > 0 {
		return c.EntryTTL
	}
	return defaultEntryTTL
}

// ApplyListing applies a complete listing of the keys with a prefix as of a
// revision: keys in the catalog that are not listed and not newer than the
// listing were removed.
func (c *Catalog) ApplyListing(now time.Time, asOf rwrevision.Revision, keys map[string]bool, within func(key string) bool) bool {
	c.enterEra(now, asOf.Era)
	changed := false
	for key, e := range c.items {
		if !within(key) || keys[key] || e.item.Revision().After(asOf) {
			continue
		}
		switch {
		case !e.item.Deleted:
			_ = c.replace(now, e, removalOf(e.item, asOf))
			changed = true
		case e.item.Era < asOf.Era:
			// A later item of the key is new, not one of the copy.
			e.item = removalOf(e.item, asOf)
			if now.Before(e.lapseUntil) {
				e.lapseUntil = c.lapseEnd(now, e, true)
			}
		}
	}
	if changed {
		c.rebuild(now)
	}
	return changed
}

// Orders returns the keys of the items that order an evacuation, for another router.
func (c *Catalog) Orders() []string {
	var out []string
	for key, e := range c.items {
		if e.evacuated != "" && !e.item.Deleted {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// ApplyOrders applies the keys of all orders that another router knows, which has all
// changes up to a revision: evacuations of others that are not newer were taken back. A
// router that has only seen listings knows no removal of an order that it never saw.
func (c *Catalog) ApplyOrders(now time.Time, asOf rwrevision.Revision, keys []string) bool {
	known := map[string]bool{}
	for _, key := range keys {
		known[key] = true
	}
	return c.ApplyListing(now, asOf, known, func(key string) bool {
		e := c.items[key]
		return e.evacuated != "" && e.item.Era == asOf.Era
	})
}

// Tick applies what ends with time: grace periods of upstreams, and what items of
// earlier eras tell. It reports whether the upstreams or evacuations changed.
func (c *Catalog) Tick(now time.Time) bool {
	before, evacuations := c.instances, c.evacuations
	c.rebuild(now)
	for _, e := range c.items {
		if e.earlier != nil && e.earlier.config == nil && c.overrideOf(now, e) == nil && !e.evacuation.Held(now) {
			e.earlier = nil
		}
	}
	return !slices.Equal(before, c.instances) || !slices.Equal(evacuations, c.evacuations)
}

// Since returns the items with a revision above rev, for another router, and those
// of earlier eras that tell more.
func (c *Catalog) Since(rev rwrevision.Revision) []rwitem.Item {
	var out []rwitem.Item
	for _, e := range c.items {
		if e.item.Revision().After(rev) {
			out = append(out, e.item)
			if e.earlier != nil {
				out = append(out, e.earlier.item)
			}
		}
	}
	slices.SortFunc(out, func(a, b rwitem.Item) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), a.Revision().Compare(b.Revision()))
	})
	return out
}

func (c *Catalog) rebuild(now time.Time) {
	c.instances, c.evacuations = nil, nil
	zones := map[string]bool{}
	for _, e := range c.items {
		if e.evacuation.Active(now) {
			zones[e.evacuation.Zone] = true
			c.evacuations = append(c.evacuations, e.evacuation)
		}
	}
	slices.SortFunc(c.evacuations, func(a, b rwevacuation.Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	for _, e := range c.items {
		if in := c.current(now, e); in != nil {
			marked := *in
			marked.Evacuated = zones[in.Zone]
			c.instances = append(c.instances, marked)
		}
	}
	slices.SortFunc(c.instances, func(a, b rwinstance.Instance) int { return cmp.Compare(a.ID, b.ID) })
}
