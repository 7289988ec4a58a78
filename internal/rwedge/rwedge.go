// Package rwedge puts the parts of a front router together and runs them.
package rwedge

import (
	"context"
	"errors"
	"io"
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

	"redwingworks.example/internal/rwbroker"
	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwcatalogsync"
	"redwingworks.example/internal/rwcode"
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
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwlag"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwoverload"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwregistry"
	"redwingworks.example/internal/rwretrywindow"
	"redwingworks.example/internal/rwsink"
	"redwingworks.example/internal/rwstorewatch"
)

const (
	// headerTimeout and headerBytes bound the head of a caller's request in any
	// case; the published limits bound its size further, and the time that a
	// connection stays idle, which is idleTimeout before they are known.
	headerTimeout = 5 * time.Second
	headerBytes   = 256 << 10
	idleTimeout   = 30 * time.Second
	// callerDescriptors and callerMemory are the parts of the descriptors and
	// of the memory that callers' connections may take, connectionBytes what a
	// connection takes with a request that waits unread in its socket.
	callerDescriptors = 0.5
	callerMemory      = 0.2
	connectionBytes   = 40 << 10
	// idlePart is the part of these connections above which idle ones are
	// closed early, crowdedPart the part above which those of refused callers
	// are closed.
	idlePart    = 0.8
	crowdedPart = 0.5
	// joinWait is how long after its start a router is still learning which
	// other routers there are.
	joinWait = 1200 * time.Millisecond
	// requestBytes is what a request in progress takes, with its buffers,
	// stacks and body; requestPart is the part of the memory that all may take.
	requestBytes = 160 << 10
	requestPart  = 0.3
	// defaultRequests bounds the requests if the settings name no memory.
	defaultRequests = 1024
	// defaultDescriptors is used if the settings name no limit.
	defaultDescriptors = 4096
	// gatherPart is the part of the time for an event in which events of a
	// stream gather; the rest is for the lateness of a machine that is short
	// of processor time.
	gatherPart = 0.3
	// acceptTime is how long after a request to stop new requests are still
	// served: the balancer needs two checks a second apart to notice.
	acceptTime = 3200 * time.Millisecond
	// stopMargin is left of the grace time for the end of the process.
	stopMargin = 400 * time.Millisecond
	// maxGrace is used if the settings name no grace time.
	maxGrace = 8 * time.Second
	// memoryUse is the part of the memory limit that the heap and the stacks
	// may take before the collector works harder. With callerMemory it leaves a
	// fifth to the program's own pages and to the upstreams' sockets: with 0.7
	// and 0.25 a machine was over its limit in a flood.
	memoryUse = 0.6
	// gcPercent lets the heap grow further between collections than by
	// default: a router's live heap is a few megabytes, and each request
	// allocates its body and buffers.
	gcPercent = 300
	sweep     = 250 * time.Millisecond
	// reloadInterval is how often the settings file is compared; it can change
	// without a signal.
	reloadInterval = 2 * time.Second
)

// Config is what the platform's adapter gives a front router.
type Config struct {
	Deployment rwdeployment.Deployment
	// Reload reads the settings again.
	Reload  func() (rwdeployment.Deployment, error)
	Dialect rwdialect.Dialect
	// Prefixes, List, Watch and Decode read the platform's store.
	Prefixes []string
	List     func(ctx context.Context, prefix string) (rwstorewatch.Batch, error)
	Watch    func(ctx context.Context, prefix string, after int64, wait time.Duration) (rwstorewatch.Batch, error)
	Decode   func(rwitem.Item) (rwcatalog.Decoded, error)
	// Inventory lists the prompt parts that the engine at an address keeps.
	Inventory func(ctx context.Context, addr string) ([]rwprompt.Part, error)
	// Key authenticates routers to each other.
	Key string
	Out io.Writer
}

