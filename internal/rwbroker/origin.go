package rwbroker

import (
	"cmp"
	"context"
	"slices"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrendezvous"
)

// originRetryAfter is the retry delay given to a caller whose stream's origin is
// not known: the router that knows it may be reachable again.
const originRetryAfter = 500 * time.Millisecond

// originRecord is the origin of one stream. If Begun is not set, it is only where the
// stream was granted. That tells that upstreams of this version get streams, and
// nothing about this one: another owner's grant may be the one that was used.
type originRecord struct {
	ID string `json:"id"`
	rworigin.Origin
	Begun bool `json:"beg,omitempty"`
}

type originsMessage struct {
	List []originRecord `json:"list"`
}

type originQuery struct {
	ID      string `json:"id"`
	Service string `json:"svc"`
	// Window is how long streams last at most as the asking router knows it.
	Window time.Duration `json:"win,omitempty"`
}

type originAnswer struct {
	// Found is whether the router knows the stream, and Begun whether its origin
	// is certain. Uncertain is whether it isn't; routers of an older release refuse
	// the resumption then, since Begun is not set. Such a router sets Found alone
	// if it knows only a grant.
	Found     bool            `json:"ok,omitempty"`
	Begun     bool            `json:"beg,omitempty"`
	Uncertain bool            `json:"unc,omitempty"`
	Origin    rworigin.Origin `json:"at"`
	// Seen holds the versions of the service that the router saw lately; Whole
	// is whether it saw them for as long as streams last, and Current whether
	// it did so up to now.
	Seen    []string `json:"seen,omitempty"`
	Whole   bool     `json:"whole,omitempty"`
	Current bool     `json:"cur,omitempty"`
}

// handleOrigins registers the handlers of the messages about origins.
func (b *Broker) handleOrigins() {
	b.peers.Handle("origins", rwpeer.Typed(func(_ context.Context, _ rwidentity.Identity, m originsMessage) (any, error) {
		now := time.Now()
		for _, r := range m.List {
			if r.Begun {
				b.Origins.Add(now, r.ID, r.Origin)
			} else if r.Software != "" {
				b.Origins.ObserveGrant(now, r.Origin)
			}
		}
		return nil, nil
	}))
	b.peers.Handle("origin", rwpeer.Typed(func(_ context.Context, _ rwidentity.Identity, q originQuery) (any, error) {
		return b.originHere(q), nil
	}))
}

// originHere returns what this router knows about the origin of a stream.
func (b *Broker) originHere(q originQuery) originAnswer {
	now := time.Now()
	var a originAnswer
	a.Origin, a.Found = b.Origins.Find(now, q.ID)
	a.Begun = a.Found
	if !a.Found {
		a.Seen, a.Whole, a.Current = b.Origins.Seen(now, q.Service, max(q.Window, b.StreamWindow()))
	}
	return b.checked(a)
}

// withoutGrant returns the answer of a router of an older release that knows only a
// grant as one of a router that doesn't know the stream but has seen the version. If
// it knows grants at several versions, which it doesn't name, the answer is
// uncertain.
func (a originAnswer) withoutGrant() originAnswer {
	if !a.Found || a.Begun || a.Uncertain {
		return a
	}
	if a.Origin.Software == "" {
		return originAnswer{Found: true, Uncertain: true}
	}
	return originAnswer{Seen: []string{a.Origin.Software}}
}

// checked returns an answer without its version if that is uncertain by what this
// router knows of restarts.
func (b *Broker) checked(a originAnswer) originAnswer {
	if a.Begun && b.Origins.Uncertain(a.Origin) {
		a.Uncertain, a.Begun, a.Origin = true, false, rworigin.Origin{Service: a.Origin.Service}
	}
	return a
}

// noteGrant queues a copy of where a stream was granted in a cell of this router, so
// that others learn of its version even if this router ends before its first event.
// The caller must hold the lock.
func (b *Broker) noteGrant(k cellKey, d rwplacement.Decision) {
	if d.Verdict != rwplacement.Granted || d.Stream == "" {
		return
	}
	// The decision was made with this snapshot.
	in, _ := b.cells[k].snapshot.Known(d.Engine)
	b.queueOrigin(time.Now(), k, originRecord{ID: d.Stream, Origin: rworigin.Origin{
		Service: k.Service, Software: d.Software, Upstream: d.Engine, StartMillis: in.StartMillis,
	}})
}

// noteBegun records where a stream began that was granted in a cell, and queues a
// copy. The caller must hold the lock.
func (b *Broker) noteBegun(k cellKey, r originRecord) {
	now := time.Now()
	b.Origins.Add(now, r.ID, r.Origin)
	b.queueOrigin(now, k, r)
}

