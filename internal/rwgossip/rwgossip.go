// Package rwgossip runs the membership protocol of rwmember over the links
// between routers.
package rwgossip

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwmember"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpause"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwprobe"
	"redwingworks.example/internal/rwprobecall"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwvm"
)

const (
	tick = 50 * time.Millisecond
	// probeCallTimeout exceeds the probe timeouts of rwmember, which still
	// accepts a late answer as evidence that the member is alive.
	probeCallTimeout = time.Second
	// relayTimeout is shorter than the time that the requester of an indirect
	// probe waits.
	relayTimeout = 180 * time.Millisecond
	// leaveFlushTime is how long Leave waits for its announcement to be sent.
	// The links stay open.
	leaveFlushTime = 100 * time.Millisecond
)

// Gossip is the membership service of one router. The callbacks may be nil and
// must be set before Run. They are called without g.mu held and must not block
// for long.
type Gossip struct {
	// OnLiveChange is called after the live set has changed.
	OnLiveChange func()
	// OnGone is called for each incarnation of a router that was declared dead
	// or was replaced by a higher incarnation of the same name.
	OnGone func(rwidentity.Identity)
	// OnUpstreamLeaving is called when a peer reports a leaving upstream.
	OnUpstreamLeaving func(rwleaving.Upstream)
	// OnMessage is called for each ping and for each answer with the sender's
	// identity and its configuration revision and digest. It is not called for
	// the request of an indirect probe or for the target's answer to the router
	// that relays it. The identity of an answer has no zone and region.
	OnMessage func(from rwidentity.Identity, rev rwrevision.Revision, sum uint64)
	// OnResume is called after the process was paused, before the membership
	// handles the next tick, message or answer. Messages of other methods don't
	// wait for it.
	OnResume func(late time.Duration)

	peers   *rwpeer.Peers
	log     zerolog.Logger
	metrics *rwmetric.Metrics
	started time.Time

	mu      sync.Mutex
	members *rwmember.Members

	pauseMu sync.Mutex
	pause   *rwpause.Detector

	// callbackMu serializes OnLiveChange, OnGone and OnUpstreamLeaving.
	callbackMu      sync.Mutex
	notifiedVersion uint64
}

// New registers the handlers of "ping" and "probe" and returns a membership
// that contains only this router. Seeds are the peer addresses to join through.
func New(peers *rwpeer.Peers, seeds []string, log zerolog.Logger, metrics *rwmetric.Metrics) *Gossip {
	self := peers.Self()
	g := &Gossip{
		peers:   peers,
		log:     log,
		metrics: metrics,
		started: time.Now(),
		members: rwmember.New(self, uint64(self.Inc)),
		pause:   rwpause.New(tick),
	}
	g.members.SetSeeds(seeds)
	peers.Handle("ping", g.handlePing)
	peers.Handle("probe", g.handleProbe)
	return g
}

// Live returns the live routers of a zone, or of all zones for "", sorted by
// name. It includes suspects and this router unless it is superseded, but no
// router that is leaving or dead.
func (g *Gossip) Live(zone string) []rwidentity.Identity {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Live(zone)
}

// Leaving returns the other routers that are leaving and not known to have ended,
// sorted by name.
func (g *Gossip) Leaving() []rwidentity.Identity {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Leaving()
}

// Find returns a router by name unless it is unknown or dead. It may be
// leaving.
func (g *Gossip) Find(name string) (rwidentity.Identity, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Find(name)
}

// Reachable reports whether a router answers this router's direct pings.
func (g *Gossip) Reachable(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Reachable(name)
}

// Version changes whenever the result of Live changes.
func (g *Gossip) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Version()
}

// SetPublishedVMs sets the published VM list.
func (g *Gossip) SetPublishedVMs(list []rwvm.VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.SetPublishedVMs(list)
}

// SetSeeds replaces the peer addresses to join through.
func (g *Gossip) SetSeeds(addrs []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.SetSeeds(addrs)
}

// SetConfigDigest sets the configuration revision and digest that are sent
// with each probe.
func (g *Gossip) SetConfigDigest(rev rwrevision.Revision, sum uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.SetConfigDigest(rev, sum)
}

// AddLeavingUpstream gossips that an upstream is leaving.
func (g *Gossip) AddLeavingUpstream(l rwleaving.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.AddLeavingUpstream(l)
}

// Run probes the other routers until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		g.tickOnce()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leave announces to the other routers that this one is leaving.
func (g *Gossip) Leave(ctx context.Context) {
	g.mu.Lock()
	out := g.members.Leave(time.Now())
	g.mu.Unlock()
	g.send(out)
	g.runCallbacks()
	select {
	case <-ctx.Done():
	case <-time.After(leaveFlushTime):
	}
}

func (g *Gossip) tickOnce() {
	now := g.checkPause()
	g.mu.Lock()
	out := g.members.Tick(now)
	g.mu.Unlock()
	g.send(out)
	g.runCallbacks()
}