// Edge is one front router.
type Edge struct {
	config  Config
	deploy  rwdeployment.Deployment
	started time.Time
	sink    *rwsink.Sink
	log     zerolog.Logger
	metrics *rwmetric.Metrics
	kernel  *rwregistry.Registry
	self    rwidentity.Identity
	peers   *rwpeer.Peers
	gossip  *rwgossip.Gossip
	broker  *rwbroker.Broker
	share   *rwcatalogsync.Syncer
	tracker *rwstorewatch.Watcher
	pool    *rwconn.Pool
	server  *http.Server
	callers *rwconnlimit.Limiter
	lag     *rwlag.Monitor
	// pressure is whether the machine has room for more requests and callers.
	pressure *rwoverload.Controller
	latency  *rwhistogram.Histogram
	missed   *rwhistogram.Histogram

	mu      sync.Mutex
	catalog *rwcatalog.Catalog
	// lost is whether the last call to the store failed.
	lost      bool
	published atomic.Pointer[rwconfigsnapshot.Snapshot]
	// active is the number of requests in progress.
	active             atomic.Int64
	stopping, refusing atomic.Bool
	// most is the largest number of live routers seen: a router that is cut
	// off must not take the retry budget of those it doesn't see.
	most atomic.Int64
}

// New returns a front router that is not running yet.
func New(c Config) *Edge {
	e := &Edge{
		config: c, deploy: c.Deployment, started: time.Now(), sink: rwsink.New(c.Out), metrics: rwmetric.New(), kernel: rwregistry.New(),
		catalog: rwcatalog.New(c.Decode), latency: rwhistogram.New("first_answer"), missed: rwhistogram.New("forecast_error"),
		self: rwidentity.Identity{
			Name: c.Deployment.Name, Zone: c.Deployment.Zone, Region: c.Deployment.Region,
			Addr: c.Deployment.Peer, Inc: time.Now().UnixMicro(), Capacity: c.Deployment.CPUMillis,
		},
	}
	e.log = rwlog.New(e.sink, "rwfront").With().Str("router", e.self.Name).Logger()
	e.published.Store(rwconfigsnapshot.New(nil, 0, time.Now(), nil))
	e.peers = rwpeer.New(e.self, c.Key, nil, e.log, e.metrics)
	e.peers.SkipCompression = func() bool { return e.pressure.Saturated() }
	e.gossip = rwgossip.New(e.peers, e.deploy.Seeds, e.log, e.metrics)
	e.share = rwcatalogsync.New(e.peers)
	e.broker = rwbroker.New(e.self, e.peers, e.metrics)
	e.callers, e.lag, e.pressure = rwconnlimit.New(), rwlag.New(), rwoverload.New()
	e.lag.OnMeasure = e.press
	e.pool = rwconn.New(c.Dialect.Inspect)
	e.pool.Count = func(reason string) { e.metrics.Add(reason, 1) }
	e.wireShare()
	e.wireRequests()
	return e
}

// wireShare connects the parts that learn what is published.
func (e *Edge) wireShare() {
	e.share.Rev = func() int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.catalog.Rev()
	}
	e.share.Since = func(rev int64) []rwitem.Item {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.catalog.Since(rev)
	}
	e.share.Apply = func(from string, rev int64, items []rwitem.Item) {
		e.change(from, func(now time.Time) (bool, map[string]error) {
			changed, bad := e.catalog.Apply(now, items)
			e.catalog.Advance(rev)
			return changed, bad
		})
	}
	e.share.Live = e.gossip.Live
	e.gossip.OnMessage = func(from rwidentity.Identity, rev int64, _ uint64) { e.share.ObserveRev(from, rev) }
	e.gossip.OnLiveChange = e.membersChanged
	e.gossip.OnGone = e.broker.RemoveRouter
	e.gossip.OnResume = func(time.Duration) { e.broker.Reset() }
	e.tracker = &rwstorewatch.Watcher{
		Prefixes: e.config.Prefixes, List: e.config.List, Watch: e.config.Watch,
		OnList: e.listed, OnChange: e.watched, OnError: e.storeFailed, IsReader: e.reader,
		ApplyDeadline: e.deploy.ConfigDeadline,
	}
}

// reader is whether this router reads the store more than once. In a large fleet
// that starts as a whole every router would be a reader until it knows the
// others, so only the seeds are at first.
func (e *Edge) reader() bool {
	if !slices.Contains(e.deploy.Seeds, e.deploy.Peer) && time.Since(e.started) < joinWait {
		return false
	}
	return e.share.IsReader()
}

