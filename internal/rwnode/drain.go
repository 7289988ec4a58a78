package rwnode

import (
	"context"
	"errors"
	"os"
	"time"

	"redwingworks.example/internal/rwlog"
)

// drainLimit is the longest time of a graceful shutdown. The longest stream is far
// shorter.
const drainLimit = 5 * time.Minute

// waitSignal returns after a signal asked the process to stop and the requests in
// progress have ended or drainLimit has passed. Its return stops all services.
func (n *Node) waitSignal(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-signals:
	case <-ctx.Done():
		return nil
	}
	rwlog.Info(&n.log, rwlog.StopRequested).Send()
	err := n.drain(ctx)
	rwlog.Info(&n.log, rwlog.DrainFinished).AnErr("detail", err).Send()
	return nil
}

// drain shuts the router down gracefully: it becomes not ready and hands its cells
// and idempotency keys to other routers while the load balancer has time to
// notice, then refuses new requests and waits for those in progress and for
// callers' connections to end. Then it refuses the calls of other routers and
// waits for those in progress and for the handover of the keys. The links stay
// open meanwhile, since waiting requests still need grants. It fails if the time
// for any of this is over.
func (n *Node) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	n.stopping.Store(true)
	n.gossip.Leave(ctx)
	n.requestAssignment()
	handover := make(chan error, 1)
	go func() { handover <- n.executor.Leave(ctx) }()
	select {
	case <-time.After(n.settings.Drain):
	case <-ctx.Done():
	}
	n.draining.Store(true)
	err := n.server.Shutdown(ctx)
	return errors.Join(err, n.executor.Close(ctx), <-handover)
}
