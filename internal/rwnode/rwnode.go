// Package rwnode assembles the services of a router and runs them.
package rwnode

import (
	"context"
	"errors"
	"expvar"
	"math"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfsync"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwentry"
	"redwingworks.example/internal/rwexecutor"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwfleetpolicy"
	"redwingworks.example/internal/rwgate"
	"redwingworks.example/internal/rwgossip"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwlisten"
	"redwingworks.example/internal/rwlocalpolicy"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwowner"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwpeertls"
	"redwingworks.example/internal/rwprefix"
	"redwingworks.example/internal/rwregistry"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwretrybudget"
	"redwingworks.example/internal/rwserver"
	"redwingworks.example/internal/rwsettings"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

const (
	headerTimeout = 5 * time.Second
	// joinWait is the time between a ready configuration and the first cell
	// assignment. A router that took cells before it knew the live routers would
	// grant slots that their owners grant too.
	joinWait = time.Second
	// ownerTickInterval is how often owners check for reports that are due, for
	// old grants and for grants that became possible by the passage of time.
	ownerTickInterval = 100 * time.Millisecond
	// logBurst is the largest number of events about single requests that are
	// logged per second.
	logBurst = 10
	// callerMemoryRatio and heapMemoryRatio are the fractions of the VM's memory that
	// bodies and responses may take, and that the heap may take before the garbage
	// collector runs more often.
	callerMemoryRatio = 0.25
	heapMemoryRatio   = 0.6
	// callerFDRatio is the fraction of the process's file descriptors that callers'
	// connections may take, and connectionMemoryRatio that of the VM's memory;
	// connectionBytes is the memory of a connection with a request that is unread in
	// its socket. From crowdedRatio of these connections on, a new one takes the place
	// of one that waits for its caller.
	callerFDRatio         = 0.5
	connectionMemoryRatio = 0.2
	connectionBytes       = 40 << 10
	crowdedRatio          = 0.875
	// smallMemoryRatio is the fraction of the memory for bodies and responses that only
	// small ones may take.
	smallMemoryRatio = 0.125
	// callerReceiveBytes and upstreamReceiveBytes are the receive buffers of connections if
	// the memory is limited. Linux takes twice as much.
	callerReceiveBytes   = 32 << 10
	upstreamReceiveBytes = 32 << 10
	// callerUnsentBytes bounds what the system holds of responses beyond what callers
	// have room for, if the memory is limited.
	callerUnsentBytes = 32 << 10
)

// Node is one router.
type Node struct {
	settings rwsettings.Settings
	log      zerolog.Logger
	// sampled logs at most logBurst events per second. In a flood, a log line
	// for each refused request would cost more than the refusal.
	sampled  zerolog.Logger
	metrics  *rwmetric.Metrics
	services *rwregistry.Registry
	self     rwidentity.Identity

	peers      *rwpeer.Peers
	gossip     *rwgossip.Gossip
	configSync *rwconfsync.Syncer
	policy     *rwfleetpolicy.Policy
	owner      *rwowner.Owner
	executor   *rwexecutor.Executor
	gate       *rwgate.Gate
	server     *rwserver.Server

	// joined is set once the router has joined and its cells are assigned.
	joined atomic.Bool
	// stopping is set when the process was asked to stop: the router is no
	// longer ready for the load balancer. draining is set later: new requests
	// are refused.
	stopping, draining atomic.Bool
	// lastSnapshot is the last adopted configuration. Only handleConfigChange
	// uses it, whose calls are serialized.
	lastSnapshot *rwsnapshot.Snapshot
	// assignRequests triggers an assignment of cells to owners.
	assignRequests chan struct{}
}

// New returns a router that is not running yet. It fails with SettingsInvalid if
// a certificate can't be loaded.
func New(s rwsettings.Settings, log zerolog.Logger) (*Node, error) {
	tlsConfig, err := s.TLS()
	if err != nil {
		return nil, err
	}
	trust := rwpeertls.Files{Cert: s.PeerCert, Key: s.PeerCertKey, Authority: s.PeerAuthority}
	peerTLS, err := trust.Config()
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:       s,
		log:            log,
		sampled:        log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second}),
		metrics:        rwmetric.New(),
		services:       rwregistry.New(),
		assignRequests: make(chan struct{}, 1),

		lastSnapshot: rwsnapshot.Empty(),
		self: rwidentity.Identity{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Addr: s.PeerAddr(), Inc: time.Now().UnixMicro(),
		},
	}
	n.peers = rwpeer.New(n.self, s.FleetKey, peerTLS, log, n.metrics)
	n.gossip = rwgossip.New(n.peers, s.Seeds, log, n.metrics)
	n.configSync = rwconfsync.New(n.peers, n.gossip, s.Platform, s.Seeds, log, n.metrics)
	n.connectFleet()
	n.connectCallers()
	n.gate.TLS = tlsConfig
	n.server = rwserver.New(n.gate.Server())
	n.server.LimitConns(n.connLimits())
	return n, nil
}

