// Package rwedge assembles the parts of a front router and runs them.
package rwedge

import (
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"redwingworks.example/internal/rwbandwidth"
	"redwingworks.example/internal/rwbroker"
	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwcatalogsync"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwcoldguard"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwconn"
	"redwingworks.example/internal/rwconnlimit"
	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwfront"
	"redwingworks.example/internal/rwgossip"
	"redwingworks.example/internal/rwhistogram"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinflight"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwinventory"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwlag"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwlisten"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwoverload"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwpoisonsync"
	"redwingworks.example/internal/rwregistry"
	"redwingworks.example/internal/rwrelay"
	"redwingworks.example/internal/rwretrywindow"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwshed"
	"redwingworks.example/internal/rwshutdown"
	"redwingworks.example/internal/rwsink"
	"redwingworks.example/internal/rwstorewatch"
	"redwingworks.example/internal/rwtally"
)

const (
	// headerTimeout and headerBytes always bound the head of a caller's
	// request; the published limits may bound its size further. idleTimeout
	// always bounds the idle time of a connection; the published limit can only
	// shorten it.
	headerTimeout = 5 * time.Second
	headerBytes   = 256 << 10
	idleTimeout   = 30 * time.Second
	// callerFDRatio and callerMemoryRatio are the fractions of the file
	// descriptors and of the memory that callers' connections may take;
	// connectionBytes is the memory of a connection with a request that is
	// unread in its socket.
	callerFDRatio     = 0.5
	callerMemoryRatio = 0.2
	connectionBytes   = 40 << 10
	// closeIdleRatio is the fraction of these connections above which idle ones
	// are closed early; closeRefusedRatio is the one above which the
	// connections of refused callers are closed. From crowdedRatio on, a new
	// connection takes the place of one that waits for the head of a request.
	closeIdleRatio    = 0.8
	closeRefusedRatio = 0.5
	crowdedRatio      = 0.875
	// relayMemoryRatio and relayFDRatio are the fractions of the memory and of the
	// file descriptors that relayed connections may take; the memory is a part of
	// that of the requests in progress. relayBytes is the memory of one, with its
	// stacks and what waits to be passed on.
	relayMemoryRatio = 0.15
	relayFDRatio     = 0.4
	relayBytes       = 16 << 10
	// defaultMaxRelayed bounds the relayed connections if the settings set no
	// memory limit.
	defaultMaxRelayed = 1024
	// joinTime is how long after its start a router still discovers the other
	// routers.
	joinTime = 1200 * time.Millisecond
	// requestBytes is the memory of a request in progress with its buffers,
	// stacks and body; requestMemoryRatio is the fraction of the memory that
	// all of them may take.
	requestBytes       = 160 << 10
	requestMemoryRatio = 0.3
	// reservedRatio is the fraction of the requests in progress that a router keeps for
	// the connections that it has, and relays new ones. Otherwise it would refuse what
	// other routers have room for.
	reservedRatio = 0.125
	// replacedRatio is the largest number of requests in progress while some of them
	// end for others, as a multiple of the usual one.
	replacedRatio = 1.125
	// bulkMemoryRatio is the fraction of the memory that large bodies and heads of
	// requests may take beyond that: nine bodies of 4 MiB on the smallest machine.
	bulkMemoryRatio = 0.25
	// callerReceiveBytes and upstreamReceiveBytes are the receive buffers of connections
	// of callers and to upstreams if the settings set a memory limit: the system's own
	// grow to megabytes on a connection that isn't read. Linux takes twice as much. That
	// of callers is a part of connectionBytes; with a smaller one, a body of ordinary size
	// would need several round trips.
	callerReceiveBytes   = 32 << 10
	upstreamReceiveBytes = 32 << 10
	// callerUnsentBytes bounds what the system holds of responses beyond what callers
	// have room for, if the settings set a memory limit.
	callerUnsentBytes = 32 << 10
	// defaultMaxRequests bounds the requests in progress if the settings set no
	// memory limit.
	defaultMaxRequests = 1024
	// defaultDescriptors is used if the settings set no file descriptor limit.
	defaultDescriptors = 4096
	// flushDelayRatio is the fraction of the deadline for a stream event for
	// which events are collected; the rest allows for the lateness of a machine
	// that is short of CPU time.
	flushDelayRatio = 0.3
	// relayGatherRatio is the same for relayed connections, whose events the other
	// router may have collected before.
	relayGatherRatio = 0.5
	// backlogLateness is how late the router counts at least while connections wait
	// to be accepted.
	backlogLateness = 20 * time.Millisecond
	// backlogPerMilli is the number of connections that may wait to be accepted, for
	// each thousandth of a core, and minBacklog the least number.
	backlogPerMilli = 1.0
	minBacklog      = 128
	// defaultGrace is used if the settings set no grace period.
	defaultGrace = 8 * time.Second
	// memoryLimitRatio is the fraction of the memory limit that the heap and
	// the stacks may take before the garbage collector runs more often. With
	// callerMemoryRatio, it leaves a fifth to the program's own pages and to
	// the sockets to upstreams; with 0.7 and 0.25, a machine exceeded its limit
	// in a flood.
	memoryLimitRatio = 0.6
	// gcPercent lets the heap grow further between collections than the
	// default: a router's live heap is a few megabytes, and each request
	// allocates its body and buffers.
	gcPercent      = 300
	upkeepInterval = 250 * time.Millisecond
	// maxStreamWindow is how long streams are assumed to last if their routes
	// set no timeout; streamWindowMargin is added to the longest timeout.
	maxStreamWindow    = 30 * time.Second
	streamWindowMargin = 2 * time.Second
	// maxCutLines is the largest number of log lines that each of the two
	// reports of a drain writes about the requests it cuts.
	maxCutLines = 20
	// accountInterval is how often the requests of accounts are logged, and
	// maxAccountLines the number of accounts each time.
	accountInterval = time.Second
	maxAccountLines = 6
	// pressedDelay is how late bulk bytes count at least while connections wait for the
	// link.
	pressedDelay = 150 * time.Millisecond
	// busyLinkLoad is the fraction of the link's rate from which its load is logged.
	busyLinkLoad = 0.6
	// maxUnreadable bounds the upstreams and fields that are remembered as logged.
	maxUnreadable = 1000
	// lapseHeartbeats is the number of heartbeats that an upstream misses until its
	// entry lapses.
	lapseHeartbeats = 3
	// reloadInterval is how often the settings file is read again; it can
	// change without a signal.
	reloadInterval = 2 * time.Second
)

// Config is what the platform's adapter provides to a front router.
type Config struct {
	Deployment rwdeployment.Deployment
	// Reload reads the settings again.
	Reload  func() (rwdeployment.Deployment, error)
	Dialect rwdialect.Dialect
	// Prefixes, List, ListStale, Watch and Decode read the platform's store.
	// ListStale may be nil.
	Prefixes  []string
	List      func(ctx context.Context, prefix string) (rwstorewatch.Batch, error)
	ListStale func(ctx context.Context, prefix string) (rwstorewatch.Batch, error)
	Watch     func(ctx context.Context, prefix string, after int64, wait time.Duration) (rwstorewatch.Batch, error)
	Decode    func(rwitem.Item) (rwcatalog.Decoded, error)
	// Inventory lists the prompt parts that the engine at an address has
	// cached.
	Inventory func(ctx context.Context, addr string) (rwinventory.Inventory, error)
	// Key authenticates routers to each other.
	Key string
	Out io.Writer
	// Listen and Dial open listeners, and connections to routers and for requests
	// to upstreams. They use TCP if they are nil. List, Watch and Inventory open
	// connections of their own.
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// Signals is received from instead of the signals of the process if it is
	// not nil.
	Signals <-chan os.Signal
	// SchedulingDelay returns how long goroutines waited to run, by which the
	// router decides whether to shed load. If it is nil, the runtime's measure is
	// used.
	SchedulingDelay func() time.Duration
}

