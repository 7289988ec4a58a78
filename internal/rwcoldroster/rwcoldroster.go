// Package rwcoldroster decides which routers may let requests go to a cold upstream.
// They are the routers that rank highest for its key among all that were ever live,
// so that a fleet that is cut into parts, and a router that sees no other, come to
// the same few without a message. The package reads no clock and does no I/O.
package rwcoldroster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"redwingworks.example/internal/rwidentity"
)

const (
	// settleTime is how long after its start, or after a pause of its process, a
	// router may let nothing go: it may not know yet which routers rank higher.
	settleTime = 2 * time.Second
	// pauseTime is the time between two calls of Observe from which the process
	// counts as paused.
	pauseTime = 600 * time.Millisecond
	// memory is how long a router that is no longer live keeps its rank. It is longer
	// than a cut or an outage is expected to last.
	memory = 10 * time.Minute
)

// Roster is the routers that one router has seen. It is safe for concurrent use.
type Roster struct {
	self string
	// hasOthers is whether other routers are known to exist, so that a router which has
	// seen none is cut off.
	hasOthers bool

	mu         sync.Mutex
	known      map[string]member
	live       map[string]bool
	observedAt time.Time
	settledAt  time.Time
	// observed is the last list of live routers; refreshedAt is when it was last
	// applied.
	observed    []rwidentity.Identity
	refreshedAt time.Time
}

type member struct {
	rwidentity.Identity
	seenAt time.Time
}

// New returns a roster of the router self, which has just started. hasSeeds is
// whether its settings name other routers.
func New(self string, hasSeeds bool) *Roster {
	return &Roster{self: self, hasOthers: hasSeeds, known: map[string]member{}, live: map[string]bool{}}
}

// Observe records the live routers. It has to be called several times a second.
func (r *Roster) Observe(now time.Time, live []rwidentity.Identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused(now) {
		r.settledAt = now.Add(settleTime)
	}
	r.observedAt = now
	if now.Sub(r.refreshedAt) < settleTime && slices.Equal(r.observed, live) {
		return
	}
	r.refreshedAt, r.observed = now, slices.Clone(live)
	clear(r.live)
	for _, id := range live {
		r.live[id.Name] = true
		r.known[id.Name] = member{id, now}
	}
	maps.DeleteFunc(r.known, func(_ string, m member) bool { return now.Sub(m.seenAt) > memory })
}

// Interrupt records that the process was paused, which Observe can't see if the steady
// clock stood still meanwhile.
func (r *Roster) Interrupt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settledAt = now.Add(settleTime)
}

// Settled reports whether the router has run long enough to know the others.
func (r *Roster) Settled(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled(now)
}

// paused reports whether the last call of Observe is so long ago that the process was
// paused since, or there was none. The caller must hold the lock.
func (r *Roster) paused(now time.Time) bool {
	return r.observedAt.IsZero() || now.Sub(r.observedAt) > pauseTime
}

// settled is Settled for a caller that holds the lock. A decision may come before the
// first call of Observe after a pause.
func (r *Roster) settled(now time.Time) bool { return !r.paused(now) && !now.Before(r.settledAt) }

// Ranks reports whether this router is one of the first n for a key among all known
// routers, and FirstLive whether it is the first of the live ones besides. Scores are
// by the function score.
func (r *Roster) Ranks(now time.Time, n int, score func(rwidentity.Identity) float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rank(now, score, func(member) bool { return true }) < n
}

// FirstLive reports whether this router is one of the first n of all known routers
// and the first of the live ones.
func (r *Roster) FirstLive(now time.Time, n int, score func(rwidentity.Identity) float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rank(now, score, func(member) bool { return true }) < n &&
		r.rank(now, score, func(m member) bool { return r.live[m.Name] }) == 0
}

// rank returns the number of routers before this one among those that count, or a
// number above any other if this one doesn't rank.
func (r *Roster) rank(now time.Time, score func(rwidentity.Identity) float64, counts func(member) bool) int {
	self, ok := r.known[r.self]
	if !ok || !r.live[r.self] || !r.settled(now) || r.hasOthers && len(r.known) == 1 {
		return int(^uint(0) >> 1)
	}
	own, before := score(self.Identity), 0
	for name, m := range r.known {
		if name != r.self && counts(m) && cmp.Or(-cmp.Compare(score(m.Identity), own), cmp.Compare(name, r.self)) < 0 {
			before++
		}
	}
	return before
}
