package rwbroker

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwcoldguard"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwrouteconfig"
)

const (
	key = "0123456789abcdef"
	// testStreamWindow is how long streams last at most.
	testStreamWindow = 10 * time.Second
)

// node is one router with its peer links.
type node struct {
	*Broker
	id rwidentity.Identity
	// stop ends the router and waits until its links are closed.
	stop func()
}

// fleet is a set of routers that all see the same live routers.
type fleet struct {
	mu   sync.Mutex
	live []rwidentity.Identity
	// readers are the routers that read the store for others.
	readers []rwidentity.Identity
	nodes   map[string]*node
	// windows replaces testStreamWindow for routers by name.
	windows map[string]time.Duration
}

func newSnapshot(engines, slots int) *rwconfigsnapshot.Snapshot {
	var list []rwinstance.Instance
	for i := range engines {
		list = append(list, rwinstance.Instance{ID: "e" + strconv.Itoa(i), Service: "model", Addr: "10.0.0.1:" + strconv.Itoa(100+i), Zone: "z"})
	}
	list = append(list, rwinstance.Instance{ID: "gone", Service: "model", Addr: "10.0.0.2:1", Leaving: true})
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, []rwrouteconfig.Service{{Name: "model", Engine: &rwrouteconfig.Engine{Slots: slots, KVCapacity: 1e6}}}, nil)
	return rwconfigsnapshot.New(config, 1, time.Now(), list)
}

func newFleet(t *testing.T, routers int, published *rwconfigsnapshot.Snapshot) *fleet {
	f := &fleet{nodes: map[string]*node{}}
	var network rwmemnetwork.Network
	// Lets calls in progress end, which have timeouts.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	for i := range routers {
		l, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		id := rwidentity.Identity{Name: "r" + strconv.Itoa(i), Zone: "z", Addr: l.Addr().String(), Inc: int64(i + 1)}
		metrics := rwmetric.New()
		peers := rwpeer.New(id, key, nil, zerolog.Nop(), metrics)
		peers.Dial = network.Dial
		b := New(id, peers, metrics)
		b.Published = func() *rwconfigsnapshot.Snapshot { return published }
		b.Live = f.members
		b.Cold = rwcoldguard.New(time.Now(), id.Name, routers > 1)
		b.Cold.Service = published.Config.Service
		b.Reachable = func(string) bool { return true }
		b.ShareWindow = 2 * time.Second
		b.StreamWindow = func() time.Duration { return f.window(id.Name) }
		b.Readers = func() []rwidentity.Identity {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.readers
		}
		b.FleetSize = func() int { return routers }
		ctx, cancel := context.WithCancel(context.Background())
		var parts sync.WaitGroup
		parts.Go(func() { _ = peers.Serve(ctx, l) })
		parts.Go(func() { _ = b.Run(ctx) })
		t.Cleanup(func() {
			cancel()
			parts.Wait()
		})
		f.setLive(append(f.members(), id)...)
		f.nodes[id.Name] = &node{Broker: b, id: id, stop: func() {
			cancel()
			synctest.Wait()
		}}
	}
	return f
}

func (f *fleet) window(router string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cmp.Or(f.windows[router], testStreamWindow)
}

func (f *fleet) members() []rwidentity.Identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]rwidentity.Identity(nil), f.live...)
}

func newRequest(own string) rwplacement.Request {
	return rwplacement.Request{
		Account: "acc", UniqueTokens: 500, ExpectedOutput: 10, Target: 400 * time.Millisecond,
		Parts: []rwprompt.Part{{ID: "shared", Tokens: 5000}, {ID: own, Tokens: 500}},
	}
}

