// Package rwnode puts the parts of a router together and runs them.
package rwnode

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

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
	"redwingworks.example/internal/rwsettings"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

const (
	headerTimeout = 5 * time.Second
	// joinWait is the time between the first records and the first cells: a
	// router that took cells before it knew the live routers would grant
	// slots that others hand out too.
	joinWait = time.Second
	// tick is how often owners send reports and look for grants that became
	// possible with time.
	tick = 100 * time.Millisecond
	// logBurst is how many events about single requests are logged a second.
	logBurst = 10
)

// Node is one router.
type Node struct {
	settings rwsettings.Settings
	log      zerolog.Logger
	// sampled drops events beyond a few in each second. In a flood, a line
	// for each refused request would cost more than the refusal.
	sampled zerolog.Logger
	metrics *rwmetric.Metrics
	kernel  *rwregistry.Registry
	self    rwidentity.Identity

	peers  *rwpeer.Peers
	gossip *rwgossip.Gossip
	follow *rwconfsync.Syncer
	policy *rwfleetpolicy.Policy
	owner  *rwowner.Owner
	home   *rwexecutor.Executor
	gate   *rwgate.Gate
	server *http.Server

	// joined is set once the router may own cells and take requests.
	joined atomic.Bool
	// stopping is set when the process was asked to stop: the balancer is
	// told so. draining is set later: new requests are refused.
	stopping, draining atomic.Bool
	// adoptedView is the last configuration that was adopted. Only the calls
	// of adopted, which come one at a time, use it.
	adoptedView *rwsnapshot.Snapshot
	// changed wakes the part that works out cells and their owners.
	changed chan struct{}
}

// New returns a router that is not running yet. It fails with SettingsInvalid
// if a certificate can't be read.
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
		settings: s,
		log:      log,
		sampled:  log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second}),
		metrics:  rwmetric.New(),
		kernel:   rwregistry.New(),
		changed:  make(chan struct{}, 1),

		adoptedView: rwsnapshot.Empty(),
		self: rwidentity.Identity{
			Name: s.Name, Zone: s.Zone, Region: s.Region, Addr: s.PeerAddr(), Inc: time.Now().UnixMicro(),
		},
	}
	n.peers = rwpeer.New(n.self, s.FleetKey, peerTLS, log, n.metrics)
	n.gossip = rwgossip.New(n.peers, s.Seeds, log, n.metrics)
	n.follow = rwconfsync.New(n.peers, n.gossip, s.Platform, s.Seeds, log, n.metrics)
	n.wireFleet()
	n.wireCallers()
	n.gate.TLS = tlsConfig
	n.server = n.gate.Server()
	return n, nil
}

// wireFleet connects the parts that act together with other routers.
func (n *Node) wireFleet() {
	n.policy = rwfleetpolicy.New(n.self, uint64(n.self.Inc))
	n.policy.Snapshot = n.follow.Snapshot
	n.policy.Now = time.Now
	n.policy.Affinity = rwprefix.New()
	n.policy.Send = n.send
	n.owner = rwowner.New(n.self)
	n.owner.Send = n.send
	n.owner.OnUpstreamFailure = n.upstreamFailed
	n.gossip.OnLiveChange = n.wake
	n.gossip.OnResume = n.woke
	n.follow.OnChange = n.adopted
	n.handleMessages()
}

// wireCallers connects the parts that serve callers.
func (n *Node) wireCallers() {
	dispatcher := rwdispatch.New()
	acquire := n.policy.Acquire
	if n.settings.Policy == "local" {
		acquire = rwlocalpolicy.New(n.follow.Snapshot).Acquire
	}
	budget := &budget{metrics: n.metrics, log: n.sampled, tokens: rwretrybudget.New()}
	entry := &rwentry.Runner{
		Acquire: acquire,
		Call: func(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request) (*rwdispatch.Response, error) {
			a, err := dispatcher.Call(ctx, u, q)
			return a, n.noteLeaving(u, err)
		},
		Stream: func(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, offset int, emit func(*rwstream.Chunk) error) error {
			return n.noteLeaving(u, dispatcher.Stream(ctx, u, q, offset, emit))
		},
		AllowRetry:     budget.retry,
		OnFirstAttempt: budget.fresh,
		Now:            time.Now,
	}
	n.home = rwexecutor.New(rwexecutor.Config{
		Self: n.self, FleetKey: n.settings.FleetKey, Snapshot: n.follow.Snapshot, Peers: n.peers, Run: entry.RunCall,
		Now: time.Now, Hold: n.settings.Hold, Log: n.log, Metrics: n.metrics,
	})
	n.gate = &rwgate.Gate{
		ID:           n.self.Name + "-" + strconv.FormatInt(n.self.Inc, 36),
		Snapshot:     n.follow.Snapshot,
		RunInference: entry.RunInference,
		RunCall:      n.do(entry),
		IssueTicket:  n.home.IssueTicket,
		Ready:        n.ready,
		Draining:     n.draining.Load,
		ReportFault:  n.refused,
		Now:          time.Now,
		MaxConns:     n.settings.MaxConns,
		MaxRequests:  n.settings.MaxRequests,
		BodyTimeout:  n.settings.BodyTimeout,
	}
}