// wireRequests connects the parts that serve callers.
func (e *Edge) wireRequests() {
	e.broker.Published = e.published.Load
	e.broker.Live = func() []rwidentity.Identity { return e.gossip.Live("") }
	e.broker.Reachable = e.gossip.Reachable
	e.broker.Saturated = e.pressure.Saturated
	e.broker.ShareWindow = e.deploy.ShareWindow / 2
	e.broker.OnForecastError = e.missed.Record
	e.broker.Inventory = e.config.Inventory
	front := &rwfront.Handler{
		Dialect: e.config.Dialect, Published: e.published.Load, Acquire: e.broker.Acquire, Pool: e.pool,
		RouterCount: func() int { return int(e.most.Load()) },
		NewBudget: func() *rwretrywindow.Budget {
			return rwretrywindow.New(e.deploy.RetryRatio, e.deploy.RetryExtra, e.deploy.RetryWindow)
		},
		CloseConnections: func() bool { return e.stopping.Load() || e.pressure.CloseConnections(time.Now()) },
		Draining:         e.refusing.Load,
		Overloaded:       e.overloaded, Lagging: e.lag.Lagging, CallerClosed: rwconnlimit.CallerClosed, FlushDelay: e.eventPause,
		CloseRefused: func() bool { return e.callers.Open() > e.connections(crowdedPart) },
		Zone:         e.self.Zone, Log: e.log, Metrics: e.metrics, ObserveLatency: e.latency.Record,
	}
	e.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e.active.Add(1)
			defer e.active.Add(-1)
			front.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ConnState: e.callers.ConnState, ConnContext: e.callers.ConnContext,
	}
}

// overloaded is whether to refuse a request because the router has as many as its
// memory takes or reads them late.
func (e *Edge) overloaded() bool {
	most := int64(defaultRequests)
	if m := e.deploy.MemoryBytes; m > 0 {
		most = int64(requestPart * float64(m) / requestBytes)
	}
	return e.lag.Lagging() || e.active.Load() > most || e.pressure.ShouldRefuse(rand.Float64())
}

// eventPause is how long to let events gather.
func (e *Edge) eventPause() time.Duration {
	if !e.pressure.Saturated() {
		return 0
	}
	return time.Duration(gatherPart * float64(e.deploy.EventDeadline))
}

// connections is a part of the number of callers' connections that the router
// takes.
func (e *Edge) connections(part float64) int {
	descriptors := e.deploy.MaxDescriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	most := callerDescriptors * float64(descriptors)
	if m := e.deploy.MemoryBytes; m > 0 {
		most = min(most, callerMemory*float64(m)/connectionBytes)
	}
	return int(part * most)
}

// sweepCallers closes idle connections of callers by the published limit.
func (e *Edge) sweepCallers(now time.Time, view *rwconfigsnapshot.Snapshot) {
	limit := idleTimeout
	if view.Config != nil && view.Config.Limits.IdleTimeout > 0 {
		limit = view.Config.Limits.IdleTimeout
	}
	if n := e.callers.CloseIdle(now, limit, e.connections(idlePart)); n > 0 {
		e.metrics.Add("caller_connections_closed", int64(n))
	}
}

// Run serves until a signal asks the process to stop, and then until the
// requests in progress have ended.
func (e *Edge) Run() error {
	debug.SetGCPercent(gcPercent)
	if m := e.deploy.MemoryBytes; m > 0 {
		debug.SetMemoryLimit(int64(float64(m) * memoryUse))
	}
	rwlog.Info(&e.log, rwlog.Started).Int64("inc", e.self.Inc).Str("zone", e.self.Zone).
		Str("front", e.deploy.Front).Str("metrics", e.deploy.Metrics).Send()
	sinkDone := make(chan struct{})
	sinkCtx, stopSink := context.WithCancel(context.Background())
	go func() {
		defer close(sinkDone)
		// The sink has no failure of its own.
		_ = e.sink.Run(sinkCtx)
	}()
	e.kernel.Register("peers", e.peers, e.servePeers)
	e.kernel.Register("gossip", e.gossip, e.gossip.Run)
	e.kernel.Register("tracker", e.tracker, e.tracker.Run)
	e.kernel.Register("broker", e.broker, e.broker.Run)
	e.kernel.Register("front", e.server, e.serveFront)
	e.kernel.Register("ready", nil, e.serveReady)
	e.kernel.Register("metrics", e.metrics, e.serveMetrics)
	e.kernel.Register("upkeep", nil, e.upkeep)
	e.kernel.Register("lag", e.lag, e.lag.Run)
	e.kernel.Register("signals", nil, e.waitSignal)
	err := e.kernel.Run()
	if err != nil {
		rwlog.Warn(&e.log, rwlog.ProcessFailed, err).Send()
	}
	rwlog.Info(&e.log, rwlog.Stopped).Send()
	stopSink()
	<-sinkDone
	return err
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err).WithDetail("listen on " + addr)
	}
	return l, nil
}

