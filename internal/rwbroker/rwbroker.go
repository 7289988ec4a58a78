// Package rwbroker asks the owner of an engine's cell to place a request, and
// decides on requests for the cells that this router owns. Each cell is a
// subset of a pool's engines and has one owner, the live router that ranks
// highest for it, so that the requests of all routers share one queue. An owner
// keeps soft state only: if it fails, the router that ranks next starts with an
// empty state.
package rwbroker

import (
	"context"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwcoldguard"
	"redwingworks.example/internal/rwcoldmeter"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwinventory"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwrouteconfig"
)

const (
	// ownerTimeout bounds the wait for an owner's answer, which comes at once
	// even if the request is queued. A machine whose CPU quota has run out may
	// stall for up to 100 ms.
	ownerTimeout = 120 * time.Millisecond
	// saturatedOwnerTimeout replaces ownerTimeout on a router that is itself
	// short of CPU time. With ownerTimeout, such a router read answers late,
	// treated working owners as failed and asked up to six for one request.
	saturatedOwnerTimeout = 400 * time.Millisecond
	// suspectTime is how long an owner that didn't answer is skipped at least;
	// after that it is used again once it answers pings.
	suspectTime = 700 * time.Millisecond
	// decisionSlack is added to a queued request's target before the router
	// stops waiting for a decision, which may have been lost.
	decisionSlack = 100 * time.Millisecond
	// maxSingleCellPool is the number of engines up to which a pool is one
	// cell.
	maxSingleCellPool = 24
	// meanCellSize is the approximate mean number of engines per cell in larger
	// pools; cellCount rounds the number of cells to a power of two.
	meanCellSize = 12
	// fastTick is the interval of decisions while requests are queued; slowTick
	// is the interval while none are.
	fastTick       = 5 * time.Millisecond
	slowTick       = 50 * time.Millisecond
	maxOwnersTried = 6
	// originFlushInterval is how long an owner collects the origins of streams
	// before it sends them to originCopies other routers. In a small fleet all
	// streams have the same owner, and more than half of the routers may be lost
	// at once.
	originFlushInterval = 50 * time.Millisecond
	originCopies        = 4
	// inheritInterval is how often a router that has just started asks others
	// which versions served before.
	inheritInterval = time.Second
	// originTimeout bounds the wait for another router's answer about an origin.
	originTimeout = 150 * time.Millisecond
	// refreshTimeout bounds the wait for a listing of the store, which takes
	// milliseconds once the watcher has noticed that it is wanted; refreshPoll is the
	// time between two checks.
	refreshTimeout = 400 * time.Millisecond
	refreshPoll    = 10 * time.Millisecond
	// maxOriginSearches bounds the searches that ask all routers at one time.
	maxOriginSearches = 8
	// evacuatedRetryAfter is the retry delay given to callers whose service has
	// upstreams in evacuated zones only. When the zone returns isn't known; it takes
	// seconds at least.
	evacuatedRetryAfter = time.Second
	// ownerCacheTTL is how long the owner of a cell is cached. The cache is
	// cleared when an owner doesn't answer.
	ownerCacheTTL = 50 * time.Millisecond
)