// Edge is one front router.
type Edge struct {
	config     Config
	deployment rwdeployment.Deployment
	started    time.Time
	sink       *rwsink.Sink
	log        zerolog.Logger
	// summaries is for lines with counts, which a flood of other lines doesn't
	// displace.
	summaries zerolog.Logger
	tally     rwtally.Tally
	metrics   *rwmetric.Metrics
	registry  *rwregistry.Registry
	self      rwidentity.Identity
	peers     *rwpeer.Peers
	gossip    *rwgossip.Gossip
	broker    *rwbroker.Broker
	syncer    *rwcatalogsync.Syncer
	poison    *rwpoisonsync.Syncer
	// cold bounds the requests to cold upstreams.
	cold        *rwcoldguard.Guard
	watcher     *rwstorewatch.Watcher
	pool        *rwconn.Pool
	front       *rwfront.Handler
	server      *http.Server
	connLimiter *rwconnlimit.Limiter
	lagMonitor  *rwlag.Monitor
	// overload decides when to refuse requests and to leave the rotation, and shedder
	// whose requests.
	overload *rwoverload.Controller
	shedder  *rwshed.Shedder
	// link is shared by all connections but those to the store.
	link  *rwbandwidth.Link
	relay *rwrelay.Relay
	// memory bounds large bodies and heads of requests. It is nil, without a bound, if
	// the settings set no memory limit.
	memory         *rwbudget.Budget
	latency        *rwhistogram.Histogram
	forecastErrors *rwhistogram.Histogram

	mu      sync.Mutex
	catalog *rwcatalog.Catalog
	// storeLost is whether the last call to the store failed.
	storeLost bool
	// eraFaultLogged is whether the store's last response stated an invalid era.
	eraFaultLogged bool
	// unreadable holds the header fields, by upstream, that were logged as
	// unreadable.
	unreadable map[string]bool
	published  atomic.Pointer[rwconfigsnapshot.Snapshot]
	// activeRequests is the number of requests in progress.
	activeRequests atomic.Int64
	inFlight       rwinflight.Table
	// shutdown is nil until a signal asks the process to stop.
	shutdown atomic.Pointer[rwshutdown.Plan]
	// cancelRequests cancels the contexts of all requests in progress.
	cancelRequests context.CancelCauseFunc
	// maxRouters is the largest number of live routers seen: a partitioned
	// router must not use the retry budget of the routers that it can't reach.
	maxRouters atomic.Int64
	// longestStream is the longest time, in nanoseconds, that a configuration so
	// far let streams last.
	longestStream atomic.Int64
}

// New returns a front router that is not running yet.
func New(c Config) *Edge {
	e := &Edge{
		config: c, deployment: c.Deployment, started: time.Now(), sink: rwsink.New(c.Out), metrics: rwmetric.New(), registry: rwregistry.New(),
		catalog: rwcatalog.New(c.Decode), latency: rwhistogram.New("first_answer"), forecastErrors: rwhistogram.New("forecast_error"),
		self: rwidentity.Identity{
			Name: c.Deployment.Name, Zone: c.Deployment.Zone, Region: c.Deployment.Region,
			Addr: c.Deployment.Peer, Inc: time.Now().UnixMicro(), Capacity: c.Deployment.CPUMillis,
		},
	}
	e.log = rwlog.New(e.sink, "rwfront").With().Str("router", e.self.Name).Logger()
	e.summaries = rwlog.New(e.sink.Summaries(), "rwfront").With().Str("router", e.self.Name).Logger()
	e.published.Store(rwconfigsnapshot.New(nil, 0, time.Now(), nil))
	e.peers = rwpeer.New(e.self, c.Key, nil, e.log, e.metrics)
	e.peers.SkipCompression = func() bool { return e.overload.Saturated() }
	e.gossip = rwgossip.New(e.peers, e.deployment.Seeds, e.log, e.metrics)
	e.syncer = rwcatalogsync.New(e.peers)
	e.poison = rwpoisonsync.New(e.peers)
	e.broker = rwbroker.New(e.self, e.peers, e.metrics)
	e.connLimiter, e.lagMonitor, e.overload = rwconnlimit.New(), rwlag.New(), rwoverload.New(c.Deployment.CPUMillis)
	e.shedder = rwshed.New()
	e.connLimiter.HeadTimeout, e.connLimiter.Crowded = headerTimeout, e.maxConnections(crowdedRatio)
	if m := c.Deployment.MemoryBytes; m > 0 {
		e.memory = rwbudget.New(int64(bulkMemoryRatio * float64(m)))
	}
	e.connLimiter.Memory = e.memory
	e.link = rwbandwidth.New(c.Deployment.LinkBitsPerSecond)
	e.lagMonitor.OnMeasure = e.observeLateness
	e.pool = rwconn.New(c.Dialect.Inspect)
	e.pool.OnResponse = e.onUpstreamResponse
	e.pool.Count = func(name string) { e.metrics.Add(name, 1) }
	if c.Dial != nil {
		e.peers.Dial, e.pool.Dial = c.Dial, c.Dial
	}
	e.peers.Dial = e.link.Dialer(e.peers.Dial)
	if e.memory != nil {
		e.pool.Dial = limitReceiveBuffer(e.pool.Dial)
	}
	dial := e.pool.Dial
	e.pool.Dial = e.link.UpstreamDialer(dial)
	if c.SchedulingDelay != nil {
		e.lagMonitor.SchedulingDelay = c.SchedulingDelay
	}
	e.wireCatalog()
	e.wireFront()
	e.wireRelay(e.link.Dialer(dial))
	return e
}