// Guards against routers that place the same prompt on different engines, and
// against progress reports that don't reach the owner.
func TestAllRoutersAskOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, newSnapshot(4, 2))
		engines, owners := map[string]bool{}, map[string]bool{}
		var grants []Grant
		for i, n := range []string{"r0", "r1", "r2"} {
			g, fault := f.nodes[n].Acquire(t.Context(), "model", newRequest(strconv.Itoa(i)))
			require.Nil(t, fault)
			engines[g.Instance.ID], owners[g.Owner] = true, true
			grants = append(grants, g)
			if i == 1 {
				grants[0].FirstEvent()
				grants[0].End(rwplacement.Served)
				time.Sleep(100 * time.Millisecond)
			}
		}
		require.Len(t, owners, 1)
		require.Len(t, engines, 1, "the engine that caches the parts has a free slot again")
	})
}

// Guards against a queued request that never gets a decision.
func TestWaitingRequestGetsItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, newSnapshot(1, 1))
		first, fault := f.nodes["r0"].Acquire(t.Context(), "model", newRequest("1"))
		require.Nil(t, fault)
		time.AfterFunc(50*time.Millisecond, func() {
			first.FirstEvent()
			first.End(rwplacement.Served)
		})
		for _, n := range []string{"r1", "r0"} {
			g, fault := f.nodes[n].Acquire(t.Context(), "model", newRequest("2"+n))
			require.Nil(t, fault)
			g.FirstEvent()
			g.End(rwplacement.Served)
		}
	})
}

// Guards against requests that hang or fail because the owner of their cell has
// failed.
func TestNextInRankTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, newSnapshot(4, 8))
		g, fault := f.nodes["r0"].Acquire(t.Context(), "model", newRequest("1"))
		require.Nil(t, fault)
		owner := g.Owner
		f.nodes[owner].stop()
		for name, n := range f.nodes {
			if name == owner {
				continue
			}
			start := time.Now()
			g, fault := n.Acquire(t.Context(), "model", newRequest("2"+name))
			require.Nil(t, fault)
			require.NotEqual(t, owner, g.Owner)
			require.Less(t, time.Since(start), time.Second)
		}
	})
}

// result is what Acquire returned.
type result struct {
	grant Grant
	fault *rwfault.Fault
	took  time.Duration
}

// acquireQueued starts Acquire for a request with a target of 5 s and returns
// once the request is the only one queued at the owner of the cell.
func acquireQueued(t *testing.T, requester, owner *node) <-chan result {
	results := make(chan result, 1)
	go func() {
		r := newRequest("2")
		r.Target = 5 * time.Second
		start := time.Now()
		g, fault := requester.Acquire(context.Background(), "model", r)
		results <- result{g, fault, time.Since(start)}
	}()
	require.Eventually(t, func() bool {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		return owner.cells[cellKey{Service: "model"}].placer.QueueLength() == 1
	}, time.Second, time.Millisecond)
	return results
}

// newBusyFleet returns a fleet of two routers whose only engine is busy with a
// request, the owner of its cell and the other router.
func newBusyFleet(t *testing.T) (f *fleet, first Grant, owner, other *node) {
	f = newFleet(t, 2, newSnapshot(1, 1))
	first, fault := f.nodes["r0"].Acquire(t.Context(), "model", newRequest("1"))
	require.Nil(t, fault)
	owner, other = f.nodes[first.Owner], f.nodes["r0"]
	if owner == other {
		other = f.nodes["r1"]
	}
	return f, first, owner, other
}

func (f *fleet) setLive(live ...rwidentity.Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = live
}

// Guards against a request that stays queued at an owner which has left: the next
// owner has a free engine, but the request waits for its whole target and is
// then refused.
func TestQueuedRequestOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, first, owner, other := newBusyFleet(t)
		results := acquireQueued(t, other, owner)
		// The owner leaves, its process ends once it has announced that, and then the
		// engine becomes free.
		f.setLive(other.id)
		time.Sleep(2 * ownerCacheTTL)
		owner.stop()
		other.RemoveRouter(owner.id)
		time.Sleep(2 * slowTick)
		first.End(rwplacement.Served)
		got := <-results
		require.Nil(t, got.fault, "after %v", got.took)
		require.Less(t, got.took, 2*time.Second)
		require.Equal(t, other.id.Name, got.grant.Owner)
	})
}