// do sends a call with a key that may not be repeated to the one router that
// may run it. The others run where they arrived: without a key, this router is
// the only one that knows of the call.
func (n *Node) do(entry *rwentry.Runner) func(context.Context, *rwrequest.Request) (*rwdispatch.Response, error) {
	return func(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Response, error) {
		if q.Idempotent || q.IdempotencyKey == "" {
			return entry.RunCall(ctx, q)
		}
		return n.home.Do(ctx, q)
	}
}

// noteLeaving passes on that an upstream refused a request because it is
// leaving, which the published list says later.
func (n *Node) noteLeaving(u rwupstream.Upstream, err error) error {
	if rwfault.Is(err, rwcode.UpstreamLeaving) {
		n.follow.MarkUpstreamLeaving(rwleaving.Upstream{Name: u.Name, Inc: u.Inc})
	}
	return err
}

// refused counts and logs a request that ended with a fault.
func (n *Node) refused(f *rwfault.Fault) {
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

// Run serves until a signal asks the process to stop, and then until the
// requests in progress have ended.
func (n *Node) Run() error {
	n.metrics.Publish()
	rwlog.Info(&n.log, rwlog.Started).Int64("inc", n.self.Inc).Send()
	n.kernel.Register("peers", n.peers, n.servePeers)
	n.kernel.Register("gossip", n.gossip, n.gossip.Run)
	n.kernel.Register("follow", n.follow, n.follow.Run)
	n.kernel.Register("cells", nil, n.assignCells)
	n.kernel.Register("policy", n.policy, n.policy.Run)
	n.kernel.Register("owner", n.owner, n.tickOwner)
	n.kernel.Register("home", n.home, n.home.Start)
	n.kernel.Register("gate", n.gate, n.serveCallers)
	n.kernel.Register("ops", nil, n.serveOps)
	n.kernel.Register("signals", nil, n.waitSignal)
	err := n.kernel.Run()
	rwlog.Info(&n.log, rwlog.Stopped).Send()
	return err
}

// servePeers accepts the links of other routers.
func (n *Node) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp", n.settings.PeerListen)
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	return n.peers.Serve(ctx, l)
}

// serveCallers serves until the group stops. The end of the server alone,
// which is the first step of a graceful shutdown, doesn't end the group.
func (n *Node) serveCallers(ctx context.Context) error {
	l, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	failed := make(chan error, 1)
	go func() { failed <- n.serveOn(l) }()
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

func (n *Node) serveOn(l net.Listener) error {
	if n.server.TLSConfig != nil {
		return n.server.ServeTLS(l, "", "")
	}
	return n.server.Serve(l)
}

// serveOps serves operators until the group stops.
func (n *Node) serveOps(ctx context.Context) error {
	m := http.NewServeMux()
	m.Handle("GET /debug/vars", expvar.Handler())
	m.HandleFunc("GET /v1/view", n.serveView)
	m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.Handle("GET /debug/pprof/heap", pprof.Handler("heap"))
	m.Handle("GET /debug/pprof/goroutine", pprof.Handler("goroutine"))
	s := &http.Server{Addr: n.settings.OpsListen, Handler: m, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	return nil
}

func (n *Node) tickOwner(ctx context.Context) error {
	t := time.NewTicker(tick)
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

// budget is the retry budget of the router with its counters.
type budget struct {
	metrics *rwmetric.Metrics
	log     zerolog.Logger

	mu     sync.Mutex
	tokens *rwretrybudget.Budget
}

func (b *budget) retry(f *rwfault.Fault) bool {
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

func (b *budget) fresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens.Deposit()
}