// wireCatalog connects the parts that keep the published configuration and the
// upstreams up to date.
func (e *Edge) wireCatalog() {
	e.syncer.Rev = func() rwrevision.Revision {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.catalog.Rev()
	}
	e.syncer.Since = func(rev rwrevision.Revision) []rwitem.Item {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.catalog.Since(rev)
	}
	e.syncer.Apply = func(from string, rev rwrevision.Revision, items []rwitem.Item) {
		e.updateCatalog(from, func(now time.Time) (bool, map[string]error) {
			changed, bad := e.catalog.Apply(now, items)
			e.catalog.Advance(now, rev)
			return changed, bad
		})
	}
	e.syncer.Orders = func() []string {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.catalog.Orders()
	}
	e.syncer.ApplyOrders = func(from string, rev rwrevision.Revision, keys []string) {
		e.updateCatalog(from, func(now time.Time) (bool, map[string]error) { return e.catalog.ApplyOrders(now, rev, keys), nil })
	}
	e.syncer.OnTooLarge = func(from string, err error) {
		rwlog.Warn(&e.log, rwlog.PeerMessageTooLarge, err).Str("method", "part").Str("source", from).Send()
	}
	e.syncer.Live = e.gossip.Live
	e.gossip.OnMessage = func(from rwidentity.Identity, rev rwrevision.Revision, _ uint64) { e.syncer.ObserveRev(from, rev) }
	e.gossip.OnLiveChange = e.onMembersChanged
	e.gossip.OnGone = e.broker.RemoveRouter
	e.gossip.OnResume = func(time.Duration) {
		e.broker.Reset()
		e.broker.Origins.Interrupt(time.Now())
		e.cold.Interrupt(time.Now())
	}
	e.watcher = &rwstorewatch.Watcher{
		Prefixes: e.config.Prefixes, List: e.config.List, ListStale: e.config.ListStale, Watch: e.config.Watch,
		OnList: e.onList, OnStale: e.onStaleList, OnChange: e.onChange, OnError: e.onStoreError, IsReader: e.isReader,
		Watches: func() bool { return e.isReader() && e.syncer.Watches() }, Known: e.syncer.Rev,
		ApplyDeadline: applyDeadline(e.deployment),
	}
	e.syncer.Refresh, e.broker.Refresh = e.watcher.Refresh, e.watcher.Refresh
	e.syncer.OnLeaving = func(from string, u rwleaving.Upstream) { e.markLeaving(from, u, false) }
	e.catalog.EntryTTL = lapseHeartbeats * e.deployment.Heartbeat
}

// applyDeadline returns the time within which any change in the store must be active,
// or 0 if it is not known.
func applyDeadline(d rwdeployment.Deployment) time.Duration {
	if d.ConfigDeadline <= 0 || d.EvacuateDeadline <= 0 {
		return max(d.ConfigDeadline, d.EvacuateDeadline)
	}
	return min(d.ConfigDeadline, d.EvacuateDeadline)
}

// isReader reports whether this router reads the store on behalf of others too.
// When a large fleet starts at once, every router would be a reader until it
// has discovered the others, so only the seeds are at first.
func (e *Edge) isReader() bool {
	if !slices.Contains(e.deployment.Seeds, e.deployment.Peer) && time.Since(e.started) < joinTime {
		return false
	}
	return e.syncer.IsReader()
}

// wireFront connects the parts that serve callers.
func (e *Edge) wireFront() {
	e.broker.Published = e.published.Load
	e.broker.Live = func() []rwidentity.Identity { return e.gossip.Live("") }
	e.broker.Reachable = e.gossip.Reachable
	e.broker.Saturated = func() bool { return e.overload.Saturated() || e.linkFull() }
	e.broker.ShareWindow = e.deployment.ShareWindow / 2
	e.broker.OnForecastError = e.forecastErrors.Record
	e.broker.Inventory = e.config.Inventory
	e.broker.OnLeaving = func(in rwinstance.Instance) {
		e.markLeaving("inventory", rwleaving.Upstream{Name: in.ID, Inc: in.StartMillis}, true)
	}
	e.broker.StreamWindow, e.broker.Readers = e.streamWindow, e.syncer.Readers
	e.wireCold()
	e.broker.FleetSize = func() int { return int(e.maxRouters.Load()) }
	e.front = &rwfront.Handler{
		Dialect: e.config.Dialect, Published: e.published.Load, Acquire: e.broker.Acquire, FindOrigin: e.broker.FindOrigin, Begun: e.streamBegun,
		OriginUncertain: e.originUncertain, Pool: e.pool,
		RouterCount: func() int { return int(e.maxRouters.Load()) },
		NewBudget: func() *rwretrywindow.Budget {
			return rwretrywindow.New(e.deployment.RetryRatio, e.deployment.RetryExtra, e.deployment.RetryWindow)
		},
		CloseConnections: func() bool { return e.stopping() || e.overload.CloseConnections(time.Now()) },
		Draining:         e.draining,
		Overloaded:       e.overloaded, Lagging: e.lagMonitor.Lagging, CallerClosed: rwconnlimit.CallerClosed, ResetOnClose: rwconnlimit.ResetOnClose, FlushDelay: e.flushDelay,
		CloseRefused: func() bool { return e.connLimiter.Open() > e.maxConnections(closeRefusedRatio) },
		AdmitBody: func(ctx context.Context, n int64, within time.Duration) bool {
			return e.link.AdmitBody(ctx, rwconnlimit.Accepted(ctx), n, within)
		},
		Zone: e.self.Zone, Log: e.log, Metrics: e.metrics, ObserveLatency: e.latency.Record,
		Stopping: e.stopRequested, InFlight: &e.inFlight, Via: e.relayedBy,
		Tally:    &e.tally,
		ColdRoom: e.cold.PlainRoom, ColdTaken: e.cold.PlainTaken, ColdEnded: e.cold.Ended,
		Memory: e.memory, MaxRequests: e.maxRequests,
		HarmfulPart: e.poison.Harmful, TryHarmful: e.poison.Try, SuspectedPart: e.poison.Suspected,
		ResponseWritten: e.poison.AddResponse, Crashed: e.poison.AddCrash, Alive: e.poison.AddAlive,
	}
	e.wirePoison()
	requests, cancel := context.WithCancelCause(context.Background())
	e.cancelRequests = cancel
	e.server = &http.Server{
		BaseContext: func(net.Listener) context.Context { return requests },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e.activeRequests.Add(1)
			defer e.activeRequests.Add(-1)
			// A relayed connection is not kept, so that its caller comes back by
			// the load balancer, and a drain has no idle ones to end. Without room,
			// callers have to open a connection that can be relayed.
			room, excess := e.countRequest(r)
			if e.relayedBy(r) != "" || e.deployment.Relay != "" && (!room || e.isNearlyFull()) {
				w.Header().Set("Connection", "close")
			}
			if excess {
				r = r.WithContext(context.WithValue(r.Context(), excessKey{}, true))
			}
			e.front.ServeHTTP(w, r)
		}),
		// There is no IdleTimeout, because net/http would close a connection
		// whose next request has arrived. closeIdleCallers bounds the idle time.
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes,
		ConnState: e.connLimiter.ConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(e.connLimiter.ConnContext(ctx, c), connUseKey{}, new(atomic.Bool))
		},
	}
}

// wirePoison connects the part that finds which parts of prompts crash engines.
func (e *Edge) wirePoison() {
	e.poison.Live = func() []rwidentity.Identity { return e.gossip.Live("") }
	e.poison.OnHarmful = func(source, service, id string) {
		e.metrics.Add("parts_harmful", 1)
		rwlog.Warn(&e.log, rwlog.PartHarmful, rwfault.New(rwcode.PromptHarmful, id)).Str("part", id).Str("service", service).
			Str("source", source).Send()
	}
	e.poison.OnFreed = func(source, service, id string) {
		e.metrics.Add("parts_freed", 1)
		rwlog.Info(&e.log, rwlog.PartFreed).Str("part", id).Str("service", service).Str("source", source).Send()
	}
}

