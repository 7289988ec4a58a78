// Package rwcoldguard keeps the bound on the requests that all routers together send
// a cold upstream in any second. It joins what says which upstreams are cold
// (rwcold), which routers may send to one (rwcoldroster) and how many requests each
// of these has sent (rwcoldmeter). The package reads no clock and does no I/O.
package rwcoldguard

import (
	"sync"
	"time"

	"redwingworks.example/internal/rwcold"
	"redwingworks.example/internal/rwcoldmeter"
	"redwingworks.example/internal/rwcoldroster"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwrouteconfig"
)

// rightTTL is how long it is remembered whether this router may send. A rank takes a
// score of each router.
const rightTTL = 50 * time.Millisecond

// tryingRouters is the number of routers, not owners, that may send a request to an
// engine from which they have had no answer for some time.
const tryingRouters = 15

// Guard is the guard of one router. It is safe for concurrent use once its fields
// are set.
type Guard struct {
	// Service returns a service of the active configuration.
	Service func(name string) (rwrouteconfig.Service, bool)
	// Overage and Slack make the bound: the rate that an upstream bears, times
	// Overage, plus Slack. An Overage of 0 counts as 1.
	Overage, Slack float64
	// Count counts what is done with requests.
	Count func(counter string)

	tracker *rwcold.Tracker
	meter   *rwcoldmeter.Meter
	roster  *rwcoldroster.Roster

	mu     sync.Mutex
	rights map[string]right
}

type right struct {
	ok    bool
	until time.Time
}

// Use is a cold upstream and how much of its bound is used.
type Use struct {
	rwcold.Change
	// Used is the number of requests that this router has counted in the last
	// rwcoldmeter.Window, and Limit is how many it may let go.
	Used, Limit int
}

// New returns the guard of the router self, which has just started. hasSeeds is
// whether its settings name other routers.
func New(now time.Time, self string, hasSeeds bool) *Guard {
	return &Guard{
		Service: func(string) (rwrouteconfig.Service, bool) { return rwrouteconfig.Service{}, false },
		Count:   func(string) {}, tracker: rwcold.New(now), meter: rwcoldmeter.New(),
		roster: rwcoldroster.New(self, hasSeeds), rights: map[string]right{},
	}
}

// ObserveUpstreams applies the list of known upstreams. The function service returns a
// service of the configuration that becomes active with the list. The list must be
// applied before requests are placed by it.
func (g *Guard) ObserveUpstreams(now time.Time, list []rwinstance.Instance, service func(name string) (rwrouteconfig.Service, bool)) {
	g.tracker.Observe(now, list, func(name string) (time.Duration, bool) {
		s, ok := service(name)
		return s.ColdStart, ok && s.ColdPerSecond > 0
	})
}

// ObserveRouters applies the list of live routers. It has to be called several times
// a second.
func (g *Guard) ObserveRouters(now time.Time, live []rwidentity.Identity) {
	g.roster.Observe(now, live)
}

// Interrupt records that the process was paused: other routers may let requests go now.
func (g *Guard) Interrupt(now time.Time) {
	g.roster.Interrupt(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.rights)
}

// IsBounded reports whether the requests to cold upstreams of a service are bounded.
func (g *Guard) IsBounded(service string) bool {
	s, ok := g.Service(service)
	return ok && s.ColdPerSecond > 0
}

// split returns the number of routers that may send to a cold upstream of a service
// and how many requests each may send in a window.
func (g *Guard) split(service string) (senders, each int) {
	s, _ := g.Service(service)
	overage := g.Overage
	if overage <= 0 {
		overage = 1
	}
	return rwcoldmeter.Split(s.ColdPerSecond*overage + g.Slack)
}

// Engines returns the bounds for the placer of a cell of a service, whose owner is the
// live router with the highest score. They have no functions if the requests to the
// service's cold upstreams aren't bounded.
func (g *Guard) Engines(service, cell string, score func(rwidentity.Identity) float64) rwplacement.Cold {
	if !g.IsBounded(service) {
		return rwplacement.Cold{}
	}
	return rwplacement.Cold{
		Is: g.tracker.Cold, Failed: g.tracker.Fail, Answered: g.tracker.Answer, Take: g.meter.Take, Count: g.Count,
		Room: func(now time.Time, id, account string) bool {
			cold := g.tracker.Cold(now, id)
			if !cold && g.tracker.Heard(now, id) && !g.tracker.Doubtful(now, id) {
				return true
			}
			_, each := g.split(service)
			may := g.owns(now, service, cell, score)
			if !cold {
				return g.mayBeWarm(now, id, each, may)
			}
			// The meter has to hear of the upstream also while this router may not send.
			return g.meter.Room(now, id, account, each) && may
		},
	}
}