// Broker places the requests of one router. All function fields are set before
// Run.
type Broker struct {
	// Published returns the active snapshot.
	Published func() *rwconfigsnapshot.Snapshot
	// Live returns the live routers, including this one unless it is leaving;
	// Reachable reports whether a router answers pings.
	Live      func() []rwidentity.Identity
	Reachable func(name string) bool
	// Saturated, if set, reports whether this router's machine is short of CPU
	// time.
	Saturated func() bool
	// OnForecastError is called with the forecast errors of this router's
	// cells.
	OnForecastError func(time.Duration)
	// ShareWindow is the time constant over which the usage of accounts is
	// compared.
	ShareWindow time.Duration
	// Inventory, if set, lists the prompt parts that the engine at an address
	// has cached. It is called for each engine of a cell when this router
	// creates the cell's state, but not for engines that join later.
	Inventory func(ctx context.Context, addr string) (rwinventory.Inventory, error)
	// OnLeaving is called for an engine whose response to Inventory says that it is
	// leaving.
	OnLeaving func(rwinstance.Instance)

	// Origins holds the origins of streams that this router knows. New sets it.
	Origins *rworigin.Table
	// StreamWindow returns how long streams last at most.
	StreamWindow func() time.Duration
	// Readers returns the routers of this one's zone that read the store for
	// others.
	Readers func() []rwidentity.Identity
	// Refresh, if set, makes this router list the store soon.
	Refresh func()
	// Cold, if set, bounds what cold engines get.
	Cold *rwcoldguard.Guard
	// FleetSize returns the largest number of live routers that this one has
	// seen, including itself.
	FleetSize func() int

	self    rwidentity.Identity
	peers   *rwpeer.Peers
	metrics *rwmetric.Metrics
	wake    chan struct{}

	mu    sync.Mutex
	cells map[cellKey]*cell
	// pendingDecisions holds the requests that this router has asked an owner
	// to place, by request id. Each owner that is asked gets a new id.
	pendingDecisions map[string]pendingDecision
	suspects         map[string]time.Time
	// passedOver counts the requests for which an owner didn't answer, by its name,
	// since the last TakePassedOver.
	passedOver map[string]int
	ownerCache map[cellKey]cachedOwner
	seq        uint64
	// leaving is never reset.
	leaving bool
	// unsentOrigins are the origins of streams in this router's cells that it
	// has not copied to other routers yet; originsSentAt is when it last did.
	unsentOrigins map[cellKey][]originRecord
	originsSentAt time.Time
	// inheritedAt is when this router last asked others which versions served
	// before it started. Only Run uses it.
	inheritedAt time.Time
	// routersAt is when Cold was last told the live routers. Only Run uses it.
	routersAt time.Time
	// originSearches is the number of searches that ask all routers.
	originSearches int
}

// pendingDecision is a request that its owner may have queued. The channel has
// room for one decision; later ones are dropped.
type pendingDecision struct {
	owner   rwidentity.Identity
	decided chan rwplacement.Decision
}

// cachedOwner is the result of ranking the live routers for a cell. Without the
// cache, each router would rank all routers for each request, with 81 routers
// and 300 requests per second.
type cachedOwner struct {
	owner rwidentity.Identity
	until time.Time
}

type cellKey struct {
	Service string `json:"svc"`
	Cell    int    `json:"cell"`
}

func (k cellKey) String() string { return k.Service + "/" + strconv.Itoa(k.Cell) }

type cell struct {
	placer *rwplacement.Placer
	// snapshot is the snapshot with which the placer was configured.
	snapshot *rwconfigsnapshot.Snapshot
	// engines are those that the placer has.
	engines []rwplacement.Engine
	// cold are the engines that this router takes for cold, as of coldAt.
	cold   map[string]time.Duration
	coldAt time.Time
	// deciding is how long decisions took since the last Loads.
	deciding time.Duration
	// requesters holds the routers that sent the queued requests, by request
	// id.
	requesters map[string]rwidentity.Identity
	// mixed is whether streams of the service began at several versions when
	// this was last checked.
	mixed bool
}

type placeMessage struct {
	cellKey
	Request rwplacement.Request `json:"ask"`
}

type progressMessage struct {
	cellKey
	ID  string          `json:"id"`
	End rwplacement.End `json:"end"`
	// Begun is where the request's stream began; it is set with the first event
	// of a stream that can be resumed.
	Begun *originRecord `json:"beg,omitempty"`
}

// New returns a broker and registers its message handlers.
func New(self rwidentity.Identity, peers *rwpeer.Peers, metrics *rwmetric.Metrics) *Broker {
	b := &Broker{
		self: self, peers: peers, metrics: metrics, wake: make(chan struct{}, 1),
		cells: map[cellKey]*cell{}, pendingDecisions: map[string]pendingDecision{}, suspects: map[string]time.Time{},
		passedOver: map[string]int{},
		ownerCache: map[cellKey]cachedOwner{}, Origins: rworigin.New(), unsentOrigins: map[cellKey][]originRecord{},
	}
	peers.Handle("place", rwpeer.Typed(func(_ context.Context, from rwidentity.Identity, m placeMessage) (any, error) {
		return b.decide(m.cellKey, m.Request, from), nil
	}))
	peers.Handle("placed", rwpeer.Typed(func(_ context.Context, _ rwidentity.Identity, d rwplacement.Decision) (any, error) {
		b.deliver(d)
		return nil, nil
	}))
	peers.Handle("cold", rwpeer.Typed(func(_ context.Context, _ rwidentity.Identity, m coldMessage) (any, error) {
		if b.Cold != nil {
			b.Cold.Tell(time.Now(), m.Left)
		}
		return nil, nil
	}))
	b.handleOrigins()
	for method, handle := range reportHandlers {
		peers.Handle(method, rwpeer.Typed(func(_ context.Context, _ rwidentity.Identity, r progressMessage) (any, error) {
			b.applyReport(r, handle)
			return nil, nil
		}))
	}
	return b
}