// wireRelay connects the parts that relay callers' connections.
func (e *Edge) wireRelay(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	e.relay = rwrelay.New()
	e.relay.ShouldPass = func() bool {
		// What is relayed crosses the link twice too, so it doesn't help a full one.
		if e.deployment.Relay == "" || e.stopping() || e.linkFull() {
			return false
		}
		return !e.overload.TakeRoom(time.Now()) || e.isNearlyFull() || e.overload.ShouldRefuse(rand.Float64())
	}
	e.relay.HasRoom = func() bool {
		return e.ready() && !e.lagMonitor.Lagging() && e.connLimiter.Open() < e.maxConnections(closeRefusedRatio) &&
			!e.linkFull() && !e.isNearlyFull() && e.overload.TakeRoom(time.Now())
	}
	e.relay.Peers, e.relay.Dial, e.relay.Gather = e.relayPeers, dial, e.relayGather
	e.relay.Version = func() int64 {
		if c := e.published.Load().Config; c != nil {
			return c.Version
		}
		return 0
	}
	e.relay.MaxOpen = defaultMaxRelayed
	if m := e.deployment.MemoryBytes; m > 0 {
		e.relay.MaxOpen = int(relayMemoryRatio * float64(m) / relayBytes)
	}
	if n := e.deployment.MaxDescriptors; n > 0 {
		e.relay.MaxOpen = min(e.relay.MaxOpen, int(relayFDRatio*float64(n)))
	}
}

// relayPeers returns the routers to which connections can be passed on.
func (e *Edge) relayPeers() []rwrelay.Peer {
	_, port, err := net.SplitHostPort(e.deployment.Relay)
	if err != nil {
		return nil
	}
	var peers []rwrelay.Peer
	for _, id := range e.gossip.Live("") {
		host, _, err := net.SplitHostPort(id.Addr)
		if id.Name == e.self.Name || err != nil {
			continue
		}
		peers = append(peers, rwrelay.Peer{Addr: net.JoinHostPort(host, port), Near: id.Zone == e.self.Zone, Capacity: id.Capacity})
	}
	return peers
}

// connUseKey is the context key of whether a request has come on the connection.
type connUseKey struct{}

// excessKey is the context key of a request that countRequest reports as excess.
type excessKey struct{}

// countRequest counts a request towards the rate that the router takes, and reports
// whether there was room. The first one of a connection was counted as the
// connection was accepted. A later one is excess if the router is late with what it
// took without room: the connection that its caller opens next can be relayed.
func (e *Edge) countRequest(r *http.Request) (room, excess bool) {
	if used, ok := r.Context().Value(connUseKey{}).(*atomic.Bool); ok && !used.Swap(true) {
		return true, false
	}
	now := time.Now()
	if e.deployment.Relay != "" && e.overload.Exhausted(now) {
		return false, true
	}
	return e.overload.CountRequest(now), false
}

// relayedBy returns the IP address of the router that relayed the connection of a
// request, or an empty string.
func (e *Edge) relayedBy(r *http.Request) string {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok || e.deployment.Relay == "" || addr.String() != e.deployment.Relay {
		return ""
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// overloaded returns why to refuse the request with this context of an account, or an
// empty string: the router reads requests late, has as many in progress as its memory
// takes, was about to close the connection because too many are open, or sheds load of
// the accounts that ask for most.
func (e *Edge) overloaded(ctx context.Context, account string) string {
	now := time.Now()
	e.shedder.Count(now, account)
	switch {
	case e.lagMonitor.Lagging():
		return "router is lagging"
	case e.isFull() && !e.replacesStalled():
		return "too many requests in progress"
	case rwconnlimit.Excess(ctx):
		return "too many connections"
	case ctx.Value(excessKey{}) != nil:
		return "too many requests on kept connections"
	case e.shedder.ShouldRefuse(now, account, e.overload.RefusedRatio(), rand.Float64()):
		return "router overloaded"
	default:
		return ""
	}
}

// limitReceiveBuffer wraps a function that opens connections to upstreams, so that what
// waits unread on them is bounded.
func limitReceiveBuffer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if s, ok := c.(interface{ SetReadBuffer(bytes int) error }); ok && err == nil {
			// It fails only if the connection is closed.
			_ = s.SetReadBuffer(upstreamReceiveBytes)
		}
		return c, err
	}
}

// linkFull reports whether the bodies of requests wait for the machine's link.
func (e *Edge) linkFull() bool { return e.link.Full(time.Now()) }

// isFull reports whether the requests in progress and the relayed connections take
// all of the memory that they may.
func (e *Edge) isFull() bool { return e.activeRequests.Load() > e.maxRequests() }

// isNearlyFull reports whether further requests may soon be refused because too many are
// in progress, of all services or of one.
func (e *Edge) isNearlyFull() bool {
	most := e.maxRequests()
	reserved := int64(reservedRatio * float64(most))
	return e.activeRequests.Load() > most-reserved || e.front.NearlyFull(reserved)
}

// maxRequests returns the largest number of requests in progress.
func (e *Edge) maxRequests() int64 {
	if m := e.deployment.MemoryBytes; m > 0 {
		return int64(requestMemoryRatio*float64(m)-float64(e.relay.Open()*relayBytes)) / requestBytes
	}
	return defaultMaxRequests
}

// replacesStalled ends a request whose caller has stopped sending or reading, or sends
// next to nothing, and reports whether another one may take its place. It would keep
// others out until its timeout. Until it has ended, the router has one request more.
func (e *Edge) replacesStalled() bool {
	return e.activeRequests.Load() <= int64(replacedRatio*float64(e.maxRequests())) && e.memory.EvictStalled(time.Now())
}

// streamBegun records where a stream began whose first event is forwarded.
func (e *Edge) streamBegun(id string, o rworigin.Origin) { e.broker.Origins.Add(time.Now(), id, o) }

// originUncertain reports whether this router recorded a stream at a version that
// has become uncertain.
func (e *Edge) originUncertain(id string) bool {
	return e.broker.Origins.UncertainStream(time.Now(), id)
}

// streamWindow returns how long streams last at most, with a reserve for the time
// until this router knows the upstreams that other routers use. It never shrinks:
// callers go on with streams that began before their timeout was shortened.
func (e *Edge) streamWindow() time.Duration {
	c := e.published.Load().Config
	if c == nil || c.LongestStream() <= 0 {
		return maxStreamWindow
	}
	longest := int64(c.LongestStream())
	for {
		known := e.longestStream.Load()
		if known >= longest {
			longest = known
			break
		}
		if e.longestStream.CompareAndSwap(known, longest) {
			break
		}
	}
	return min(time.Duration(longest)+streamWindowMargin, maxStreamWindow)
}

// flushDelay returns how long to collect stream events between writes.
func (e *Edge) flushDelay() time.Duration {
	if !e.overload.Saturated() {
		return 0
	}
	return time.Duration(flushDelayRatio * float64(e.deployment.EventDeadline))
}

// relayGather returns how long to collect what relayed connections bring between
// writes. Writing is most of the cost of relaying.
func (e *Edge) relayGather() time.Duration {
	if !e.overload.Saturated() {
		return 0
	}
	return time.Duration(relayGatherRatio * float64(e.deployment.EventDeadline))
}