// mayBeWarm reports whether an engine that isn't known to be cold may get another
// request. An owner that knows nothing of an engine waits for a first answer after a
// few requests; a warm engine answers at once. A router that doesn't own the cell
// decides only while its owner isn't heard. There may be many such routers, so only
// some of them send to an engine from which they have had no answer, one request each,
// and none for some time after a failure. A router that has just started may too,
// since in a fleet that has started as a whole nobody has had an answer.
func (g *Guard) mayBeWarm(now time.Time, id string, each int, owns bool) bool {
	if owns {
		return g.tracker.Heard(now, id) || g.meter.Free(now, id, max(each, 1))
	}
	if g.tracker.Doubtful(now, id) {
		return false
	}
	return g.tracker.Heard(now, id) || g.meter.Free(now, id, 1) && g.may(now, "try "+id, func() bool {
		return !g.roster.Settled(now) || g.roster.Ranks(now, tryingRouters, func(r rwidentity.Identity) float64 {
			return float64(rwrendezvous.Score(id, r.Name))
		})
	})
}

// Ranks reports whether this router is one of the few that may let requests go to cold
// engines of a cell when they are the first of the live ones. These tell the others of
// what they know: a router that has just started takes a cell over at once.
func (g *Guard) Ranks(now time.Time, service, cell string, score func(rwidentity.Identity) float64) bool {
	senders, _ := g.split(service)
	return g.may(now, "rank "+cell, func() bool { return g.roster.Ranks(now, senders, score) })
}

// owns reports whether this router may let requests go to cold engines of a cell.
func (g *Guard) owns(now time.Time, service, cell string, score func(rwidentity.Identity) float64) bool {
	senders, _ := g.split(service)
	return g.may(now, "cell "+cell, func() bool { return g.roster.FirstLive(now, senders, score) })
}

// PlainRoom reports whether this router may send a request of an account to an
// upstream of a plain service.
func (g *Guard) PlainRoom(now time.Time, service, id, account string) bool {
	if !g.IsBounded(service) || !g.tracker.Cold(now, id) {
		return true
	}
	senders, each := g.split(service)
	may := g.may(now, "upstream "+id, func() bool {
		return g.roster.Ranks(now, senders, func(r rwidentity.Identity) float64 { return float64(rwrendezvous.Score(id, r.Name)) })
	})
	if g.meter.Room(now, id, account, each) && may {
		return true
	}
	g.Count("cold_passed_over")
	return false
}

// PlainTaken counts a request that goes to an upstream of a plain service. It returns
// when it may be sent at the latest, or zero if the upstream isn't cold.
func (g *Guard) PlainTaken(now time.Time, service, id, account string) time.Time {
	if !g.IsBounded(service) {
		return time.Time{}
	}
	g.meter.Take(now, id, account)
	if !g.tracker.Cold(now, id) {
		return time.Time{}
	}
	g.Count("cold_sent")
	return now.Add(rwcoldmeter.Validity)
}

// Ended records how a request to an upstream ended.
func (g *Guard) Ended(now time.Time, id string, end rwplacement.End) {
	switch end {
	case rwplacement.Served:
		g.tracker.Answer(now, id)
	case rwplacement.Failed, rwplacement.Unreachable:
		g.tracker.Fail(now, id)
	case rwplacement.Refused, rwplacement.Abandoned:
	}
}

// Answered records the first event of a request to an upstream.
func (g *Guard) Answered(now time.Time, id string) { g.tracker.Answer(now, id) }

// Tell records that the owner of engines' cell takes them for cold, for the times left
// by engine. The next owner then knows it.
func (g *Guard) Tell(now time.Time, left map[string]time.Duration) {
	for id, d := range left {
		g.tracker.Tell(now, id, d)
	}
}

// ColdOf returns for how long the upstreams of a service stay cold, by id, as far as
// this router knows, or nil if none is cold.
func (g *Guard) ColdOf(now time.Time, service string) map[string]time.Duration {
	if !g.IsBounded(service) {
		return nil
	}
	return g.tracker.Tellable(now, service)
}

// Announced reports whether an upstream is cold by its entry.
func (g *Guard) Announced(now time.Time, id string) bool { return g.tracker.Announced(now, id) }

// Changes returns the upstreams that became cold or warm since the last call.
func (g *Guard) Changes(now time.Time) []rwcold.Change { return g.tracker.Changes(now) }

// Uses returns the cold upstreams.
func (g *Guard) Uses(now time.Time) []Use {
	all := g.tracker.All(now)
	out := make([]Use, 0, len(all))
	for _, c := range all {
		_, each := g.split(c.Service)
		out = append(out, Use{Change: c, Used: g.meter.Used(now, c.ID), Limit: each})
	}
	return out
}

// may returns a remembered right, or asks for it.
func (g *Guard) may(now time.Time, key string, ask func() bool) bool {
	g.mu.Lock()
	known := g.rights[key]
	g.mu.Unlock()
	if now.Before(known.until) {
		return known.ok
	}
	next := right{ask(), now.Add(rightTTL)}
	g.mu.Lock()
	defer g.mu.Unlock()
	for old, r := range g.rights {
		if now.Sub(r.until) > time.Minute {
			delete(g.rights, old)
		}
	}
	g.rights[key] = next
	return next.ok
}