func (e *Edge) servePeers(ctx context.Context) error {
	l, err := listen(e.deploy.Peer)
	if err != nil {
		return err
	}
	return e.peers.Serve(ctx, l)
}

func (e *Edge) serveFront(ctx context.Context) error {
	l, err := listen(e.deploy.Front)
	if err != nil {
		return err
	}
	return serve(ctx, e.server, e.callers.Listener(l, e.connections(1)))
}

func (e *Edge) serveReady(ctx context.Context) error {
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return listenAndServe(ctx, h, e.deploy.Ready)
}

func (e *Edge) serveMetrics(ctx context.Context) error {
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", e.writeMetrics)
	return listenAndServe(ctx, m, e.deploy.Metrics)
}

func listenAndServe(ctx context.Context, h http.Handler, addr string) error {
	l, err := listen(addr)
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

// ready is whether the balancer may send callers here.
func (e *Edge) ready() bool {
	return !e.stopping.Load() && e.published.Load().Config != nil && !e.pressure.OutOfRotation()
}

// press notes how late the router does its work.
func (e *Edge) press(now time.Time, late time.Duration) {
	if e.pressure.Observe(now, late) {
		out := e.pressure.OutOfRotation()
		if out {
			e.metrics.Add("rotation_left", 1)
		}
		rwlog.Info(&e.log, rwlog.RotationChanged).Bool("out", out).Int64("active", e.active.Load()).
			Int64("connections", int64(e.callers.Open())).Send()
	}
}

func (e *Edge) membersChanged() {
	n := int64(len(e.gossip.Live("")))
	if n > e.most.Load() {
		e.most.Store(n)
	}
}

func (e *Edge) listed(prefix string, b rwstorewatch.Batch) {
	keys := map[string]bool{}
	for _, it := range b.Items {
		keys[it.Key] = true
	}
	e.answered()
	e.change("store", func(now time.Time) (bool, map[string]error) {
		changed, bad := e.catalog.Apply(now, b.Items)
		gone := e.catalog.ApplyListing(now, b.Rev, keys, func(key string) bool { return strings.HasPrefix(key, prefix) })
		return changed || gone, bad
	})
}

func (e *Edge) watched(_ string, b rwstorewatch.Batch) {
	e.answered()
	e.change("store", func(now time.Time) (bool, map[string]error) { return e.catalog.Apply(now, b.Items) })
}

// change applies a change to the catalog and puts the result in force.
func (e *Edge) change(source string, apply func(time.Time) (bool, map[string]error)) {
	now := time.Now()
	e.mu.Lock()
	before := e.published.Load()
	changed, bad := apply(now)
	if source == "store" {
		e.catalog.Advance(e.tracker.Complete())
	}
	rev := e.catalog.Rev()
	e.gossip.SetConfigDigest(rev, 0)
	if changed {
		e.published.Store(rwconfigsnapshot.New(e.catalog.Config(), rev, now, e.catalog.Instances()))
	}
	e.mu.Unlock()
	for key, err := range bad {
		rwlog.Warn(&e.log, rwlog.RecordSetAside, err).Str("key", key).Send()
	}
	if changed {
		e.logChange(source, before, e.published.Load())
		e.share.NotifyZone()
	}
}

func (e *Edge) logChange(source string, before, after *rwconfigsnapshot.Snapshot) {
	if after.Config != nil && (before.Config == nil || before.Config.Version != after.Config.Version) {
		rwlog.Info(&e.log, rwlog.ConfigurationAdopted).Int64("version", after.Config.Version).Int64("rev", after.Rev).
			Str("source", source).Send()
	}
	if usable, leaving := after.Count(); before.Rev == 0 || !after.SameUpstreams(before) {
		rwlog.Info(&e.log, rwlog.UpstreamsChanged).Int("usable", usable).Int("leaving", leaving).
			Int64("rev", after.Rev).Str("source", source).Send()
	}
}

func (e *Edge) storeFailed(prefix string, err error) {
	e.metrics.Add("store_failures", 1)
	e.mu.Lock()
	e.catalog.NoteStoreFailure(time.Now())
	first := !e.lost
	e.lost = true
	e.mu.Unlock()
	if first {
		rwlog.Warn(&e.log, rwlog.PlatformLost, err).Str("prefix", prefix).Send()
	}
}

func (e *Edge) answered() {
	e.mu.Lock()
	restored := e.lost
	e.lost = false
	e.mu.Unlock()
	if restored {
		rwlog.Info(&e.log, rwlog.PlatformRestored).Send()
	}
}

// upkeep drops lapsed upstreams and idle connections, and notices changes of
// the settings file.
func (e *Edge) upkeep(ctx context.Context) error {
	ticker := time.NewTicker(sweep)
	defer ticker.Stop()
	reloaded := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.change("time", func(now time.Time) (bool, map[string]error) { return e.catalog.Tick(now), nil })
			view := e.published.Load()
			e.pool.Sweep(now, func(k rwconn.Key) bool {
				in, ok := view.Instance(k.ID)
				return ok && in.Addr == k.Addr && in.StartMillis == k.StartMillis
			})
			e.sweepCallers(now, view)
			if n := e.sink.Dropped.Swap(0); n > 0 {
				e.metrics.Add("log_lines_dropped", n)
				rwlog.Info(&e.log, rwlog.LinesDropped).Int64("lines", n).Send()
			}
			if now.Sub(reloaded) >= reloadInterval {
				reloaded = now
				e.reload(false)
			}
		}
	}
}