// queueOrigin queues a copy of an origin for other routers, unless all streams
// begin at one version: the stream may be resumed at a router that this one can't
// reach later. The caller must hold the lock.
func (b *Broker) queueOrigin(now time.Time, k cellKey, r originRecord) {
	if b.Origins.Mixed(now, k.Service, b.StreamWindow()) {
		b.unsentOrigins[k] = append(b.unsentOrigins[k], r)
	}
}

// queueRunning queues copies of the origins of all running streams in cells whose
// service has got a second version. The caller must hold the lock.
func (b *Broker) queueRunning(now time.Time) {
	for k, c := range b.cells {
		before := c.mixed
		c.mixed = b.Origins.Mixed(now, k.Service, b.StreamWindow())
		if before || !c.mixed {
			continue
		}
		for _, id := range c.placer.Streams() {
			if o, ok := b.Origins.Find(now, id); ok {
				b.unsentOrigins[k] = append(b.unsentOrigins[k], originRecord{ID: id, Origin: o, Begun: true})
			}
		}
	}
}

// sendOrigins copies new origins to the routers that own their cells if this one
// ends.
func (b *Broker) sendOrigins(now time.Time) {
	b.mu.Lock()
	if now.Sub(b.originsSentAt) < originFlushInterval {
		b.mu.Unlock()
		return
	}
	b.originsSentAt = now
	b.queueRunning(now)
	unsent := b.unsentOrigins
	b.unsentOrigins = map[cellKey][]originRecord{}
	b.mu.Unlock()
	for k, list := range unsent {
		for _, id := range b.successors(k, originCopies) {
			b.peers.Notify(id.Addr, "origins", originsMessage{list})
		}
	}
}