// The messages that report the progress of a request to its owner.
const (
	firstEventReport = "first"
	endReport        = "ended"
	cancelReport     = "forget"
)

// reportHandlers apply the messages at the owner, whether they come from a peer
// or from the owner itself.
var reportHandlers = map[string]func(*rwplacement.Placer, progressMessage){
	firstEventReport: func(p *rwplacement.Placer, r progressMessage) { p.FirstEvent(time.Now(), r.ID) },
	endReport:        func(p *rwplacement.Placer, r progressMessage) { p.Ended(time.Now(), r.ID, r.End) },
	cancelReport: func(p *rwplacement.Placer, r progressMessage) {
		p.Cancel(r.ID)
		// The request may have been granted while the message was under way.
		p.Ended(time.Now(), r.ID, rwplacement.Abandoned)
	},
}

// Grant is the right to run one request on one engine. FirstEvent and End
// report its progress to the owner; End must be called exactly once. A grant
// that doesn't come from Acquire reports to no owner.
type Grant struct {
	rwplacement.Decision
	Instance rwinstance.Instance
	// Source is the address of an engine to copy prompt parts from, or empty.
	Source string
	// Owner is the router that made the decision, and Answer how long it took to
	// answer, which for a queued request is before the decision.
	Owner  string
	Answer time.Duration
	// NotAfter is when the grant is void, or zero if that doesn't matter.
	NotAfter time.Time

	broker *Broker
	key    cellKey
	addr   string
	// software is the only version of software that may run the request, or
	// empty; stream is the id by which its stream is resumed, or empty.
	software, stream string
}

// Acquire returns a grant for a request, or a fault with the outcome NotRun. If
// the owner refused the request, the fault has a retry delay and the grant
// holds the decision. If the router that was asked doesn't answer or stops being
// the owner, the next one is asked, and after maxOwnersTried this router decides.
// An engine that this router knows to be leaving or evacuated is granted by owners
// that don't know it yet; they are asked again without it, and without all that are
// evacuated.
func (b *Broker) Acquire(ctx context.Context, service string, r rwplacement.Request) (Grant, *rwfault.Fault) {
	key, ok := b.cellOf(service, r)
	if !ok {
		return Grant{}, b.noEngine(service)
	}
	r.Router, r.Zone = incarnationID(b.self), b.self.Zone
	start, elapsed := time.Now(), r.Elapsed
	for range maxOwnersTried {
		g, fault := b.acquireFrom(ctx, b.owner(key), placeMessage{key, r})
		switch {
		case fault != nil && fault.Code == rwcode.UpstreamLeaving:
			r.Avoid = append(slices.Clone(r.Avoid), g.Engine)
			if !b.hasEngine(service, r) {
				return g, fault
			}
		case fault != nil && fault.Code == rwcode.ZoneEvacuated:
			r.Avoid = append(slices.Clone(r.Avoid), g.Engine)
			for _, in := range b.Published().Evacuated(service) {
				r.Avoid = append(r.Avoid, in.ID)
			}
			if !b.hasEngine(service, r) {
				return g, fault
			}
			b.metrics.Add("evacuation_moved", 1)
		case fault != nil && fault.Code == rwcode.NoUpstream:
			// The cell has lost its last engine; those of another may remain.
			next, ok := b.cellOf(service, r)
			if !ok {
				return g, b.noEngine(service)
			}
			if next == key {
				return g, fault
			}
			key = next
			b.metrics.Add("cells_left", 1)
		case fault != nil && fault.Code == rwcode.GrantExpired:
		case g.Verdict != rwplacement.Moved:
			return g, fault
		}
		r.Elapsed = elapsed + time.Since(start)
	}
	return b.acquireFrom(ctx, b.self, placeMessage{key, r})
}