// Guards against requests, of another router or its own, that stay queued at a
// router that has announced that it leaves, and against one that is queued there
// afterwards.
func TestLeavingOwnerHandsItsQueueOver(t *testing.T) {
	for name, c := range map[string]struct{ own, announced bool }{
		"request of another router":                         {false, true},
		"request of another router that hasn't heard of it": {false, false},
		"own request": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _, owner, other := newBusyFleet(t)
				requester := other
				if c.own {
					requester = owner
				}
				results := acquireQueued(t, requester, owner)
				if c.announced {
					f.setLive(other.id)
				}
				owner.Leave()
				got := <-results
				require.Nil(t, got.fault, "after %v", got.took)
				require.Less(t, got.took, time.Second)
				require.Equal(t, other.id.Name, got.grant.Owner)
				require.Positive(t, got.grant.Forecast)

				d := owner.decide(cellKey{Service: "model"}, newRequest("3"), other.id)
				require.Equal(t, rwplacement.Moved, d.Verdict)
				require.Equal(t, other.id.Name, requester.owner(cellKey{Service: "model"}).Name, "the leaving router is asked again")
				require.Empty(t, requester.pendingDecisions)
			})
		})
	}
}

// Guards against requests that wait for their whole target at an owner which has
// dropped its cells after a pause.
func TestPausedOwnerHandsItsQueueOver(t *testing.T) {
	for name, own := range map[string]bool{"request of another router": false, "own request": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, _, owner, other := newBusyFleet(t)
				requester := other
				if own {
					requester = owner
				}
				results := acquireQueued(t, requester, owner)
				owner.Reset()
				got := <-results
				require.Nil(t, got.fault, "after %v", got.took)
				require.Less(t, got.took, time.Second)
			})
		})
	}
}

// Guards against a request that waits for a router which was declared dead or has
// announced that it leaves, and against a slot that stays taken because that
// router still grants the request.
func TestLateGrantOfPreviousOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, first, owner, other := newBusyFleet(t)
		results := acquireQueued(t, other, owner)
		f.setLive(other.id)
		// While the owner's lock is held, its handlers read no message.
		owner.mu.Lock()
		other.MembersChanged()
		got := <-results
		c := owner.cells[cellKey{Service: "model"}]
		c.placer.Ended(time.Now(), first.ID, rwplacement.Served)
		decisions := c.placer.Tick(time.Now())
		for _, d := range decisions {
			owner.sendDecision(other.id, d)
		}
		owner.mu.Unlock()
		require.Len(t, decisions, 1)
		require.Equal(t, rwplacement.Granted, decisions[0].Verdict)
		require.Nil(t, got.fault, "after %v", got.took)
		require.Equal(t, other.id.Name, got.grant.Owner)
		require.NotEqual(t, decisions[0].ID, got.grant.ID)

		f.setLive(owner.id)
		owner.MembersChanged()
		r := newRequest("3")
		r.Target = 2 * time.Second
		g, fault := owner.Acquire(t.Context(), "model", r)
		require.Nil(t, fault, "the late grant still holds the slot")
		require.Equal(t, owner.id.Name, g.Owner)
	})
}

// Guards against requests that are refused because no other router can decide on
// them.
func TestOnlyRouterLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, newSnapshot(1, 1))
		n := f.nodes["r0"]
		first, fault := n.Acquire(t.Context(), "model", newRequest("1"))
		require.Nil(t, fault)
		results := acquireQueued(t, n, n)
		f.setLive()
		n.Leave()
		for range 2 * maxOwnersTried {
			n.MembersChanged()
			time.Sleep(2 * fastTick)
		}
		first.End(rwplacement.Served)
		got := <-results
		require.Nil(t, got.fault, "after %v", got.took)
		require.Less(t, got.took, 2*time.Second)
		got.grant.End(rwplacement.Served)
		g, fault := n.Acquire(t.Context(), "model", newRequest("3"))
		require.Nil(t, fault)
		require.Equal(t, "r0", g.Owner)
	})
}