// successors returns the routers other than this one that rank highest for a
// cell, one of them at least in another zone than the first if there is one.
func (b *Broker) successors(k cellKey, n int) []rwidentity.Identity {
	key := k.String()
	scores := map[string]float64{}
	var list []rwidentity.Identity
	for _, id := range b.Live() {
		if id.Name != b.self.Name {
			scores[id.Name] = rwrendezvous.WeightedScore(key, id.Name, ownerWeight(id))
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(x, y rwidentity.Identity) int { return cmp.Compare(scores[y.Name], scores[x.Name]) })
	if len(list) <= n {
		return list
	}
	if i := slices.IndexFunc(list, func(id rwidentity.Identity) bool { return id.Zone != list[0].Zone }); i >= n {
		list[n-1] = list[i]
	}
	return list[:n]
}

// inheritVersions asks other routers which versions of a service they saw, until
// this router has watched it for as long as streams last.
func (b *Broker) inheritVersions(ctx context.Context, now time.Time) {
	if now.Sub(b.inheritedAt) < inheritInterval {
		return
	}
	b.inheritedAt = now
	window := b.StreamWindow()
	for _, service := range b.Origins.Young(now, window) {
		go func() {
			near := append(b.successors(cellKey{Service: service}, originCopies), b.Readers()...)
			asked := map[string]bool{b.self.Name: true}
			answers, _ := b.askOrigin(ctx, originQuery{Service: service, Window: window}, near, asked)
			for _, a := range answers {
				if a.Whole && a.Current {
					b.Origins.Inherit(time.Now(), service, a.Seen, window)
				}
			}
		}()
	}
}

// FindOrigin returns where a stream began that a caller resumes. It asks this
// router's table, then the owner of the request's cell, those who would own it
// next and the readers of the zone, then all routers, until the answers tell the
// origin as described at originOf. If most routers don't answer, this one lists the
// store first: until then it may have missed a version since its last listing.
// Otherwise it fails with OriginUnknown, at once if an answer says that the origin is
// uncertain.
func (b *Broker) FindOrigin(ctx context.Context, service string, r rwplacement.Request, id string) (rworigin.Origin, *rwfault.Fault) {
	start := time.Now()
	q := originQuery{ID: id, Service: service, Window: b.StreamWindow()}
	here := b.originHere(q)
	if here.Begun {
		return here.Origin, nil
	}
	if here.Uncertain {
		return b.originUncertain(id)
	}
	b.metrics.Add("origins_asked", 1)
	asked := map[string]bool{b.self.Name: true}
	answers, inTouch := []originAnswer{here}, false
	if k, ok := b.cellOf(service, r); ok {
		near := slices.Concat([]rwidentity.Identity{b.owner(k)}, b.successors(k, originCopies+1), b.Readers())
		list, failed := b.askOrigin(ctx, q, near, asked)
		answers = append(answers, list...)
		inTouch = len(list) > 0 && failed == 0
	}
	if o, ok := originOf(service, answers, b.FleetSize(), inTouch); ok {
		return o, nil
	}
	if isUncertain(answers) {
		return b.originUncertain(id)
	}
	if b.beginSearch() {
		list, _ := b.askOrigin(ctx, q, b.Live(), asked)
		answers = append(answers, list...)
		b.endSearch()
	}
	current := false
	if 2*len(answers) <= b.FleetSize() && !isUncertain(answers) {
		current = b.awaitCurrent(ctx, start)
		answers[0] = b.originHere(q)
	}
	if f := rwfault.FromContext(ctx); f != nil {
		return rworigin.Origin{}, f
	}
	if o, ok := originOf(service, answers, b.FleetSize(), current); ok {
		return o, nil
	}
	if isUncertain(answers) {
		return b.originUncertain(id)
	}
	return rworigin.Origin{}, rwfault.New(rwcode.OriginUnknown, id).WithRetryAfter(originRetryAfter)
}

// awaitCurrent lists the store and reports whether this router knows all upstreams
// that were there at a time.
func (b *Broker) awaitCurrent(ctx context.Context, at time.Time) bool {
	if b.Refresh == nil || b.Origins.CurrentSince(at) {
		return b.Origins.CurrentSince(at)
	}
	b.Refresh()
	for end := time.Now().Add(refreshTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		if b.Origins.CurrentSince(at) {
			return true
		}
		time.Sleep(refreshPoll)
	}
	return b.Origins.CurrentSince(at)
}

func (b *Broker) originUncertain(id string) (rworigin.Origin, *rwfault.Fault) {
	b.metrics.Add("origins_uncertain", 1)
	return rworigin.Origin{}, rwfault.New(rwcode.OriginUnknown, id).WithRetryAfter(originRetryAfter)
}

func isUncertain(answers []originAnswer) bool {
	return slices.ContainsFunc(answers, func(a originAnswer) bool { return a.Uncertain })
}

// askOrigin asks those of the routers that are not in asked, to which it adds
// them. It returns their answers as this router judges them, without those that come
// after the first from a router that knows that the stream has begun, and the number
// of routers that didn't answer.
func (b *Broker) askOrigin(ctx context.Context, q originQuery, routers []rwidentity.Identity, asked map[string]bool) (answers []originAnswer, failed int) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	results := make(chan *originAnswer, len(routers))
	calls := 0
	for _, id := range routers {
		if asked[id.Name] {
			continue
		}
		asked[id.Name] = true
		calls++
		go func() {
			var a originAnswer
			if err := b.peers.Call(ctx, id.Addr, "origin", q, &a); err != nil {
				// The router can't be reached or runs an older release.
				b.metrics.Add("origin_calls_failed", 1)
				results <- nil
				return
			}
			results <- &a
		}()
	}
	for range calls {
		a := <-results
		if a == nil {
			failed++
			continue
		}
		judged := b.checked(a.withoutGrant())
		answers = append(answers, judged)
		if judged.Found {
			break
		}
	}
	return answers, failed
}

// originOf returns the origin of a stream of a service that answers tell. It is
// where a router knows that the stream has begun, unless an answer says that the
// version is uncertain. If no router knows the stream, it is the only version that
// the service had.
func originOf(service string, answers []originAnswer, fleetSize int, current bool) (rworigin.Origin, bool) {
	if isUncertain(answers) {
		return rworigin.Origin{}, false
	}
	for _, a := range answers {
		if a.Begun {
			return a.Origin, true
		}
	}
	software, ok := onlySoftware(answers, fleetSize, current)
	return rworigin.Origin{Service: service, Software: software}, ok
}

// onlySoftware returns the only version that the answering routers saw for as
// long as streams last. It fails if a router may have begun streams at a version
// that these didn't see: if none of them has read the store just now, while most
// routers of the fleet didn't answer. Routers learn of upstreams from the store
// alone. What they read counts only if current is set.
func onlySoftware(answers []originAnswer, fleetSize int, current bool) (string, bool) {
	most := 2*len(answers) > fleetSize
	software, complete := "", false
	for _, a := range answers {
		complete = complete || a.Whole && (current && a.Current || most)
		for _, s := range a.Seen {
			if software != "" && s != software {
				return "", false
			}
			software = s
		}
	}
	return software, complete && software != ""
}

// beginSearch reports whether this router may ask all routers now; endSearch must
// be called then.
func (b *Broker) beginSearch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.originSearches >= maxOriginSearches {
		return false
	}
	b.originSearches++
	return true
}

func (b *Broker) endSearch() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.originSearches--
}