// noEngine returns the fault of a request for a service without a usable engine.
func (b *Broker) noEngine(service string) *rwfault.Fault {
	if len(b.Published().Evacuated(service)) > 0 {
		return rwfault.New(rwcode.ZoneEvacuated, service).WithRetryAfter(evacuatedRetryAfter)
	}
	return rwfault.New(rwcode.NoUpstream, service)
}

// hasEngine reports whether this router knows an engine that may get a request.
func (b *Broker) hasEngine(service string, r rwplacement.Request) bool {
	return slices.ContainsFunc(b.Published().Usable(service), func(in rwinstance.Instance) bool {
		return (r.Software == "" || in.Software == r.Software) && !slices.Contains(r.Avoid, in.ID)
	})
}

// acquireFrom is Acquire with one owner. If the grant's verdict is Moved, the
// owner was told to drop the request.
func (b *Broker) acquireFrom(ctx context.Context, owner rwidentity.Identity, m placeMessage) (Grant, *rwfault.Fault) {
	r := &m.Request
	decided := make(chan rwplacement.Decision, 1)
	b.mu.Lock()
	b.seq++
	r.ID = r.Router + "." + strconv.FormatUint(b.seq, 36)
	b.pendingDecisions[r.ID] = pendingDecision{owner, decided}
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.pendingDecisions, r.ID)
		b.mu.Unlock()
	}()

	asked := time.Now()
	d, fault := b.ask(ctx, owner, m)
	if fault != nil {
		return Grant{}, fault
	}
	b.tellCold(d)
	g := Grant{
		broker: b, key: m.cellKey, addr: owner.Addr, Owner: owner.Name, Answer: time.Since(asked),
		software: m.Request.Software, stream: m.Request.Stream,
	}
	if d.Verdict == rwplacement.Queued {
		if d, fault = b.await(ctx, g, *r, decided); fault != nil {
			return g, fault
		}
	}
	if d.Verdict == rwplacement.Moved {
		// An owner that is still running may grant the request late.
		g.ID = r.ID
		g.report(cancelReport, rwplacement.Abandoned)
	}
	if d.Cold {
		// The owner had the request after it was asked, so the grant is at most as
		// old as the time since then without that in the owner's queue.
		g.NotAfter = asked.Add(d.Waited + rwcoldmeter.Validity)
	}
	return b.toGrant(g, d)
}

// toGrant turns a decision into a grant or a fault.
func (b *Broker) toGrant(g Grant, d rwplacement.Decision) (Grant, *rwfault.Fault) {
	g.Decision = d
	if d.Verdict != rwplacement.Granted {
		code, known := refusalCodes[d.Verdict]
		if !known {
			// The owner runs a later version.
			code = rwcode.PeerVersion
		}
		return g, rwfault.New(code, d.Verdict.String()).WithRetryAfter(d.RetryAfter)
	}
	snapshot := b.Published()
	in, ok := snapshot.Instance(d.Engine)
	if known, isKnown := snapshot.Known(d.Engine); isKnown && known.Evacuated {
		// The owner granted it before it knew of the evacuation.
		g.End(rwplacement.Abandoned)
		return g, rwfault.New(rwcode.ZoneEvacuated, d.Engine).WithRetryAfter(evacuatedRetryAfter)
	}
	if !ok {
		// The owner's snapshot differs from this router's, in which the engine
		// is leaving or unknown.
		g.End(rwplacement.Abandoned)
		return g, rwfault.New(rwcode.UpstreamLeaving, d.Engine)
	}
	if d.Software != "" && d.Software != in.Software {
		// The engine has started again at another version, which only one of the
		// two snapshots has. The stream would be recorded at the wrong one.
		g.End(rwplacement.Abandoned)
		return g, rwfault.New(rwcode.UpstreamLeaving, d.Engine)
	}
	if fault := b.checkCold(g, in); fault != nil {
		g.End(rwplacement.Abandoned)
		return g, fault
	}
	if want := g.software; want != "" && in.Software != want {
		// The owner runs a release that doesn't know versions of software.
		g.End(rwplacement.Abandoned)
		return Grant{}, rwfault.New(rwcode.SoftwareUnavailable, want)
	}
	g.Instance = in
	if src, ok := snapshot.Known(d.Source); ok && !src.Evacuated {
		g.Source = src.Addr
	}
	return g, nil
}

