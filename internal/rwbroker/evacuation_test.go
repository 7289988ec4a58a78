package rwbroker

import (
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwprompt"
	"redwingworks.example/internal/rwrouteconfig"
)

// zonedSnapshot returns a snapshot of engines in zones "a" and "b" by turns; those of
// the zones given are evacuated.
func zonedSnapshot(engines, slots int, evacuated ...string) *rwconfigsnapshot.Snapshot {
	var list []rwinstance.Instance
	for i := range engines {
		zone := string(rune('a' + i%2))
		list = append(list, rwinstance.Instance{
			ID: "e" + strconv.Itoa(i), Service: "model", Addr: "10.0.0.1:" + strconv.Itoa(100+i), Zone: zone,
			Evacuated: slices.Contains(evacuated, zone),
		})
	}
	engine := &rwrouteconfig.Engine{Slots: slots, KVCapacity: 1e6, TokenBytes: 1000, LinkBitsPerSecond: 1e11}
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, []rwrouteconfig.Service{{Name: "model", Engine: engine}}, nil)
	return rwconfigsnapshot.New(config, 1, time.Now(), list)
}

// publish sets the snapshot of a router.
func publish(n *node, s *rwconfigsnapshot.Snapshot) {
	var p atomic.Pointer[rwconfigsnapshot.Snapshot]
	p.Store(s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Published = p.Load
}

// Guards against a grant on an evacuated engine that an owner makes who doesn't know
// of the evacuation yet, and against asking it once for each engine of the zone: with
// more of them than owners are tried, the request would end there.
func TestGrantOfAnOwnerThatLacksTheEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, zonedSnapshot(24, 4))
		first, fault := f.nodes["r0"].Acquire(t.Context(), "model", newRequest("1"))
		require.Nil(t, fault)
		owner, other := f.nodes[first.Owner], f.nodes["r0"]
		if owner == other {
			other = f.nodes["r1"]
		}
		publish(other, zonedSnapshot(24, 4, first.Instance.Zone))
		for i := range 10 {
			r := newRequest("r" + strconv.Itoa(i))
			r.Parts[0].ID = "shared" + strconv.Itoa(i)
			g, fault := other.Acquire(t.Context(), "model", r)
			require.Nil(t, fault)
			require.Equal(t, owner.id.Name, g.Owner)
			require.NotEqual(t, first.Instance.Zone, g.Instance.Zone)
			require.Empty(t, g.Source, "the owner would copy from the zone")
			g.End(rwplacement.Served)
		}
		require.NotNil(t, other.metrics.Counters.Get("evacuation_moved"), "the owner granted none in the zone")
	})
}

// Guards against a request that is queued at its owner and gets an engine of the zone
// once the evacuation is known, at its owner or only at the router that asked.
func TestQueuedRequestIsNotGrantedInTheZone(t *testing.T) {
	for name, ownerKnows := range map[string]bool{"owner knows": true, "requester knows": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, zonedSnapshot(2, 1))
				var held []Grant
				for i := range 2 {
					g, fault := f.nodes["r0"].Acquire(t.Context(), "model", newRequest(strconv.Itoa(i)))
					require.Nil(t, fault)
					held = append(held, g)
				}
				owner, other := f.nodes[held[0].Owner], f.nodes["r0"]
				if owner == other {
					other = f.nodes["r1"]
				}
				results := acquireQueued(t, other, owner)
				zone := held[0].Instance.Zone
				publish(other, zonedSnapshot(2, 1, zone))
				if ownerKnows {
					publish(owner, zonedSnapshot(2, 1, zone))
				}
				held[0].End(rwplacement.Served)
				time.Sleep(time.Second)
				held[1].End(rwplacement.Served)
				got := <-results
				require.Nil(t, got.fault)
				require.Equal(t, held[1].Instance.ID, got.grant.Instance.ID)
			})
		})
	}
}

// Guards against a caller that waits although all engines are evacuated, new or
// queued, and against a refusal that doesn't say why or when to return.
func TestNoEngineOutsideTheZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, zonedSnapshot(1, 1))
		first, fault := f.nodes["r0"].Acquire(t.Context(), "model", newRequest("1"))
		require.Nil(t, fault)
		owner, other := f.nodes[first.Owner], f.nodes["r0"]
		if owner == other {
			other = f.nodes["r1"]
		}
		results := acquireQueued(t, other, owner)
		publish(other, zonedSnapshot(1, 1, "a"))
		publish(owner, zonedSnapshot(1, 1, "a"))
		got := <-results
		require.Less(t, got.took, 500*time.Millisecond)
		require.Equal(t, rwcode.ZoneEvacuated, got.fault.Code)
		require.Equal(t, evacuatedRetryAfter, got.fault.RetryAfter)
		start := time.Now()
		_, fault = other.Acquire(t.Context(), "model", newRequest("3"))
		require.Equal(t, rwcode.ZoneEvacuated, fault.Code)
		require.Equal(t, evacuatedRetryAfter, fault.RetryAfter)
		require.Zero(t, time.Since(start))
		_, fault = other.Acquire(t.Context(), "none", newRequest("4"))
		require.Equal(t, rwcode.NoUpstream, fault.Code)

		// The zone is taken back while its request still runs there.
		publish(other, zonedSnapshot(1, 1))
		publish(owner, zonedSnapshot(1, 1))
		first.End(rwplacement.Served)
		g, fault := other.Acquire(t.Context(), "model", newRequest("5"))
		require.Nil(t, fault)
		require.Equal(t, "e0", g.Instance.ID)
	})
}

// Guards against a request that is refused since its cell has lost all engines to the
// evacuation while those of other cells are free, and against engines that change
// cells when a zone is evacuated.
func TestOtherCellsServeForAnEvacuatedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := zonedSnapshot(48, 4)
		n := cellsOf(before, "model")
		require.Greater(t, n, 1)
		var list []rwinstance.Instance
		for _, in := range before.Usable("model") {
			in.Evacuated = cellIndex(in.ID, n) == 0
			list = append(list, in)
		}
		after := rwconfigsnapshot.New(before.Config, 2, time.Now(), list)
		require.Equal(t, n, cellsOf(after, "model"))
		f := newFleet(t, 1, before)
		r0 := f.nodes["r0"]
		publish(r0, after)
		for i := range 40 {
			r := newRequest(strconv.Itoa(i))
			r.Parts[0] = rwprompt.Part{ID: "shared" + strconv.Itoa(i), Tokens: 5000}
			g, fault := r0.Acquire(t.Context(), "model", r)
			require.Nil(t, fault)
			require.NotZero(t, cellIndex(g.Instance.ID, n))
			g.End(rwplacement.Served)
		}
		// The request was for a cell with engines when it was sent.
		publish(r0, after)
		g, fault := r0.acquireFrom(t.Context(), r0.id, placeMessage{cellKey{Service: "model"}, newRequest("late")})
		require.Equal(t, rwcode.NoUpstream, fault.Code, "%v", g)
	})
}