// maxConnections returns a fraction of the largest number of callers'
// connections that the router accepts.
func (e *Edge) maxConnections(fraction float64) int {
	descriptors := e.deployment.MaxDescriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	limit := callerFDRatio * float64(descriptors)
	if m := e.deployment.MemoryBytes; m > 0 {
		limit = min(limit, callerMemoryRatio*float64(m)/connectionBytes)
	}
	return int(fraction * limit)
}

// closeIdleCallers closes callers' idle connections according to the published
// limit.
func (e *Edge) closeIdleCallers(now time.Time, snapshot *rwconfigsnapshot.Snapshot) {
	limit := idleTimeout
	if snapshot.Config != nil && snapshot.Config.Limits.IdleTimeout > 0 {
		limit = min(limit, snapshot.Config.Limits.IdleTimeout)
	}
	e.connLimiter.CloseIdle(now, limit, e.maxConnections(closeIdleRatio))
}

// reportClosed counts and logs the callers' connections that were closed since
// the last report.
func (e *Edge) reportClosed(last rwconnlimit.Stats) rwconnlimit.Stats {
	stats := e.connLimiter.Stats()
	if stats == last {
		return last
	}
	idle, unread, kept := stats.Idle-last.Idle, stats.Unread-last.Unread, stats.Kept-last.Kept
	gaveWay := stats.GaveWay - last.GaveWay
	e.metrics.Add("caller_connections_closed", idle)
	e.metrics.Add("caller_connections_closed_unread", unread)
	e.metrics.Add("caller_connections_kept", kept)
	e.metrics.Add("caller_connections_gave_way", gaveWay)
	rwlog.Info(&e.summaries, rwlog.ConnectionsClosed).Int64("idle", idle).Int64("unread", unread).Int64("kept", kept).
		Int64("gaveway", gaveWay).Int("open", e.connLimiter.Open()).Send()
	return stats
}

// reportRelayed counts and logs the callers' connections that were relayed since the
// last report, by this router and to it.
func (e *Edge) reportRelayed(last rwrelay.Stats) rwrelay.Stats {
	stats := e.relay.Stats()
	if stats == last {
		return last
	}
	passed, returned, gone := stats.Passed-last.Passed, stats.Returned-last.Returned, stats.Gone-last.Gone
	accepted, declined := stats.Accepted-last.Accepted, stats.Declined-last.Declined
	e.metrics.Add("connections_relayed", passed)
	e.metrics.Add("connections_relay_returned", returned)
	e.metrics.Add("connections_relay_accepted", accepted)
	e.metrics.Add("connections_relay_declined", declined)
	rwlog.Info(&e.summaries, rwlog.ConnectionsRelayed).Int64("passed", passed).Int64("returned", returned).Int64("gone", gone).
		Int64("no_peer", stats.NoPeer-last.NoPeer).Int64("refused", stats.RefusedByPeer-last.RefusedByPeer).
		Int64("unanswered", stats.Unanswered-last.Unanswered).Int64("paused", stats.Paused-last.Paused).
		Int64("full", stats.TooManyOpen-last.TooManyOpen).
		Int64("accepted", accepted).Int64("declined", declined).Int("open", e.relay.Open()).Send()
	return stats
}

// reportAccounts logs how the requests of the largest accounts ended since the last
// report.
func (e *Edge) reportAccounts() {
	for _, a := range e.tally.Take(maxAccountLines) {
		line := rwlog.Info(&e.summaries, rwlog.AccountRequests).Str("account", a.Name).Int64("requests", a.Requests)
		outcomes := zerolog.Dict()
		for _, o := range slices.Sorted(maps.Keys(a.Outcomes)) {
			outcomes = outcomes.Int64(o, a.Outcomes[o])
		}
		line.Dict("outcomes", outcomes).Send()
	}
}

// reportShares logs what accounts get in the cells of this router that are asked for more
// than they serve.
func (e *Edge) reportShares() {
	loads := e.broker.Loads(maxAccountLines)
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		l := loads[name]
		if l.FairShare == 0 {
			continue
		}
		accounts := zerolog.Dict()
		for _, a := range l.Accounts {
			line := zerolog.Dict().Int("asked", a.Demand).Int("got", a.Usage)
			for _, bound := range slices.Sorted(maps.Keys(a.Late)) {
				line = line.Int(bound, a.Late[bound])
			}
			accounts = accounts.Dict(a.Name, line)
		}
		rwlog.Info(&e.summaries, rwlog.CellShares).Str("cell", name).Int("running", l.Running).Int("slots", l.Slots).
			Int("queued", l.Queued).Int("level", l.FairShare).Int("considered", l.Considered).Dur("deciding", l.Deciding).Dict("accounts", accounts).Send()
	}
}

// reportPassedOver logs the owners that didn't answer this router since the last report.
func (e *Edge) reportPassedOver() {
	passed := e.broker.TakePassedOver()
	for _, owner := range slices.Sorted(maps.Keys(passed)) {
		rwlog.Info(&e.summaries, rwlog.OwnerPassedOver).Str("owner", owner).Int("requests", passed[owner]).Send()
	}
}

// reportLink logs how much of the machine's link is in use if that is most of it.
func (e *Edge) reportLink(now time.Time) {
	in, out := e.link.Load(now)
	if delay := e.link.Delay(now); delay > 0 || max(in, out) >= busyLinkLoad {
		rwlog.Info(&e.summaries, rwlog.LinkBusy).Float64("in", in).Float64("out", out).Dur("delay", delay).
			Int("connections", e.connLimiter.Open()).Send()
	}
}

// reportMemory logs how many requests have lost their memory since the last report, if
// any has.
func (e *Edge) reportMemory(last int64) int64 {
	held, evicted := e.memory.Held()
	if evicted > last {
		rwlog.Info(&e.summaries, rwlog.MemoryReclaimed).Int64("requests", evicted-last).Int64("bodies", held["bodies"]).
			Int64("heads", held["heads"]).Int64("active", e.activeRequests.Load()).Int("connections", e.connLimiter.Open()).Send()
	}
	return evicted
}

// Run serves until a signal asks the process to stop or a part ends by itself.
// After a signal, it first drains the router.
func (e *Edge) Run() error {
	signals := e.config.Signals
	if signals == nil {
		// Until its signals are registered, one ends the process at once.
		c := make(chan os.Signal, 4)
		signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		defer signal.Stop(c)
		signals = c
	}
	debug.SetGCPercent(gcPercent)
	if m := e.deployment.MemoryBytes; m > 0 {
		debug.SetMemoryLimit(int64(float64(m) * memoryLimitRatio))
	}
	rwlog.Info(&e.log, rwlog.Started).Int64("inc", e.self.Inc).Str("zone", e.self.Zone).
		Str("front", e.deployment.Front).Str("metrics", e.deployment.Metrics).Send()
	sinkDone := make(chan struct{})
	sinkCtx, stopSink := context.WithCancel(context.Background())
	go func() {
		defer close(sinkDone)
		// Run of the sink never returns an error.
		_ = e.sink.Run(sinkCtx)
	}()
	e.registry.Register("peers", e.peers, e.servePeers)
	e.registry.Register("gossip", e.gossip, e.gossip.Run)
	e.registry.Register("tracker", e.watcher, e.watcher.Run)
	e.registry.Register("broker", e.broker, e.broker.Run)
	e.registry.Register("poison", e.poison, e.poison.Run)
	e.registry.Register("front", e.server, e.serveFront)
	if e.deployment.Relay != "" {
		e.registry.Register("relay", e.relay, e.serveRelayed)
	}
	e.registry.Register("ready", nil, e.serveReady)
	e.registry.Register("metrics", e.metrics, e.serveMetrics)
	e.registry.Register("upkeep", nil, e.upkeep)
	e.registry.Register("lag", e.lagMonitor, e.lagMonitor.Run)
	e.registry.Register("signals", nil, func(ctx context.Context) error { return e.waitSignal(ctx, signals) })
	err := e.registry.Run()
	if err != nil {
		rwlog.Warn(&e.log, rwlog.ProcessFailed, err).Send()
	}
	rwlog.Info(&e.log, rwlog.Stopped).Send()
	stopSink()
	<-sinkDone
	return err
}

