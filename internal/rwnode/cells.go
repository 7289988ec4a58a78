package rwnode

import (
	"context"
	"time"

	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwsnapshot"
)

const (
	readyPollInterval = 20 * time.Millisecond
	// settleWait is the time until the owners of new cells grant slots. The
	// router is not ready before, so that the first requests of a new fleet
	// don't wait.
	settleWait = 350 * time.Millisecond
)

func (n *Node) requestAssignment() {
	select {
	case n.assignRequests <- struct{}{}:
	default:
	}
}

func (n *Node) handleConfigChange(snapshot *rwsnapshot.Snapshot) {
	for _, u := range snapshot.Upstreams() {
		if before, ok := n.lastSnapshot.Upstream(u.Name); ok && u.Leaving && !before.Leaving {
			rwlog.Info(&n.log, rwlog.UpstreamLeaving).Str("upstream", u.Name).Int64("inc", u.Inc).Send()
		}
	}
	n.lastSnapshot = snapshot
	n.requestAssignment()
}

// handleResume releases the cells after a pause, since others may own them by
// now. Grants that the router received expire by their own deadlines.
func (n *Node) handleResume(time.Duration) {
	n.owner.ReleaseAll()
	n.requestAssignment()
}

// runAssignment joins the fleet and assigns cells to owners after each change.
func (n *Node) runAssignment(ctx context.Context) error {
	if !n.waitForConfig(ctx) {
		return nil
	}
	n.assignCells()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(settleWait):
	}
	n.joined.Store(true)
	rwlog.Info(&n.log, rwlog.Ready).Int64("rev", n.configSync.Snapshot().Rev()).Send()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.assignRequests:
			n.assignCells()
		}
	}
}

func (n *Node) waitForConfig(ctx context.Context) bool {
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for !n.configSync.Ready() {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(joinWait):
		return true
	}
}

func (n *Node) assignCells() {
	snapshot, cells := n.configSync.Snapshot(), n.cells()
	live := n.liveInRegion()
	n.policy.Update(cells, live)
	taken, released := n.owner.Update(time.Now(), snapshot, cells, live)
	for _, c := range taken {
		rwlog.Info(&n.log, rwlog.CellTaken).Str("cell", c).Send()
	}
	for _, c := range released {
		rwlog.Info(&n.log, rwlog.CellReleased).Str("cell", c).Send()
	}
}

func (n *Node) cells() []rwcell.Cell {
	snapshot := n.configSync.Snapshot()
	return rwcell.InRegion(rwcell.Partition(snapshot, n.settings.Cell), snapshot, n.self.Region)
}

// liveInRegion returns the routers that may own cells. The last router of a region
// keeps its cells while it is leaving, since its waiting requests need them.
func (n *Node) liveInRegion() []rwidentity.Identity {
	var out []rwidentity.Identity
	for _, r := range n.gossip.Live("") {
		if r.Region == n.self.Region {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		out = append(out, n.self)
	}
	return out
}

// leavingInRegion returns the other routers that are leaving and whose requests
// still need slots.
func (n *Node) leavingInRegion() []rwidentity.Identity {
	var out []rwidentity.Identity
	for _, r := range n.gossip.Leaving() {
		if r.Region == n.self.Region {
			out = append(out, r)
		}
	}
	return out
}
