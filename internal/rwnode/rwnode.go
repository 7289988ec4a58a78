// Package rwnode puts the parts of a router together and runs them.
package rwnode

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwentry"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwfollow"
	"redwingworks.example/internal/rwgate"
	"redwingworks.example/internal/rwgossip"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwkernel"
	"redwingworks.example/internal/rwlocal"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwsettings"
)

const (
	headerTimeout = 5 * time.Second
	maxHeader     = 16 << 10
	drainLimit    = 5 * time.Minute
)

// Node is one router.
type Node struct {
	settings rwsettings.Settings
	log      zerolog.Logger
	metrics  *rwmetric.Metrics
	kernel   *rwkernel.Kernel
	// inc is the incarnation: the start time in microseconds.
	inc    int64
	peers  *rwpeer.Peers
	gossip *rwgossip.Gossip
	follow *rwfollow.Follow
	// stopping is set when the router was asked to stop.
	stopping atomic.Bool
}

// New returns a router that is not running yet.
func New(s rwsettings.Settings, log zerolog.Logger) *Node {
	n := &Node{
		settings: s,
		log:      log,
		metrics:  rwmetric.New(),
		kernel:   rwkernel.New(),
		inc:      time.Now().UnixMicro(),
	}
	self := rwidentity.Identity{Name: s.Name, Zone: s.Zone, Region: s.Region, Addr: s.Peer, Inc: n.inc}
	n.peers = rwpeer.New(self, s.Key, nil, log, n.metrics)
	n.gossip = rwgossip.New(n.peers, s.Seeds, log, n.metrics)
	n.follow = rwfollow.New(n.peers, n.gossip, s.Platform, s.Seeds, log, n.metrics)
	return n
}

// Run serves until a signal asks the process to stop.
func (n *Node) Run() error {
	n.metrics.Publish()
	rwlog.Info(&n.log, rwlog.Started).Int64("inc", n.inc).Send()
	gate := n.gate()
	n.kernel.Register("peers", n.peers, n.servePeers)
	n.kernel.Register("gossip", n.gossip, n.gossip.Run)
	n.kernel.Register("follow", n.follow, n.follow.Run)
	n.kernel.Register("gate", gate, n.serve(n.settings.Listen, gate.Handler()))
	n.kernel.Register("ops", nil, n.serve(n.settings.Ops, expvar.Handler()))
	n.kernel.Register("signals", nil, n.waitSignal)
	err := n.kernel.Run()
	rwlog.Info(&n.log, rwlog.Stopped).Send()
	return err
}

func (n *Node) gate() *rwgate.Gate {
	dispatcher := rwdispatch.New()
	policy := rwlocal.New(n.follow.View)
	entry := &rwentry.Entry{
		Acquire: policy.Acquire,
		Call:    dispatcher.Call,
		Stream:  dispatcher.Stream,
		Now:     time.Now,
		Retry: func(f *rwfault.Fault) bool {
			n.metrics.Retried(f.Code)
			return true
		},
	}
	return &rwgate.Gate{
		ID:      n.settings.Name + "-" + strconv.FormatInt(n.inc, 36),
		View:    n.follow.View,
		Run:     entry.Run,
		Do:      entry.Do,
		Ready:   n.isReady,
		Refused: n.metrics.Refused,
		Now:     time.Now,
	}
}

// servePeers accepts the links of other routers.
func (n *Node) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp", n.settings.Peer)
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	return n.peers.Serve(ctx, l)
}

func (n *Node) serve(addr string, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		s := &http.Server{
			Addr:              addr,
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    maxHeader,
		}
		failed := make(chan error, 1)
		go func() { failed <- s.ListenAndServe() }()
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
		}
		limit, cancel := context.WithTimeout(context.Background(), drainLimit)
		defer cancel()
		err := s.Shutdown(limit)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}

func (n *Node) isReady() bool { return n.follow.Ready() && !n.stopping.Load() }

func (n *Node) waitSignal(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
		return nil
	}
	rwlog.Info(&n.log, rwlog.StopRequested).Send()
	n.stopping.Store(true)
	n.gossip.Leave(ctx)
	select {
	case <-time.After(n.settings.Drain):
	case <-ctx.Done():
	}
	return nil
}