func (e *Edge) listen(addr string) (net.Listener, error) {
	open := e.config.Listen
	if open == nil {
		open = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	l, err := open(addr)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err).WithDetail("listen on " + addr)
	}
	return l, nil
}

// listenFront listens for callers. The connections that wait to be accepted are
// bounded to those that are accepted in time on a machine that is short of CPU time. In
// a longer queue all of them would wait until their callers are about to give up.
func (e *Edge) listenFront() (net.Listener, error) {
	if e.config.Listen != nil || e.deployment.CPUMillis == 0 {
		l, err := e.listen(e.deployment.Front)
		if err != nil || e.config.Listen != nil || e.memory == nil {
			return l, err
		}
		if err := rwlisten.LimitReceiveBuffer(l, callerReceiveBytes); err != nil {
			_ = l.Close()
			return nil, rwfault.Wrap(rwcode.Internal, err)
		}
		return l, nil
	}
	backlog := max(minBacklog, int(backlogPerMilli*float64(e.deployment.CPUMillis)))
	if n := e.link.Backlog(); n > 0 {
		backlog = min(backlog, n)
	}
	receive := e.link.ReceiveBuffer()
	if receive == 0 && e.memory != nil {
		receive = callerReceiveBytes
	}
	l, err := rwlisten.Listen(e.deployment.Front, backlog, receive)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err).WithDetail("listen on " + e.deployment.Front)
	}
	return l, nil
}

func (e *Edge) servePeers(ctx context.Context) error {
	l, err := e.listen(e.deployment.Peer)
	if err != nil {
		return err
	}
	return e.peers.Serve(ctx, e.link.Listener(l))
}

func (e *Edge) serveFront(ctx context.Context) error {
	l, err := e.listenFront()
	if err != nil {
		return err
	}
	if e.memory != nil {
		l = rwlisten.LimitUnsent(l, callerUnsentBytes)
	}
	return serve(ctx, e.server, e.connLimiter.Listener(e.relay.Listener(e.link.CallerListener(l)), e.maxConnections(1)))
}

// serveRelayed serves the connections that other routers relay.
func (e *Edge) serveRelayed(ctx context.Context) error {
	l, err := e.listen(e.deployment.Relay)
	if err != nil {
		return err
	}
	return serve(ctx, e.server, e.connLimiter.Listener(e.relay.PeerListener(e.link.Listener(l)), e.maxConnections(1)))
}

func (e *Edge) serveReady(ctx context.Context) error {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return e.listenAndServe(ctx, h, e.deployment.Ready)
}

func (e *Edge) serveMetrics(ctx context.Context) error {
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", e.writeMetrics)
	return e.listenAndServe(ctx, m, e.deployment.Metrics)
}

func (e *Edge) listenAndServe(ctx context.Context, h http.Handler, addr string) error {
	l, err := e.listen(addr)
	if err != nil {
		return err
	}
	return serve(ctx, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}, l)
}

// serve serves on a listener until the context ends.
func serve(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	return nil
}

// ready reports whether the load balancer may send callers here.
func (e *Edge) ready() bool {
	return !e.stopping() && e.published.Load().Config != nil && !e.overload.OutOfRotation()
}

// observeLateness passes a lateness sample to the overload controller and logs
// changes of the rotation.
func (e *Edge) observeLateness(now time.Time, late time.Duration) {
	if e.relay.Backlogged(now) {
		late = max(late, backlogLateness)
	}
	delay := e.link.Delay(now)
	if e.link.Pressed(now) {
		delay = max(delay, pressedDelay)
	}
	if e.overload.Observe(now, late, delay) {
		out := e.overload.OutOfRotation()
		if out {
			e.metrics.Add("rotation_left", 1)
		}
		rwlog.Info(&e.summaries, rwlog.RotationChanged).Bool("out", out).Int64("active", e.activeRequests.Load()).
			Int64("connections", int64(e.connLimiter.Open())).Send()
	}
}

func (e *Edge) onMembersChanged() {
	n := int64(len(e.gossip.Live("")))
	if n > e.maxRouters.Load() {
		e.maxRouters.Store(n)
	}
	e.broker.MembersChanged()
}

func (e *Edge) onList(prefix string, b rwstorewatch.Batch) {
	keys := map[string]bool{}
	for _, it := range b.Items {
		keys[it.Key] = true
	}
	e.onStoreResponse(b)
	e.updateCatalog("store", func(now time.Time) (bool, map[string]error) {
		changed, bad := e.catalog.Apply(now, b.Items)
		removed := e.catalog.ApplyListing(now, b.Revision(), keys, func(key string) bool { return strings.HasPrefix(key, prefix) })
		return changed || removed, bad
	})
	e.mu.Lock()
	settled := e.catalog.Settled(time.Now())
	e.mu.Unlock()
	if settled {
		// A watch can stay silent while changes are made, so only a listing counts.
		e.broker.Origins.MarkCurrent(b.ReadAt)
	}
}

func (e *Edge) onChange(_ string, b rwstorewatch.Batch) {
	e.onStoreResponse(b)
	e.updateCatalog("store", func(now time.Time) (bool, map[string]error) { return e.catalog.Apply(now, b.Items) })
}

// staleListing is the source of items that may be old, which is no reason to log that
// they are.
const staleListing = "stale listing"

func (e *Edge) onStaleList(_ string, b rwstorewatch.Batch) {
	e.onStoreResponse(b)
	e.updateCatalog(staleListing, func(now time.Time) (bool, map[string]error) { return e.catalog.Apply(now, b.Items) })
}