// connLimits returns the largest number of callers' connections, and that from which new
// ones take the places of those that wait for their callers. Between MaxConns and the
// largest number, requests get an error response.
func (n *Node) connLimits() (maxOpen, crowded int) {
	most := math.MaxInt
	var descriptors unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err == nil {
		most = int(callerFDRatio * float64(min(descriptors.Cur, math.MaxInt32)))
	}
	if m := n.memoryBytes(); m > 0 {
		most = min(most, int(connectionMemoryRatio*float64(m)/connectionBytes))
	}
	maxOpen = min(rwgate.ConnLimitFactor*n.settings.MaxConns, most)
	return maxOpen, max(1, int(crowdedRatio*float64(min(n.settings.MaxConns, most))))
}

// connectFleet connects the components that cooperate with other routers.
func (n *Node) connectFleet() {
	n.policy = rwfleetpolicy.New(n.self, uint64(n.self.Inc))
	n.policy.Snapshot = n.configSync.Snapshot
	n.policy.Now = time.Now
	n.policy.Affinity = rwprefix.New()
	n.policy.Send = n.send
	n.owner = rwowner.New(n.self)
	n.owner.Send = n.send
	n.owner.OnUpstreamFailure = n.upstreamFailed
	n.owner.Leaving = n.leavingInRegion
	n.gossip.OnLiveChange = n.requestAssignment
	// The end of a leaving router doesn't change the live routers.
	n.gossip.OnGone = func(rwidentity.Identity) { n.requestAssignment() }
	n.gossip.OnResume = n.handleResume
	n.configSync.OnChange = n.handleConfigChange
	n.handleMessages()
}

