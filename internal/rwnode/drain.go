package rwnode

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"redwingworks.example/internal/rwlog"
)

// drainLimit is the longest time of a graceful shutdown. The longest stream is far
// shorter.
const drainLimit = 5 * time.Minute

// waitSignal returns after the process was asked to stop and the requests in
// progress have ended or drainLimit has passed. Its return stops all services.
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
	n.drain(ctx)
	rwlog.Info(&n.log, rwlog.DrainFinished).Send()
	return nil
}

// drain shuts the router down gracefully: it becomes not ready and hands its cells
// and idempotency keys to other routers while the load balancer has time to
// notice, then refuses new requests and waits for those in progress, for callers'
// connections to end and for the handover of the keys. The links stay open
// meanwhile, since waiting requests still need grants.
func (n *Node) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	n.stopping.Store(true)
	n.gossip.Leave(ctx)
	n.requestAssignment()
	var handover sync.WaitGroup
	handover.Go(func() { _ = n.executor.Leave(ctx) })
	select {
	case <-time.After(n.settings.Drain):
	case <-ctx.Done():
	}
	n.draining.Store(true)
	_ = n.server.Shutdown(ctx)
	handover.Wait()
}
