package rwcatalogsync

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwrevision"
)

// router holds what one router has applied.
type router struct {
	*Syncer
	mu    sync.Mutex
	rev   rwrevision.Revision
	items []rwitem.Item
}

func at(rev int64) rwrevision.Revision { return rwrevision.Revision{Rev: rev} }

func (r *router) revision() rwrevision.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rev
}

// fleet starts peer links for the first two routers of a fleet in two zones, on a
// network in memory. The others are unreachable.
func fleet(t *testing.T, size int) []*router {
	var network rwmemnetwork.Network
	// Lets calls in progress end, which have timeouts.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	var live []rwidentity.Identity
	var listeners []net.Listener
	for i := range size {
		id := rwidentity.Identity{Name: "r" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i/2%2), Addr: "127.0.0.2:1"}
		if i < 2 {
			l, err := network.Listen("127.0.0.1:0")
			require.NoError(t, err)
			id.Addr = l.Addr().String()
			listeners = append(listeners, l)
		}
		live = append(live, id)
	}
	var out []*router
	for i := range 2 {
		peers := rwpeer.New(live[i], "0123456789abcdef", nil, zerolog.Nop(), rwmetric.New())
		peers.Dial = network.Dial
		r := &router{Syncer: New(peers)}
		r.Rev = r.revision
		r.Since = func(rev rwrevision.Revision) []rwitem.Item {
			r.mu.Lock()
			defer r.mu.Unlock()
			var list []rwitem.Item
			for _, it := range r.items {
				if it.Revision().After(rev) {
					list = append(list, it)
				}
			}
			return list
		}
		r.Apply = func(_ string, rev rwrevision.Revision, items []rwitem.Item) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.rev, r.items = rev, append(r.items, items...)
		}
		r.Live = func(zone string) []rwidentity.Identity {
			var list []rwidentity.Identity
			for _, id := range live {
				if zone == "" || id.Zone == zone {
					list = append(list, id)
				}
			}
			return list
		}
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = peers.Serve(ctx, listeners[i])
		}()
		t.Cleanup(func() {
			cancel()
			<-served
		})
		out = append(out, r)
	}
	return out
}

// Guards against a router that stays behind its peers because the store refuses
// its calls.
func TestRouterPullsWhatItLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := fleet(t, 4)
		r[0].Apply("store", at(7), []rwitem.Item{{Key: "a", Rev: 3}, {Key: "b", Rev: 7}})
		r[1].Apply("store", at(3), []rwitem.Item{{Key: "a", Rev: 3}})
		r[1].ObserveRev(r[0].self, at(7))
		time.Sleep(pullDelay)
		synctest.Wait()
		require.Equal(t, at(7), r[1].revision())
		require.Len(t, r[1].items, 2, "only the missing items were sent")
		r[1].ObserveRev(r[0].self, at(7))
	})
}

// Guards against a large fleet in which changes spread only with the probes.
func TestReadersTellTheirZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := fleet(t, 30)
		r[0].Apply("store", at(9), []rwitem.Item{{Key: "a", Rev: 9}})
		r[0].NotifyZone()
		time.Sleep(pullDelay)
		synctest.Wait()
		require.Equal(t, at(9), r[1].revision())
	})
}

// Guards against every router of a large fleet watching the store, and against
// zones without a reader.
func TestReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		small := fleet(t, allReadersFleetSize)
		require.True(t, small[0].IsReader())
		require.True(t, small[1].IsReader())
		big := fleet(t, 40)
		live := big[0].Live("z0")
		require.True(t, small[0].Watches())
		require.True(t, small[1].Watches())
		var readers []rwidentity.Identity
		watchers := 0
		for _, id := range live {
			s := &Syncer{self: id, Live: big[0].Live}
			if s.IsReader() {
				readers = append(readers, id)
			}
			if s.Watches() {
				require.True(t, s.IsReader())
				watchers++
			}
		}
		require.Len(t, readers, readersPerZone)
		require.Equal(t, watchersPerZone, watchers)
		require.ElementsMatch(t, readers, big[0].Readers())
		require.Len(t, small[0].Readers(), allReadersFleetSize/2, "all routers of a zone")
	})
}

// Guards against timers that end at once in virtual time. Go 1.26 runs them in the
// goroutines that start them, with one state of the race detector for all, so that the
// runtime crashes (SIGSEGV in __tsan::SlotLock) when several start at the same time.
func TestRoutersObserveRevisionsAtTheSameTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		live := fleet(t, 40)[0].Live("")
		var routers sync.WaitGroup
		observed := 0
		var missed atomic.Int64
		for _, id := range live {
			var asked atomic.Int64
			s := &Syncer{self: id, Live: func(zone string) []rwidentity.Identity {
				return slices.DeleteFunc(slices.Clone(live), func(o rwidentity.Identity) bool { return zone != "" && o.Zone != zone })
			}}
			// The router is behind when it observes a revision, and not any more later.
			s.Rev = func() rwrevision.Revision { return at(asked.Add(1) / 3) }
			if s.IsReader() {
				continue
			}
			observed++
			routers.Go(func() {
				for range 200 {
					asked.Store(0)
					s.ObserveRev(id, at(1))
					time.Sleep(2 * pullPause)
					if asked.Load() != 3 {
						missed.Add(1)
					}
				}
			})
		}
		require.Positive(t, observed)
		routers.Wait()
		require.Zero(t, missed.Load(), "a revision that the router lacks was ignored")
	})
}