// Guards against requests that are passed on without end while all routers leave.
func TestAllRoutersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, newSnapshot(1, 1))
		for _, n := range f.nodes {
			n.Leave()
		}
		for _, n := range f.nodes {
			g, fault := n.Acquire(t.Context(), "model", newRequest("1"+n.id.Name))
			require.Nil(t, fault)
			require.Equal(t, n.id.Name, g.Owner)
		}
	})
}

// Guards against taking the decision of a router of a later version for a grant.
func TestUnknownVerdictIsARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFleet(t, 1, newSnapshot(1, 1)).nodes["r0"]
		_, fault := n.toGrant(Grant{}, rwplacement.Decision{Verdict: rwplacement.Moved + 1, Engine: "e0"})
		require.NotNil(t, fault)
		require.Equal(t, rwcode.PeerVersion, fault.Code)
		require.Equal(t, rwoutcome.NotRun, fault.Outcome)
	})
}

// Guards against treating an owner as failed because its answer takes as long
// as a request may be queued.
func TestRefusalHasARetryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, newSnapshot(1, 1))
		g, fault := f.nodes["r0"].Acquire(t.Context(), "model", newRequest("1"))
		require.Nil(t, fault)
		defer g.End(rwplacement.Served)
		start := time.Now()
		_, fault = f.nodes["r1"].Acquire(t.Context(), "model", newRequest("2"))
		require.NotNil(t, fault)
		require.Equal(t, rwcode.DeadlineUnreachable, fault.Code)
		require.Positive(t, fault.RetryAfter)
		require.Less(t, time.Since(start), 500*time.Millisecond)
		_, fault = f.nodes["r0"].Acquire(t.Context(), "other", newRequest("3"))
		require.Equal(t, rwcode.NoUpstream, fault.Code)
	})
}

// Guards against a caller that has disconnected but stays in the queue.
func TestCallerDisconnectsWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, newSnapshot(1, 1))
		n := f.nodes["r0"]
		g, fault := n.Acquire(t.Context(), "model", newRequest("1"))
		require.Nil(t, fault)
		defer g.End(rwplacement.Served)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		_, fault = n.Acquire(ctx, "model", newRequest("2"))
		require.True(t, rwfault.Is(fault, rwcode.DeadlineExceeded))
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, c := range n.cells {
			require.Zero(t, c.placer.QueueLength())
		}
		require.Empty(t, n.pendingDecisions)
	})
}

// Guards against cells of very different sizes, and against dividing a small
// pool.
func TestCells(t *testing.T) {
	require.Equal(t, 1, cellCount(9))
	require.Equal(t, 1, cellCount(maxSingleCellPool))
	sizes := map[int]int{}
	n := cellCount(90)
	for i := range 90 {
		sizes[cellIndex("e"+strconv.Itoa(i), n)]++
	}
	require.Equal(t, 8, n)
	for _, size := range sizes {
		require.Less(t, size, 3*meanCellSize)
	}
}

// Guards against cells owned by the machines with the least capacity for them:
// a quarter of the routers have a fifth of the capacity of the others.
func TestStrongMachinesOwnCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, newSnapshot(4, 2))
		weak := 0
		for i := range 40 {
			id := rwidentity.Identity{Name: "m" + strconv.Itoa(i), Capacity: 800}
			if i%4 == 0 {
				id.Capacity = 160
			}
			f.setLive(append(f.members(), id)...)
		}
		const many = 400
		for i := range many {
			if f.nodes["r0"].owner(cellKey{"model", i}).Capacity != 800 {
				weak++
			}
		}
		require.Less(t, weak, many/20)
	})
}

// Guards against sending requests to a router that just failed to answer,
// because it is still cached as the owner.
func TestDoubtEndsARanking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, newSnapshot(4, 2))
		n := f.nodes["r0"]
		for i := range 20 {
			k := cellKey{"model", i}
			first := n.owner(k)
			if first.Name == "r0" {
				continue
			}
			n.markSuspect(first.Name)
			require.NotEqual(t, first.Name, n.owner(k).Name)
			return
		}
		t.Fatal("no cell has another owner")
	})
}