var refusalCodes = map[rwplacement.Verdict]rwcode.Code{
	rwplacement.Late:      rwcode.DeadlineUnreachable,
	rwplacement.OverShare: rwcode.ShareExceeded,
	rwplacement.NoEngine:  rwcode.NoUpstream,
	rwplacement.QueueFull: rwcode.QueueFull,
	rwplacement.Moved:     rwcode.PeerUnreachable,
}

// await waits for the decision on a request that is queued at its owner.
func (b *Broker) await(ctx context.Context, g Grant, r rwplacement.Request, decided <-chan rwplacement.Decision) (rwplacement.Decision, *rwfault.Fault) {
	timer := time.NewTimer(r.Target + decisionSlack)
	defer timer.Stop()
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	g.ID = r.ID
	g.report(cancelReport, rwplacement.Abandoned)
	// A decision that arrives just after the timeout may hold a slot.
	select {
	case d := <-decided:
		if d.Verdict == rwplacement.Granted {
			g.Decision = d
			g.End(rwplacement.Abandoned)
		}
	default:
	}
	if f := rwfault.FromContext(ctx); f != nil {
		return rwplacement.Decision{}, f
	}
	return rwplacement.Decision{}, rwfault.New(rwcode.DeadlineUnreachable, "no decision in time").WithRetryAfter(decisionSlack)
}

// ask sends a request to an owner. The verdict is Moved if the owner is leaving
// or doesn't answer; it is then passed over.
func (b *Broker) ask(ctx context.Context, owner rwidentity.Identity, m placeMessage) (rwplacement.Decision, *rwfault.Fault) {
	if owner.Name == b.self.Name {
		return b.decide(m.cellKey, m.Request, b.self), nil
	}
	timeout := ownerTimeout
	if b.Saturated != nil && b.Saturated() {
		timeout = saturatedOwnerTimeout
	}
	var d rwplacement.Decision
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	err := b.peers.Call(callCtx, owner.Addr, "place", m, &d)
	cancel()
	if err != nil {
		if f := rwfault.FromContext(ctx); f != nil {
			return d, f
		}
		b.metrics.Add("owners_passed_over", 1)
		b.mu.Lock()
		b.passedOver[owner.Name]++
		b.mu.Unlock()
		d = rwplacement.Decision{ID: m.Request.ID, Verdict: rwplacement.Moved}
	}
	if d.Verdict == rwplacement.Moved {
		b.markSuspect(owner.Name)
	}
	return d, nil
}

func (b *Broker) markSuspect(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects[name] = time.Now()
	clear(b.ownerCache)
}

// ownerWeight returns the weight with which a router owns cells, the square of
// its capacity: a cell gets 250 requests per second, for which a machine with
// 0.2 cores has no capacity in addition to its own callers, while one with 0.8
// cores does.
func ownerWeight(id rwidentity.Identity) float64 {
	c := float64(max(id.Capacity, 1))
	return c * c
}

// ownerScore returns the score by which a router ranks for a cell.
func ownerScore(cell string, id rwidentity.Identity) float64 {
	return rwrendezvous.WeightedScore(cell, id.Name, ownerWeight(id))
}