// connectCallers connects the components that serve callers.
func (n *Node) connectCallers() {
	dispatcher := rwdispatch.New()
	var memory *rwbudget.Budget
	if m := n.memoryBytes(); m > 0 {
		total := callerMemoryRatio * float64(m)
		memory = rwbudget.NewWithReserve(int64(total), int64(smallMemoryRatio*total))
		dispatcher.Memory, dispatcher.Dial = memory, limitReceiveBuffer(dispatcher.Dial)
	}
	acquire := n.policy.Acquire
	if n.settings.Policy == "local" {
		acquire = rwlocalpolicy.New(n.configSync.Snapshot).Acquire
	}
	budget := &budget{metrics: n.metrics, log: n.sampled, tokens: rwretrybudget.New()}
	runner := &rwentry.Runner{
		Acquire: acquire,
		Call: func(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request) (*rwdispatch.Response, error) {
			a, err := dispatcher.Call(ctx, u, q)
			return a, n.reportLeaving(u, err)
		},
		Stream: func(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, offset int, emit func(*rwstream.Chunk) error) error {
			return n.reportLeaving(u, dispatcher.Stream(ctx, u, q, offset, emit))
		},
		AllowRetry:     budget.allowRetry,
		OnFirstAttempt: budget.deposit,
		Now:            time.Now,
	}
	n.executor = rwexecutor.New(rwexecutor.Config{
		Self: n.self, FleetKey: n.settings.FleetKey, Snapshot: n.configSync.Snapshot, Peers: n.peers, Run: runner.RunCall,
		Now: time.Now, Hold: n.settings.Hold, Log: n.log, Metrics: n.metrics,
	})
	n.gate = &rwgate.Gate{
		ID:           n.self.Name + "-" + strconv.FormatInt(n.self.Inc, 36),
		Snapshot:     n.configSync.Snapshot,
		RunInference: runner.RunInference,
		RunCall:      n.runCall(runner),
		IssueTicket:  n.executor.IssueTicket,
		Ready:        n.ready,
		Draining:     n.draining.Load,
		ReportFault:  n.recordFault,
		Now:          time.Now,
		MaxConns:     n.settings.MaxConns,
		MaxRequests:  n.settings.MaxRequests,
		BodyTimeout:  n.settings.BodyTimeout,
		Memory:       memory,
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

// memoryBytes returns the memory limit of the settings, or 0 for none.
func (n *Node) memoryBytes() int64 { return int64(n.settings.MemoryMB) << 20 }

// runCall returns the function that executes a call. A non-idempotent call with
// an idempotency key is sent to the only router that may execute it. Other calls
// are executed by this router: a call without a key is known to no other router.
func (n *Node) runCall(runner *rwentry.Runner) func(context.Context, *rwrequest.Request) (*rwdispatch.Response, error) {
	return func(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Response, error) {
		if q.Idempotent || q.IdempotencyKey == "" {
			return runner.RunCall(ctx, q)
		}
		return n.executor.Do(ctx, q)
	}
}

// reportLeaving reports an upstream that refused a request because it is leaving.
// The published records show that only later.
func (n *Node) reportLeaving(u rwupstream.Upstream, err error) error {
	if rwfault.Is(err, rwcode.UpstreamLeaving) {
		n.configSync.MarkUpstreamLeaving(rwleaving.Upstream{Name: u.Name, Inc: u.Inc})
	}
	return err
}

// recordFault counts and logs the fault of a request.
func (n *Node) recordFault(f *rwfault.Fault) {
	n.metrics.Refused(f.Code)
	if f.Outcome == rwoutcome.NotRun {
		rwlog.Info(&n.sampled, rwlog.RequestRefused).Stringer("code", f.Code).Str("detail", f.Error()).Send()
		return
	}
	rwlog.Warn(&n.sampled, rwlog.RequestFailed, f).Stringer("outcome", f.Outcome).Send()
}

func (n *Node) upstreamFailed(upstream string, code rwcode.Code) {
	rwlog.Warn(&n.sampled, rwlog.UpstreamBackedOff, rwfault.New(code, upstream)).Send()
}

func (n *Node) ready() bool { return n.joined.Load() && !n.stopping.Load() }

// Run runs the router until a service fails, or until a signal asks the process
// to stop and the requests in progress have ended or drainLimit has passed.
func (n *Node) Run() error {
	// Until its signals are registered, one ends the process at once.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	n.metrics.Publish()
	if m := n.memoryBytes(); m > 0 {
		debug.SetMemoryLimit(int64(heapMemoryRatio * float64(m)))
	}
	rwlog.Info(&n.log, rwlog.Started).Int64("inc", n.self.Inc).Send()
	err := n.serve(signals)
	if err != nil {
		rwlog.Warn(&n.log, rwlog.ProcessFailed, err).Send()
	}
	rwlog.Info(&n.log, rwlog.Stopped).Send()
	return err
}

// serve runs the services until one returns.
func (n *Node) serve(signals <-chan os.Signal) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	n.services.Register("peers", n.peers, func(ctx context.Context) error { return n.peers.Serve(ctx, l.peers) })
	n.services.Register("gossip", n.gossip, n.gossip.Run)
	n.services.Register("follow", n.configSync, n.configSync.Run)
	n.services.Register("cells", nil, n.runAssignment)
	n.services.Register("policy", n.policy, n.policy.Run)
	n.services.Register("owner", n.owner, n.tickOwner)
	n.services.Register("home", n.executor, n.executor.Start)
	n.services.Register("gate", n.gate, func(ctx context.Context) error { return n.serveCallers(ctx, l.callers) })
	n.services.Register("ops", nil, func(ctx context.Context) error { return n.serveOps(ctx, l.ops) })
	n.services.Register("signals", nil, func(ctx context.Context) error { return n.waitSignal(ctx, signals) })
	return n.services.Run()
}

// listeners are the sockets on which a router accepts other routers, operators
// and callers.
type listeners struct{ peers, ops, callers net.Listener }

// listen opens all listeners or none. The one for callers is the last, since a
// router that can't open the others ends and would reset callers' connections.
func (n *Node) listen() (listeners, error) {
	var l listeners
	var err error
	if l.peers, err = net.Listen("tcp", n.settings.PeerListen); err != nil {
		return listeners{}, rwfault.Wrap(rwcode.Internal, err)
	}
	if l.ops, err = net.Listen("tcp", n.settings.OpsListen); err != nil {
		_ = l.peers.Close()
		return listeners{}, rwfault.Wrap(rwcode.Internal, err)
	}
	if l.callers, err = net.Listen("tcp", n.settings.Listen); err != nil {
		_ = l.peers.Close()
		_ = l.ops.Close()
		return listeners{}, rwfault.Wrap(rwcode.Internal, err)
	}
	if n.memoryBytes() > 0 {
		if err := rwlisten.LimitReceiveBuffer(l.callers, callerReceiveBytes); err != nil {
			_ = l.peers.Close()
			_ = l.ops.Close()
			_ = l.callers.Close()
			return listeners{}, rwfault.Wrap(rwcode.Internal, err)
		}
		l.callers = rwlisten.LimitUnsent(l.callers, callerUnsentBytes)
	}
	return l, nil
}

// serveCallers serves callers until the services stop. A graceful shutdown ends
// the HTTP server first, which must not stop the other services.
func (n *Node) serveCallers(ctx context.Context, l net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- n.server.Serve(l) }()
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return rwfault.Wrap(rwcode.Internal, err)
		}
		<-ctx.Done()
	case <-ctx.Done():
		_ = n.server.Close()
	}
	return nil
}

// serveOps serves operators until the services stop.
func (n *Node) serveOps(ctx context.Context, l net.Listener) error {
	m := http.NewServeMux()
	m.Handle("GET /debug/vars", expvar.Handler())
	m.HandleFunc("GET /v1/view", n.serveView)
	m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	m.Handle("GET /debug/pprof/goroutine", pprof.Handler("goroutine"))
	s := &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	return nil
}

func (n *Node) tickOwner(ctx context.Context) error {
	t := time.NewTicker(ownerTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			n.owner.Tick(now)
		}
	}
}

// budget is the retry budget of the router with its metrics and log.
type budget struct {
	metrics *rwmetric.Metrics
	log     zerolog.Logger

	mu     sync.Mutex
	tokens *rwretrybudget.Budget
}

func (b *budget) allowRetry(f *rwfault.Fault) bool {
	b.mu.Lock()
	ok := b.tokens.Allow(f.Code)
	b.mu.Unlock()
	if ok {
		b.metrics.Retried(f.Code)
		rwlog.Info(&b.log, rwlog.RequestRetried).Stringer("code", f.Code).Str("detail", f.Error()).Send()
	} else {
		b.metrics.Refused(rwcode.RetryBudget)
	}
	return ok
}

func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens.Deposit()
}