// checkPause returns the time for the next action. After a pause it first calls
// OnResume and rejoins, so that a message that waited during the pause is not
// handled with the state from before it.
func (g *Gossip) checkPause() time.Time {
	g.pauseMu.Lock()
	defer g.pauseMu.Unlock()
	now := time.Now()
	late, paused := g.pause.Tick(now.Sub(g.started), now)
	if !paused {
		return now
	}
	g.metrics.Add("pauses", 1)
	rwlog.Info(&g.log, rwlog.PauseDetected).Dur("late", late).Send()
	if g.OnResume != nil {
		g.OnResume(late)
	}
	g.mu.Lock()
	out := g.members.Resume(now)
	g.mu.Unlock()
	g.send(out)
	return now
}

// send sends the messages and feeds the answers to the state machine.
func (g *Gossip) send(list []rwprobecall.ProbeCall) {
	for _, s := range list {
		if s.ID == 0 {
			g.peers.Notify(s.Addr, s.Method, s.Probe)
			continue
		}
		go g.call(s)
	}
}

func (g *Gossip) call(s rwprobecall.ProbeCall) {
	ctx, cancel := context.WithTimeout(context.Background(), probeCallTimeout)
	defer cancel()
	var answer rwprobe.Probe
	err := g.callPeer(ctx, s, &answer)
	if err != nil && ctx.Err() != nil {
		// After a network outage, TCP may wait minutes before it sends
		// again; a new connection works at once.
		g.peers.CloseControl(s.Addr)
	}
	now := g.checkPause()
	g.mu.Lock()
	var out []rwprobecall.ProbeCall
	if err != nil {
		out = g.members.HandleCallFailure(now, s.ID)
	} else {
		out = g.members.HandleAnswer(now, s.ID, answer)
	}
	g.mu.Unlock()
	g.send(out)
	g.runCallbacks()
	if err == nil {
		g.reportMessage(rwidentity.Identity{Name: answer.Name, Addr: s.Addr, Inc: answer.Inc}, answer)
	}
}

func (g *Gossip) callPeer(ctx context.Context, s rwprobecall.ProbeCall, answer *rwprobe.Probe) error {
	var raw json.RawMessage
	if err := g.peers.Call(ctx, s.Addr, s.Method, s.Probe, &raw); err != nil {
		return err
	}
	var err error
	*answer, err = rwprobe.Decode(raw)
	return err
}

func (g *Gossip) handlePing(_ context.Context, from rwidentity.Identity, params json.RawMessage) (any, error) {
	msg, err := rwprobe.Decode(params)
	if err != nil {
		return nil, err
	}
	now := g.checkPause()
	g.mu.Lock()
	answer, out := g.members.HandlePing(now, from, msg)
	g.mu.Unlock()
	g.send(out)
	g.runCallbacks()
	g.reportMessage(from, msg)
	return answer, nil
}

func (g *Gossip) handleProbe(ctx context.Context, from rwidentity.Identity, params json.RawMessage) (any, error) {
	msg, err := rwprobe.Decode(params)
	if err != nil {
		return nil, err
	}
	now := g.checkPause()
	g.mu.Lock()
	s := g.members.HandleIndirectProbe(now, from, msg)
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var got rwprobe.Probe
	answer := &got
	if err := g.callPeer(ctx, s, &got); err != nil {
		answer = nil
	}
	now = g.checkPause()
	g.mu.Lock()
	reply := g.members.IndirectProbeResult(now, msg.Target, answer)
	g.mu.Unlock()
	g.runCallbacks()
	return reply, nil
}

func (g *Gossip) reportMessage(from rwidentity.Identity, msg rwprobe.Probe) {
	if g.OnMessage != nil {
		g.OnMessage(from, rwrevision.Revision{Era: msg.Era, Rev: msg.Rev}, msg.Digest)
	}
}

// runCallbacks reports the changes of the state machine.
func (g *Gossip) runCallbacks() {
	g.callbackMu.Lock()
	defer g.callbackMu.Unlock()
	g.mu.Lock()
	changes := g.members.TakeChanges()
	version := g.members.Version()
	g.mu.Unlock()
	for _, l := range changes.Leaving {
		if g.OnUpstreamLeaving != nil {
			g.OnUpstreamLeaving(l)
		}
	}
	for _, id := range changes.Gone {
		g.peers.CloseIncarnation(id)
		g.metrics.Add("members_gone", 1)
		rwlog.Info(&g.log, rwlog.MemberChanged).Str("member", id.Name).Int64("inc", id.Inc).Send()
		if g.OnGone != nil {
			g.OnGone(id)
		}
	}
	if version == g.notifiedVersion {
		return
	}
	g.notifiedVersion = version
	if g.OnLiveChange != nil {
		g.OnLiveChange()
	}
}