// updateCatalog applies a change to the catalog and publishes the result.
func (e *Edge) updateCatalog(source string, apply func(time.Time) (bool, map[string]error)) {
	now := time.Now()
	e.mu.Lock()
	before := e.published.Load()
	era := e.catalog.Era()
	// The log names the source of this update.
	e.catalog.OnStale = func(it rwitem.Item, known rwrevision.Revision) {
		if source == staleListing {
			return
		}
		e.metrics.Add("stale_items", 1)
		rwlog.Info(&e.log, rwlog.RecordStale).Str("key", it.Key).Int64("era", it.Era).Int64("rev", it.Rev).
			Int64("known", known.Rev).Str("source", source).Send()
	}
	changed, bad := apply(now)
	if source == "store" {
		e.catalog.Advance(now, e.watcher.CompleteRev())
	}
	rev, newEra := e.catalog.Rev(), e.catalog.Era()
	e.gossip.SetConfigDigest(rev, 0)
	if changed {
		next := rwconfigsnapshot.New(e.catalog.Config(), rev.Rev, now, e.catalog.Instances()).WithEra(rev.Era).
			WithEvacuations(e.catalog.Evacuations())
		// An upstream that returns must be known as cold before it gets requests.
		e.cold.ObserveUpstreams(now, e.catalog.Instances(), func(name string) (rwrouteconfig.Service, bool) { return serviceOf(next, name) })
		e.published.Store(next)
	}
	e.broker.Origins.Observe(now, e.catalog.Instances())
	e.mu.Unlock()
	if newEra > era {
		rwlog.Info(&e.log, rwlog.PlatformReturned).Int64("before", era).Int64("era", newEra).Int64("rev", rev.Rev).
			Str("source", source).Send()
	}
	for key, err := range bad {
		rwlog.Warn(&e.log, rwlog.RecordSetAside, err).Str("key", key).Send()
	}
	if changed {
		e.logChange(source, before, e.published.Load())
		e.syncer.NotifyZone()
	}
}

func (e *Edge) logChange(source string, before, after *rwconfigsnapshot.Snapshot) {
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		rwlog.Info(&e.log, rwlog.ConfigurationAdopted).Int64("version", after.Config.Version).Int64("era", after.Era).Int64("rev", after.Rev).
			Str("source", source).Send()
	}
	e.logEvacuations(source, before, after)
	if usable, leaving, evacuated := after.Count(); before.Rev == 0 || !after.SameUpstreams(before) {
		rwlog.Info(&e.log, rwlog.UpstreamsChanged).Int("usable", usable).Int("leaving", leaving).Int("evacuated", evacuated).
			Int64("era", after.Era).Int64("rev", after.Rev).Str("source", source).Send()
	}
}

// logEvacuations logs which zones are evacuated and taken back since the snapshot
// before. An evacuation that is held since the store lacks it is logged once more.
func (e *Edge) logEvacuations(source string, before, after *rwconfigsnapshot.Snapshot) {
	type order struct {
		zone string
		held bool
	}
	known, still := map[order]bool{}, map[string]bool{}
	for _, v := range before.Evacuations {
		known[order{v.Zone, v.Held(before.At)}] = true
	}
	for _, v := range after.Evacuations {
		still[v.Zone] = true
		held := v.Held(after.At)
		if known[order{v.Zone, held}] {
			continue
		}
		n := after.InZone(v.Zone)
		rwlog.Info(&e.log, rwlog.ZoneEvacuated).Str("zone", v.Zone).Int("upstreams", n).Bool("held", held).
			Int64("era", after.Era).Int64("rev", after.Rev).Str("source", source).Send()
		if n == 0 {
			rwlog.Warn(&e.log, rwlog.ZoneUnknown, rwfault.New(rwcode.RecordInvalid, "no upstream is known in the zone")).
				Str("zone", v.Zone).Send()
		}
	}
	for _, v := range before.Evacuations {
		if !still[v.Zone] {
			rwlog.Info(&e.log, rwlog.ZoneTakenBack).Str("zone", v.Zone).Int("upstreams", after.InZone(v.Zone)).
				Dur("took", after.At.Sub(v.Since)).Int64("era", after.Era).Int64("rev", after.Rev).Str("source", source).Send()
		}
	}
}

func (e *Edge) onStoreError(prefix string, err error) {
	e.metrics.Add("store_failures", 1)
	e.mu.Lock()
	e.catalog.NoteStoreFailure(time.Now())
	first := !e.storeLost
	e.storeLost = true
	e.mu.Unlock()
	if first {
		rwlog.Warn(&e.log, rwlog.PlatformLost, err).Str("prefix", prefix).Send()
	}
}

func (e *Edge) onStoreResponse(b rwstorewatch.Batch) {
	e.mu.Lock()
	restored := e.storeLost
	e.storeLost = false
	unreadable := b.EraFault != nil && !e.eraFaultLogged
	e.eraFaultLogged = b.EraFault != nil
	e.mu.Unlock()
	if restored {
		rwlog.Info(&e.log, rwlog.PlatformRestored).Send()
	}
	if unreadable {
		rwlog.Warn(&e.log, rwlog.FieldUnreadable, b.EraFault).Str("source", "store").Send()
	}
}

// onUpstreamResponse evaluates what a response says of its upstream beside the
// request.
func (e *Edge) onUpstreamResponse(k rwconn.Key, info rwdialect.ResponseInfo) {
	if info.Unreadable != "" {
		e.logUnreadable(k, info.Unreadable)
	}
	if info.Leaving {
		e.markLeaving("response", rwleaving.Upstream{Name: k.ID, Inc: k.StartMillis}, true)
	}
}

// markLeaving gives no more work to an upstream that has announced its leaving in a
// response, and tells the other routers if it is to.
func (e *Edge) markLeaving(source string, u rwleaving.Upstream, tellOthers bool) {
	if in, ok := e.published.Load().Known(u.Name); ok && in.Leaving && in.StartMillis == u.Inc {
		return
	}
	marked := false
	e.updateCatalog(source, func(now time.Time) (bool, map[string]error) {
		marked = e.catalog.MarkLeaving(now, u.Name, u.Inc)
		return marked, nil
	})
	if !marked {
		return
	}
	rwlog.Info(&e.log, rwlog.UpstreamLeaving).Str("upstream", u.Name).Int64("born", u.Inc).Str("source", source).Send()
	if tellOthers {
		e.syncer.NotifyLeaving(u)
	}
}

func (e *Edge) logUnreadable(k rwconn.Key, field string) {
	name := k.ID + " " + field
	e.mu.Lock()
	known := e.unreadable[name]
	if e.unreadable == nil || len(e.unreadable) >= maxUnreadable {
		e.unreadable = map[string]bool{}
	}
	e.unreadable[name] = true
	e.mu.Unlock()
	if !known {
		rwlog.Warn(&e.log, rwlog.FieldUnreadable, rwfault.New(rwcode.UpstreamMalformed, field)).Str("source", k.ID).Send()
	}
}

// upkeep periodically drops lapsed upstreams, closes idle connections and reads
// the settings file again.
func (e *Edge) upkeep(ctx context.Context) error {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	reloaded, tallied := time.Now(), time.Now()
	var closed rwconnlimit.Stats
	var relayed rwrelay.Stats
	var reclaimed int64
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.updateCatalog("time", func(now time.Time) (bool, map[string]error) { return e.catalog.Tick(now), nil })
			snapshot := e.published.Load()
			e.pool.Sweep(now, func(k rwconn.Key) bool {
				in, ok := snapshot.Instance(k.ID)
				return ok && in.Addr == k.Addr && in.StartMillis == k.StartMillis
			})
			e.closeIdleCallers(now, snapshot)
			if e.deployment.Relay != "" && !e.stopping() {
				e.relay.Prepare(now)
			}
			e.reportCold(now)
			closed = e.reportClosed(closed)
			relayed = e.reportRelayed(relayed)
			if now.Sub(tallied) >= accountInterval {
				tallied = now
				e.reportAccounts()
				e.reportShares()
				e.reportPassedOver()
				e.reportLink(now)
				reclaimed = e.reportMemory(reclaimed)
			}
			if n := e.sink.Dropped.Swap(0); n > 0 {
				e.metrics.Add("log_lines_dropped", n)
				rwlog.Info(&e.summaries, rwlog.LinesDropped).Int64("lines", n).Send()
			}
			if now.Sub(reloaded) >= reloadInterval {
				reloaded = now
				e.reload(false)
			}
		}
	}
}