// reload reads the settings file. What a running process can't change, its
// addresses and its name, stays as it was.
func (e *Edge) reload(asked bool) {
	d, err := e.config.Reload()
	if err != nil {
		rwlog.Warn(&e.log, rwlog.SettingsInvalid, err).Send()
		return
	}
	if asked {
		rwlog.Info(&e.log, rwlog.SettingsReloaded).Strs("seeds", d.Seeds).Send()
	}
	e.gossip.SetSeeds(d.Seeds)
}

// waitSignal ends the process gracefully when it is asked to.
func (e *Edge) waitSignal(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
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

// drain stops being ready, serves what still arrives and returns when nothing
// is in progress, or when the grace time ends.
func (e *Edge) drain(ctx context.Context) {
	start := time.Now()
	rwlog.Info(&e.log, rwlog.StopRequested).Int64("active", e.active.Load()).Send()
	e.stopping.Store(true)
	e.gossip.Leave(ctx)
	grace := e.deploy.Grace
	if grace <= 0 {
		grace = maxGrace
	}
	const step = 20 * time.Millisecond
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		spent := time.Since(start)
		if spent >= acceptTime && !e.refusing.Load() {
			e.refusing.Store(true)
			e.server.SetKeepAlivesEnabled(false)
		}
		if spent >= grace-stopMargin || (spent >= acceptTime+step*10 && e.active.Load() == 0) {
			rwlog.Info(&e.log, rwlog.DrainFinished).Int64("active", e.active.Load()).Dur("took", spent).Send()
			return
		}
	}
}

// writeMetrics writes counters and histograms as text, a line each.
func (e *Edge) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	view := e.published.Load()
	usable, leaving := view.Count()
	lines := map[string]int64{
		"active_requests": e.active.Load(), "caller_connections": int64(e.callers.Open()), "routers": int64(len(e.gossip.Live(""))),
		"revision": view.Rev, "upstreams_usable": int64(usable), "upstreams_leaving": int64(leaving),
	}
	if view.Config != nil {
		lines["version"] = view.Config.Version
	}
	for name, v := range lines {
		_, _ = io.WriteString(w, name+" "+strconv.FormatInt(v, 10)+"\n")
	}
	e.metrics.WriteText(w)
	for _, t := range []*rwhistogram.Histogram{e.latency, e.missed} {
		if _, err := t.WriteTo(w); err != nil {
			return
		}
	}
}