// owner returns the router that ranks highest for a cell among the live ones
// that are not suspect.
func (b *Broker) owner(k cellKey) rwidentity.Identity {
	now, key := time.Now(), k.String()
	b.mu.Lock()
	cached := b.ownerCache[k]
	b.mu.Unlock()
	if now.Before(cached.until) {
		return cached.owner
	}
	best, bestScore := b.self, 0.0
	for _, id := range b.Live() {
		if id.Name != b.self.Name && b.isSuspect(now, id.Name) {
			continue
		}
		s := ownerScore(key, id)
		if s > bestScore {
			best, bestScore = id, s
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownerCache[k] = cachedOwner{best, now.Add(ownerCacheTTL)}
	return best
}

func (b *Broker) isSuspect(now time.Time, name string) bool {
	b.mu.Lock()
	since, ok := b.suspects[name]
	b.mu.Unlock()
	if !ok {
		return !b.Reachable(name)
	}
	if now.Sub(since) < suspectTime || !b.Reachable(name) {
		return true
	}
	b.mu.Lock()
	delete(b.suspects, name)
	b.mu.Unlock()
	return false
}

// cellOf returns the cell of the engine that a request's prompt maps to. A
// resumption maps only to engines of its version that have not failed it, which few
// cells may have.
func (b *Broker) cellOf(service string, r rwplacement.Request) (cellKey, bool) {
	snapshot := b.Published()
	if len(snapshot.Usable(service)) == 0 {
		return cellKey{}, false
	}
	n := cellsOf(snapshot, service)
	if n == 1 {
		return cellKey{Service: service}, true
	}
	ids := snapshot.IDs(service)
	if r.Software != "" {
		ids = nil
		for _, in := range snapshot.Usable(service) {
			if in.Software == r.Software && !slices.Contains(r.Avoid, in.ID) {
				ids = append(ids, in.ID)
			}
		}
		if len(ids) == 0 {
			return cellKey{}, false
		}
	}
	preferred := rwrendezvous.Top(r.AffinityKey(), ids)
	return cellKey{Service: service, Cell: cellIndex(preferred, n)}, true
}

// cellCount returns the number of cells of a pool. It is a power of two, so
// that it changes only about once per doubling of the pool: each change moves
// engines to other cells, whose owners start without their state.
func cellCount(engines int) int {
	if engines <= maxSingleCellPool {
		return 1
	}
	return 1 << int(math.Round(math.Log2(float64(engines)/meanCellSize)))
}

// cellsOf returns the number of cells of a service. Evacuated engines count, since
// they come back: otherwise engines would change their cells at both times.
func cellsOf(snapshot *rwconfigsnapshot.Snapshot, service string) int {
	return cellCount(len(snapshot.Usable(service)) + len(snapshot.Evacuated(service)))
}

func cellIndex(engine string, n int) int { return int(rwrendezvous.Score("cell", engine) % uint64(n)) }

// decide decides on a request in a cell that this router owns. A leaving router
// decides only on its own requests, which it keeps if no other router is live.
func (b *Broker) decide(k cellKey, r rwplacement.Request, from rwidentity.Identity) rwplacement.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving && from.Name != b.self.Name {
		return rwplacement.Decision{ID: r.ID, Verdict: rwplacement.Moved}
	}
	c := b.cell(k)
	now := time.Now()
	d := c.placer.Submit(now, r)
	c.deciding += time.Since(now)
	b.noteGrant(k, d)
	d.ColdEngines = b.coldEngines(k, from)
	if d.Verdict == rwplacement.Queued {
		c.requesters[r.ID] = from
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return d
}

func (b *Broker) updateCell(k cellKey, f func(*rwplacement.Placer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.cell(k).placer)
}

// applyReport applies a report on a request in a cell of this router.
func (b *Broker) applyReport(r progressMessage, handle func(*rwplacement.Placer, progressMessage)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	handle(b.cell(r.cellKey).placer, r)
	if r.Begun != nil {
		b.noteBegun(r.cellKey, *r.Begun)
	}
}

// cell returns the state of a cell, configured for the active snapshot. The
// caller must hold the lock.
func (b *Broker) cell(k cellKey) *cell {
	snapshot := b.Published()
	c := b.cells[k]
	if c != nil && c.snapshot == snapshot {
		return c
	}
	spec, engines := b.spec(snapshot, k)
	if c == nil {
		c = &cell{placer: rwplacement.New(spec), requesters: map[string]rwidentity.Identity{}}
		c.placer.OnForecastError = b.OnForecastError
		b.cells[k] = c
		b.loadInventories(k, snapshot, engines)
	}
	if b.Cold != nil {
		key := k.String()
		c.placer.Cold = b.Cold.Engines(k.Service, key, func(id rwidentity.Identity) float64 { return ownerScore(key, id) })
	}
	c.snapshot = snapshot
	c.placer.Configure(spec)
	if !slices.Equal(c.engines, engines) {
		c.engines = engines
		c.placer.SetEngines(engines)
	}
	return c
}

// loadInventories asks the engines of a new cell which prompt parts they have
// cached.
func (b *Broker) loadInventories(k cellKey, snapshot *rwconfigsnapshot.Snapshot, engines []rwplacement.Engine) {
	if b.Inventory == nil {
		return
	}
	for _, e := range engines {
		in, ok := snapshot.Known(e.ID)
		if !ok || in.Evacuated {
			continue
		}
		go func() {
			inventory, err := b.Inventory(context.Background(), in.Addr)
			if inventory.Leaving {
				b.OnLeaving(in)
			}
			if err != nil {
				// The preferred engine of a prompt is a good guess without it.
				b.metrics.Add("inventories_failed", 1)
				return
			}
			b.metrics.Add("inventories", 1)
			b.updateCell(k, func(p *rwplacement.Placer) { p.AddCached(in.ID, inventory.Parts) })
		}()
	}
}

func (b *Broker) spec(snapshot *rwconfigsnapshot.Snapshot, k cellKey) (rwplacement.Spec, []rwplacement.Engine) {
	list := snapshot.Usable(k.Service)
	n := cellsOf(snapshot, k.Service)
	var engines []rwplacement.Engine
	for _, in := range list {
		if cellIndex(in.ID, n) == k.Cell {
			engines = append(engines, rwplacement.Engine{ID: in.ID, Software: in.Software})
		}
	}
	for _, in := range snapshot.Evacuated(k.Service) {
		// It stays listed, so that what is known of it is there when it comes back.
		if cellIndex(in.ID, n) == k.Cell {
			engines = append(engines, rwplacement.Engine{ID: in.ID, Evacuated: true, Software: in.Software})
		}
	}
	for _, in := range snapshot.Leaving(k.Service) {
		engines = append(engines, rwplacement.Engine{ID: in.ID, Leaving: true, Evacuated: in.Evacuated, Software: in.Software})
	}
	spec := rwplacement.Spec{Slots: 1, Window: b.ShareWindow}
	service, ok := rwrouteconfig.Service{}, false
	if snapshot.Config != nil {
		service, ok = snapshot.Config.Service(k.Service)
	}
	if e := service.Engine; ok && e != nil {
		spec.Slots, spec.KVCapacity = e.Slots, e.KVCapacity
		spec.TokenBytes, spec.LinkBytesPerSecond = float64(e.TokenBytes), e.LinkBitsPerSecond/8
	}
	return spec, engines
}

// Run decides on queued requests until the context ends.
func (b *Broker) Run(ctx context.Context) error {
	for {
		step := slowTick
		if b.decideQueued() {
			step = fastTick
		}
		b.observeRouters(time.Now())
		b.sendOrigins(time.Now())
		b.inheritVersions(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
			time.Sleep(fastTick)
		case <-time.After(step):
		}
	}
}

// Loads returns the loads of this router's cells by their names, with up to n accounts
// each.
func (b *Broker) Loads(n int) map[string]rwplacement.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[string]rwplacement.Load{}
	for k, c := range b.cells {
		l := c.placer.Load(time.Now(), n)
		l.Deciding, c.deciding = c.deciding, 0
		loads[k.String()] = l
	}
	return loads
}

// TakePassedOver returns for how many requests owners didn't answer in time since the
// last call, by the names of the owners. The routers that rank next decided on these.
func (b *Broker) TakePassedOver() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.passedOver
	b.passedOver = map[string]int{}
	return taken
}

