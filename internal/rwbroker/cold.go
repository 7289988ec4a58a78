package rwbroker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
)

// routersInterval is how often Cold is told the live routers.
const routersInterval = 200 * time.Millisecond

// nextOwners is the number of routers that are told which engines are cold.
const nextOwners = 4

// observeRouters tells Cold which routers are live.
func (b *Broker) observeRouters(now time.Time) {
	if b.Cold == nil || now.Sub(b.routersAt) < routersInterval {
		return
	}
	b.routersAt = now
	live := b.Live()
	b.Cold.ObserveRouters(now, live)
	b.mu.Lock()
	keys := slices.Collect(maps.Keys(b.cells))
	b.mu.Unlock()
	for _, k := range keys {
		b.tellNextOwners(now, k, live)
	}
}

// coldMessage says for how long engines stay cold.
type coldMessage struct {
	Left map[string]time.Duration `json:"left"`
}

// tellNextOwners tells the routers that rank highest for a cell which of its engines
// are cold. They learn it from the answers to their own requests too, but may have
// none. One that has just started owns the cell at once and knows nothing, so that not
// the owner alone tells it.
func (b *Broker) tellNextOwners(now time.Time, k cellKey, live []rwidentity.Identity) {
	left := b.Cold.ColdOf(now, k.Service)
	key := k.String()
	score := func(id rwidentity.Identity) float64 { return ownerScore(key, id) }
	if left == nil || !b.Cold.Ranks(now, k.Service, key, score) {
		return
	}
	ranked := slices.DeleteFunc(slices.Clone(live), func(id rwidentity.Identity) bool { return id.Name == b.self.Name })
	slices.SortFunc(ranked, func(x, y rwidentity.Identity) int { return cmp.Compare(score(y), score(x)) })
	for _, id := range ranked[:min(len(ranked), nextOwners)] {
		b.peers.Notify(id.Addr, "cold", coldMessage{left})
	}
}

// checkCold returns a fault if a grant can't be used because of its engine: it is
// void, or the engine is cold and its owner doesn't know that yet, and so doesn't
// bound what it gets.
func (b *Broker) checkCold(g Grant, in rwinstance.Instance) *rwfault.Fault {
	now := time.Now()
	switch {
	case g.Cold && now.After(g.NotAfter):
		b.metrics.Add("cold_grants_void", 1)
		return rwfault.New(rwcode.GrantExpired, in.ID)
	case !g.Cold && b.Cold != nil && b.Cold.Announced(now, in.ID):
		b.metrics.Add("cold_grants_unknown", 1)
		return rwfault.New(rwcode.UpstreamLeaving, in.ID)
	}
	return nil
}

// noteSign tells Cold what this router's own requests at an engine show, so that it
// knows of it if it becomes an owner. The reports on requests in its own cells tell
// that already.
func (g Grant) noteSign(end rwplacement.End) {
	b := g.broker
	if b == nil || b.Cold == nil || g.addr == b.self.Addr || g.Instance.ID == "" {
		return
	}
	b.Cold.Ended(time.Now(), g.Instance.ID, end)
}

// coldEngines returns the cold engines for the answer to another router, which may be
// the next owner. The caller must hold the lock.
func (b *Broker) coldEngines(k cellKey, to rwidentity.Identity) map[string]time.Duration {
	c := b.cells[k]
	if b.Cold == nil || to.Name == b.self.Name || c == nil {
		return nil
	}
	if now := time.Now(); now.Sub(c.coldAt) >= slowTick {
		c.cold, c.coldAt = b.Cold.ColdOf(now, k.Service), now
	}
	return c.cold
}

// tellCold passes on what an owner said of cold engines.
func (b *Broker) tellCold(d rwplacement.Decision) {
	if b.Cold != nil && len(d.ColdEngines) > 0 {
		b.Cold.Tell(time.Now(), d.ColdEngines)
	}
}
