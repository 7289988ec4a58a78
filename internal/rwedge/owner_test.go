package rwedge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrouteconfig"
)

// placeParams are the parameters of the message "place".
type placeParams struct {
	Service string              `json:"svc"`
	Request rwplacement.Request `json:"ask"`
}

// newPeer returns another router's end of the links and its identity. It serves
// with the given handler of "place".
func newPeer(t *testing.T, network *testNetwork, place rwpeer.Handler) (*rwpeer.Peers, rwidentity.Identity) {
	l := network.listen(t)
	id := rwidentity.Identity{Name: "r2", Zone: "z", Addr: l.Addr().String(), Inc: 1}
	peers := rwpeer.New(id, "", nil, zerolog.Nop(), rwmetric.New())
	peers.Dial = network.Dial
	peers.Handle("place", place)
	go func() { _ = peers.Serve(t.Context(), l) }()
	return peers, id
}

// newEngineEdge returns a router whose service "model" has one engine.
func newEngineEdge(network *testNetwork) *Edge {
	e := newEdge()
	e.peers.Dial = network.Dial
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, []rwrouteconfig.Service{{Name: "model", Engine: &rwrouteconfig.Engine{Slots: 1, KVCapacity: 1e6}}}, nil)
	e.published.Store(rwconfigsnapshot.New(config, 1, time.Now(), []rwinstance.Instance{
		{ID: "e0", Service: "model", Addr: "10.0.0.1:1", Zone: "z"},
	}))
	return e
}

func newEngineRequest(id string) rwplacement.Request {
	return rwplacement.Request{ID: id, Router: "r2.1", Account: "acc", UniqueTokens: 500, ExpectedOutput: 10, Target: 5 * time.Second}
}

// Guards against a drain during which the router still queues the requests of
// other routers, which its end would leave without a decision.
func TestDrainStopsDecidingForOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		e := newEngineEdge(network)
		l := network.listen(t)
		go func() { _ = e.peers.Serve(t.Context(), l) }()
		peer, _ := newPeer(t, network, nil)
		verdict := func(id string) rwplacement.Verdict {
			var d rwplacement.Decision
			require.NoError(t, peer.Call(t.Context(), l.Addr().String(), "place", placeParams{"model", newEngineRequest(id)}, &d))
			return d.Verdict
		}
		require.Equal(t, rwplacement.Granted, verdict("1"))
		require.Equal(t, rwplacement.Queued, verdict("2"))
		go e.drain(t.Context())
		require.Eventually(t, func() bool { return verdict("3") == rwplacement.Moved }, time.Second, 20*time.Millisecond)
	})
}

// Guards against a request that waits for a router which has announced that it
// leaves.
func TestQueuedRequestFollowsLiveChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		e := newEngineEdge(network)
		asked := make(chan struct{}, 1)
		_, other := newPeer(t, network, rwpeer.Typed(func(_ context.Context, _ rwidentity.Identity, p placeParams) (any, error) {
			asked <- struct{}{}
			return rwplacement.Decision{ID: p.Request.ID, Verdict: rwplacement.Queued}, nil
		}))
		var left atomic.Bool
		e.broker.Live = func() []rwidentity.Identity {
			if left.Load() {
				return []rwidentity.Identity{e.self}
			}
			return []rwidentity.Identity{other}
		}
		e.broker.Reachable = func(string) bool { return true }
		placed := make(chan *rwfault.Fault, 1)
		go func() {
			_, fault := e.broker.Acquire(context.Background(), "model", newEngineRequest(""))
			placed <- fault
		}()
		<-asked
		left.Store(true)
		e.gossip.OnLiveChange()
		select {
		case fault := <-placed:
			require.Nil(t, fault)
		case <-time.After(time.Second):
			t.Fatal("the request still waits for the router that has left")
		}
	})
}