// decideQueued delivers decisions and reports whether requests are still
// queued.
func (b *Broker) decideQueued() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	busy := false
	now := time.Now()
	for k := range b.cells {
		c := b.cell(k)
		begun := time.Now()
		decisions := c.placer.Tick(now)
		c.deciding += time.Since(begun)
		for _, d := range decisions {
			b.noteGrant(k, d)
			from, ok := c.requesters[d.ID]
			delete(c.requesters, d.ID)
			if ok {
				b.sendDecision(from, d)
			}
		}
		if c.placer.QueueLength() == 0 {
			clear(c.requesters)
		}
		busy = busy || c.placer.QueueLength() > 0
	}
	return busy
}

// sendDecision delivers a decision on a queued request to its router. The caller
// must hold the lock.
func (b *Broker) sendDecision(to rwidentity.Identity, d rwplacement.Decision) {
	if to.Name == b.self.Name {
		b.deliverLocked(d)
		return
	}
	b.peers.Notify(to.Addr, "placed", d)
}

func (b *Broker) deliver(d rwplacement.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliverLocked(d)
}

func (b *Broker) deliverLocked(d rwplacement.Decision) {
	if pending, ok := b.pendingDecisions[d.ID]; ok {
		select {
		case pending.decided <- d:
		default:
		}
	}
}