// reload reads the settings file. Only the seeds are applied; a running process
// can't change its addresses and its name.
func (e *Edge) reload(requested bool) {
	d, err := e.config.Reload()
	if err != nil {
		rwlog.Warn(&e.log, rwlog.SettingsInvalid, err).Send()
		return
	}
	if requested {
		rwlog.Info(&e.log, rwlog.SettingsReloaded).Strs("seeds", d.Seeds).Send()
	}
	e.gossip.SetSeeds(d.Seeds)
}

// waitSignal drains the router when a signal asks the process to stop.
func (e *Edge) waitSignal(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				e.reload(true)
				continue
			}
			e.drain(ctx)
			return nil
		}
	}
}

// stopping reports whether a signal has asked the process to stop.
func (e *Edge) stopping() bool { return e.shutdown.Load() != nil }

// draining reports whether to refuse a request with this deadline because the
// router is about to end.
func (e *Edge) draining(deadline time.Time) bool {
	p := e.shutdown.Load()
	return p != nil && !p.Accepts(time.Now(), deadline)
}

// drain takes the router out of rotation and ends its work within the grace
// period.
func (e *Edge) drain(ctx context.Context) {
	grace := e.deployment.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	e.follow(ctx, rwshutdown.New(time.Now(), grace))
}

// follow drains the router according to a plan. It serves the requests that the
// plan accepts, refuses the others, and closes idle connections. It returns soon
// after the plan's AcceptEnd, once no request is in progress and all connections
// are closed, but at the latest at the plan's End, or at its EndAfter if requests
// were cancelled late. New connections are closed unread as soon as no request is
// in progress, and at the latest at the plan's ListenEnd. Requests that are in
// progress at its CancelAt are cancelled, even if the rest is held up.
func (e *Edge) follow(ctx context.Context, plan rwshutdown.Plan) {
	e.shutdown.Store(&plan)
	// cancel returns when it cancelled the requests in progress and their number.
	cancel := sync.OnceValues(func() (time.Time, int) {
		// Cancelled requests end soon, so they are counted before.
		n := e.reportCut(plan.Start())
		e.cancelRequests(rwfront.ShuttingDown())
		return time.Now(), n
	})
	timer := time.AfterFunc(time.Until(plan.CancelAt()), func() { cancel() })
	defer timer.Stop()
	e.relay.Stop()
	rwlog.Info(&e.log, rwlog.StopRequested).Int64("active", e.activeRequests.Load()).Send()
	e.gossip.Leave(ctx)
	e.broker.Leave()
	const step = 20 * time.Millisecond
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	refusing, stopped := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if !now.Before(plan.AcceptEnd()) {
			if !refusing {
				refusing = true
				rwlog.Info(&e.log, rwlog.DrainRefusing).Dur("after", now.Sub(plan.Start())).
					Int64("active", e.activeRequests.Load()).Send()
			}
			// SetKeepAlivesEnabled of the server would close connections
			// whose next request has arrived.
			e.connLimiter.CloseIdle(now, step, math.MaxInt)
			e.relay.CloseUnused()
		}
		idle := now.Sub(plan.AcceptEnd()) >= step*10 && e.activeRequests.Load() == 0 && e.relay.Open() == 0
		if !stopped && (idle || !now.Before(plan.ListenEnd())) {
			stopped = true
			e.connLimiter.Stop()
		}
		end, cancelled := plan.End(), !now.Before(plan.CancelAt())
		if cancelled {
			at, _ := cancel()
			end = plan.EndAfter(at)
		}
		if !now.Before(end) || (stopped && e.connLimiter.Open() == 0 && e.relay.Open() == 0) {
			cut := 0
			// The timer may have fired since now.
			if cancelled || !timer.Stop() {
				_, cut = cancel()
			}
			cut += e.reportCut(plan.Start())
			e.relay.Cut()
			rwlog.Info(&e.log, rwlog.DrainFinished).Int64("active", e.activeRequests.Load()).Int("cut", cut).
				Dur("took", now.Sub(plan.Start())).Send()
			return
		}
	}
}

// stopRequested returns when a signal asked the process to stop, and whether one
// did.
func (e *Edge) stopRequested() (time.Time, bool) {
	if p := e.shutdown.Load(); p != nil {
		return p.Start(), true
	}
	return time.Time{}, false
}

// reportCut returns the number of requests in progress that no earlier call
// counted, and adds it to the counter of requests that a drain cuts. It logs at
// most maxCutLines of them, those that arrived last: the drain had the most
// reason to refuse these.
func (e *Edge) reportCut(stopped time.Time) int {
	requests, total := e.inFlight.LatestUnreported(maxCutLines)
	e.metrics.Add("drain_cut", int64(total))
	for _, r := range requests {
		rwlog.Warn(&e.log, rwlog.RequestCut, rwfault.New(rwcode.Draining, "the drain ended before the response")).
			Str("id", r.ID).Str("route", r.Route).Str("upstream", r.Upstream).Int("sent", r.Sent).
			Dur("took", time.Since(r.Start)).Dur("stopping", r.Start.Sub(stopped)).Send()
	}
	return total
}

// writeMetrics writes counters and histograms as text, one per line.
func (e *Edge) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	snapshot := e.published.Load()
	usable, leaving, evacuated := snapshot.Count()
	linkIn, linkOut := e.link.Load(time.Now())
	lines := map[string]int64{
		"link_in_percent": int64(100 * linkIn), "link_out_percent": int64(100 * linkOut),
		"active_requests": e.activeRequests.Load(), "max_requests": e.maxRequests(), "caller_connections": int64(e.connLimiter.Open()), "routers": int64(len(e.gossip.Live(""))),
		"revision": snapshot.Rev, "era": snapshot.Era, "upstreams_usable": int64(usable), "upstreams_leaving": int64(leaving),
		"upstreams_evacuated": int64(evacuated), "zones_evacuated": int64(len(snapshot.Evacuations)),
	}
	for _, v := range snapshot.Evacuations {
		lines["zone_evacuated_ms_"+v.Zone] = time.Since(v.Since).Milliseconds()
	}
	held, evicted := e.memory.Held()
	for kind, n := range held {
		lines["memory_"+kind] = n
	}
	lines["memory_evicted"] = evicted
	if snapshot.Config != nil {
		lines["version"] = snapshot.Config.Version
	}
	e.addColdLines(time.Now(), lines)
	for name, v := range lines {
		_, _ = io.WriteString(w, name+" "+strconv.FormatInt(v, 10)+"\n")
	}
	e.metrics.WriteText(w)
	for _, h := range []*rwhistogram.Histogram{e.latency, e.forecastErrors} {
		if _, err := h.WriteTo(w); err != nil {
			return
		}
	}
}
