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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwentry"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwgate"
	"redwingworks.example/internal/rwhome"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwkernel"
	"redwingworks.example/internal/rwlocal"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwsettings"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwsource"
	"redwingworks.example/internal/rwstore"
)

const (
	headerTimeout = 5 * time.Second
	maxHeader     = 16 << 10
	watchWait     = 20 * time.Second
	retryPause    = 500 * time.Millisecond
	drainLimit    = 5 * time.Minute
	leaveLimit    = 3 * time.Minute
)

// Node is one router.
type Node struct {
	settings rwsettings.Settings
	log      zerolog.Logger
	metrics  *rwmetric.Metrics
	kernel   *rwkernel.Kernel
	// inc is the incarnation: the start time in microseconds.
	inc   int64
	peers *rwpeer.Peers
	home  *rwhome.Home
	view  atomic.Pointer[rwsnapshot.Snapshot]
	ready atomic.Bool
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
	n.view.Store(rwsnapshot.Empty())
	return n
}

// Run serves until a signal asks the process to stop.
func (n *Node) Run() error {
	n.metrics.Publish()
	rwlog.Info(&n.log, rwlog.Started).Int64("inc", n.inc).Send()
	gate := n.gate()
	closePeers, err := n.servePeers()
	if err != nil {
		return err
	}
	// The links outlive the gate, whose last calls may be at other routers.
	defer closePeers()
	n.kernel.Register("source", nil, n.follow)
	n.kernel.Register("gate", gate, n.serve(n.settings.Listen, gate.Handler()))
	n.kernel.Register("ops", nil, n.serve(n.settings.Ops, expvar.Handler()))
	n.kernel.Register("signals", nil, n.waitSignal)
	err = n.kernel.Run()
	rwlog.Info(&n.log, rwlog.Stopped).Send()
	return err
}

func (n *Node) gate() *rwgate.Gate {
	dispatcher := rwdispatch.New()
	policy := rwlocal.New(n.view.Load)
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
	self := rwidentity.Identity{
		Name: n.settings.Name, Zone: n.settings.Zone, Region: n.settings.Region, Addr: n.settings.Peer, Inc: n.inc,
	}
	n.peers = rwpeer.New(self, n.settings.Key, nil, n.log, n.metrics)
	n.home = rwhome.New(rwhome.Config{
		Self: self, Key: n.settings.Key, View: n.view.Load, Peers: n.peers, Run: entry.Do,
		Now: time.Now, Hold: n.settings.Hold, Log: n.log, Metrics: n.metrics,
	})
	return &rwgate.Gate{
		ID:     n.settings.Name + "-" + strconv.FormatInt(n.inc, 36),
		View:   n.view.Load,
		Run:    entry.Run,
		Ticket: n.home.Ticket,
		Do: func(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Answer, error) {
			if q.Idempotent {
				return entry.Do(ctx, q)
			}
			return n.home.Do(ctx, q)
		},
		Ready:   n.ready.Load,
		Refused: n.metrics.Refused,
		Now:     time.Now,
	}
}

func (n *Node) servePeers() (func(), error) {
	l, err := net.Listen("tcp", n.settings.Peer)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SettingsInvalid, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { _ = n.peers.Serve(ctx, l) })
	all.Go(func() { _ = n.home.Start(ctx) })
	return func() {
		cancel()
		all.Wait()
	}, nil
}

func (n *Node) follow(ctx context.Context) error {
	source := rwsource.New(n.settings.Platform, &http.Client{})
	store := rwstore.New()
	for ctx.Err() == nil {
		items, err := source.Watch(ctx, store.View().Rev(), watchWait)
		if err != nil {
			rwlog.Warn(&n.log, rwlog.PlatformLost, err).Send()
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
			continue
		}
		_, faults := store.Adopt(items)
		for _, f := range faults {
			rwlog.Warn(&n.log, rwlog.RecordSetAside, f).Send()
		}
		n.view.Store(store.View())
		n.ready.Store(true)
	}
	return nil
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
	n.ready.Store(false)
	select {
	case <-time.After(n.settings.Drain):
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	_ = n.home.Leave(limit)
	return nil
}
