// Package rwevacuation decides whether an availability zone is being evacuated.
// The operator orders it by an item in the platform's store and takes the zone back
// by removing the item. The package reads no clock and does no I/O.
package rwevacuation

import "time"

// holdTime is how long a zone stays evacuated whose item is missing because the store
// came back from an older copy. A router that missed the zone's return before that
// can't tell it from an order that the copy lacks, so it keeps to the safer view. The
// operator writes again within seconds of the store's return, and a longer time would
// keep a zone from work that was taken back.
const holdTime = 6 * time.Second

// Evacuation is the evacuation of one zone as one router knows it. It is immutable.
// The zero value is none.
type Evacuation struct {
	// Zone is the availability zone.
	Zone string
	// Since is when this router learned of the order; the store acknowledged it
	// earlier.
	Since time.Time

	ended bool
	// heldUntil is the end of the time for which an order is assumed that the store
	// lacks, or zero if it hasn't lost the item.
	heldUntil time.Time
}

// New returns the evacuation of a zone that a router learned of at a time.
func New(zone string, since time.Time) Evacuation { return Evacuation{Zone: zone, Since: since} }

// WithOrder returns the evacuation after the operator's item for a zone was read at a
// time. An order that was written again keeps its start.
func (e Evacuation) WithOrder(zone string, now time.Time) Evacuation {
	if !e.Active(now) {
		return New(zone, now)
	}
	return New(zone, e.Since)
}

// WithReturn returns the evacuation after the operator removed the item.
func (e Evacuation) WithReturn() Evacuation {
	e.ended, e.heldUntil = true, time.Time{}
	return e
}

// WithLostItem returns the evacuation after the store came back from an older copy
// that lacks the item. An evacuation that had ended stays ended, and one that is held
// isn't held for longer.
func (e Evacuation) WithLostItem(now time.Time) Evacuation {
	if e.ended || !e.heldUntil.IsZero() {
		return e
	}
	e.heldUntil = now.Add(holdTime)
	return e
}

// Held reports whether the zone stays evacuated although the store lacks the item.
func (e Evacuation) Held(now time.Time) bool { return !e.heldUntil.IsZero() && e.Active(now) }

// Active reports whether the zone is evacuated.
func (e Evacuation) Active(now time.Time) bool {
	return e.Zone != "" && !e.ended && (e.heldUntil.IsZero() || now.Before(e.heldUntil))
}