// incarnationID returns the id of a router's incarnation. Without the
// incarnation, a restarted router would reuse the request ids of its previous
// run, whose slots would stay reserved.
func incarnationID(id rwidentity.Identity) string {
	return id.Name + "." + strconv.FormatInt(id.Inc, 36)
}

// RemoveRouter drops the grants and queued requests of a router incarnation
// that was declared dead or replaced. This router's requests that it had queued
// are asked for again.
func (b *Broker) RemoveRouter(id rwidentity.Identity) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.cells {
		c.placer.RemoveRouter(time.Now(), incarnationID(id))
	}
	b.movePending(func(owner rwidentity.Identity) bool { return incarnationID(owner) == incarnationID(id) })
}

// MembersChanged asks again for this router's requests that are queued at a
// router that is no longer live. It is called after a change of the live routers.
func (b *Broker) MembersChanged() {
	live := map[string]bool{incarnationID(b.self): true}
	for _, id := range b.Live() {
		live[incarnationID(id)] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.movePending(func(owner rwidentity.Identity) bool { return !live[incarnationID(owner)] })
}

// movePending resolves the pending decisions of owners that are gone. The caller
// must hold the lock.
func (b *Broker) movePending(gone func(owner rwidentity.Identity) bool) {
	clear(b.ownerCache)
	for id, pending := range b.pendingDecisions {
		if gone(pending.owner) {
			b.deliverLocked(rwplacement.Decision{ID: id, Verdict: rwplacement.Moved})
		}
	}
}

// Leave stops deciding for other routers and has all queued requests asked for
// again at the owners that rank next. It is called once Live no longer returns
// this router. If no other router is live, this router's requests are queued here
// again.
func (b *Broker) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	clear(b.ownerCache)
	b.handQueuesOver()
}

// handQueuesOver lets the routers whose requests are queued here ask the owners
// of their cells again. The caller must hold the lock.
func (b *Broker) handQueuesOver() {
	for _, c := range b.cells {
		for id, from := range c.requesters {
			c.placer.Cancel(id)
			b.sendDecision(from, rwplacement.Decision{ID: id, Verdict: rwplacement.Moved})
		}
		clear(c.requesters)
	}
}

// Reset drops all cells. It is called after a pause of the process, during
// which other routers took the cells over.
func (b *Broker) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handQueuesOver()
	clear(b.cells)
}

// FirstEvent reports the first event of the request to the owner.
func (g Grant) FirstEvent() {
	g.noteSign(rwplacement.Served)
	g.report(firstEventReport, rwplacement.Served)
}

// End reports the end of the request to the owner.
func (g Grant) End(end rwplacement.End) {
	if end != rwplacement.Served {
		g.noteSign(end)
	}
	g.report(endReport, end)
}

func (g Grant) report(method string, end rwplacement.End) {
	b := g.broker
	if b == nil {
		return
	}
	r := progressMessage{cellKey: g.key, ID: g.ID, End: end}
	if method == firstEventReport && g.stream != "" {
		in := g.Instance
		r.Begun = &originRecord{ID: g.stream, Begun: true, Origin: rworigin.Origin{
			Service: g.key.Service, Software: in.Software, Upstream: in.ID, StartMillis: in.StartMillis,
		}}
	}
	if g.addr == b.self.Addr {
		b.applyReport(r, reportHandlers[method])
		return
	}
	b.peers.Notify(g.addr, method, r)
	if r.Begun != nil && !slices.ContainsFunc(b.Live(), func(id rwidentity.Identity) bool { return id.Name == g.Owner }) {
		// The owner has left and won't copy the origin.
		b.mu.Lock()
		defer b.mu.Unlock()
		b.noteBegun(g.key, *r.Begun)
	}
}
