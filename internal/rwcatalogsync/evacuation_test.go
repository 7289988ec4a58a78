package rwcatalogsync

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcatalog"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwrevision"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwstorewatch"
)

const (
	// evacuateDeadline, configDeadline and stabilityWindow are those of the users'
	// deployments.
	evacuateDeadline = 5 * time.Second
	configDeadline   = 3 * time.Second
	stabilityWindow  = 4 * time.Second
	// probeInterval is the time between two messages of a router's membership that
	// state its revision; deadAfter is how long the others list a lost router.
	probeInterval = 250 * time.Millisecond
	deadAfter     = 2 * time.Second
	day           = 60 * time.Second
	tick          = 50 * time.Millisecond
)

var evacuationSeeds = flag.Uint64("evacuation-seeds", 4, "number of days with evacuations")

// modelStore is a store that the operator writes, and which may be down.
type modelStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]rwitem.Item
	changed chan struct{}
	down    bool
}

func (s *modelStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := rwitem.Item{Key: key, Value: []byte(value), Rev: s.rev}
	s.items[key] = it
	s.wake()
}

func (s *modelStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.items[key] = rwitem.Item{Key: key, Rev: s.rev, Deleted: true}
	s.wake()
}

func (s *modelStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *modelStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes after a revision, or all items but removals for a
// listing.
func (s *modelStore) since(after int64, listing bool) rwstorewatch.Batch {
	b := rwstorewatch.Batch{Rev: s.rev}
	for _, it := range s.items {
		if it.Rev > after && (!listing || !it.Deleted) {
			b.Items = append(b.Items, it)
		}
	}
	return b
}

// edgeRouter is a router with its catalog, store watcher and syncer.
type edgeRouter struct {
	*Syncer
	id      rwidentity.Identity
	watcher *rwstorewatch.Watcher
	world   *world

	mu      sync.Mutex
	catalog *rwcatalog.Catalog
	conns   map[net.Conn]bool
	// noStore and noPeers are whether its links to the store and to all other
	// routers are cut. The times are when either and the second one last were, or
	// when the router started.
	noStore, noPeers   bool
	troubled, peerless time.Time
}

// world is a fleet with its store. Its fields don't change after newWorld but for
// those of its parts and storeTroubled, which the main goroutine uses alone.
type world struct {
	store         *modelStore
	storeTroubled time.Time
	routers       []*edgeRouter
	byAddr        map[string]*edgeRouter
}

func zoneDecode(it rwitem.Item) (rwcatalog.Decoded, error) {
	if zone, ok := strings.CutPrefix(it.Key, "op/evacuate/"); ok {
		return rwcatalog.Decoded{Evacuated: zone}, nil
	}
	if it.Key == "op/config" {
		return rwcatalog.Decoded{Config: rwrouteconfig.New(it.Rev, rwrouteconfig.Limits{}, nil, nil, nil)}, nil
	}
	return rwcatalog.Decoded{Instance: &rwinstance.Instance{ID: it.Key, Zone: string(it.Value), StartMillis: 1}}, nil
}

func newWorld(t *testing.T, size int) *world {
	w := &world{
		store:         &modelStore{items: map[string]rwitem.Item{}, changed: make(chan struct{})},
		byAddr:        map[string]*edgeRouter{},
		storeTroubled: time.Now(),
	}
	var network rwmemnetwork.Network
	t.Cleanup(func() { time.Sleep(time.Minute) })
	// Routers run once all are known.
	var run []func()
	for i := range size {
		l, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		id := rwidentity.Identity{Name: "r" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i%3), Addr: l.Addr().String(), Inc: 1}
		peers := rwpeer.New(id, "0123456789abcdef", nil, zerolog.Nop(), rwmetric.New())
		r := &edgeRouter{
			Syncer: New(peers), id: id, world: w, catalog: rwcatalog.New(zoneDecode), conns: map[net.Conn]bool{},
			troubled: time.Now(), peerless: time.Now(),
		}
		peers.Dial = func(ctx context.Context, _, addr string) (net.Conn, error) {
			if r.cut() || w.byAddr[addr].cut() {
				return nil, rwfault.New(rwcode.PeerUnreachable, addr)
			}
			conn, err := network.Dial(ctx, "tcp", addr)
			if err == nil {
				r.keep(conn)
				w.byAddr[addr].keep(conn)
			}
			return conn, err
		}
		r.wire()
		w.routers, w.byAddr[id.Addr] = append(w.routers, r), r
		run = append(run, func() {
			ctx, cancel := context.WithCancel(context.Background())
			var parts sync.WaitGroup
			parts.Go(func() { _ = peers.Serve(ctx, l) })
			parts.Go(func() { _ = r.watcher.Run(ctx) })
			parts.Go(func() { r.probe(ctx, rand.New(rand.NewPCG(uint64(i), 7))) })
			t.Cleanup(func() {
				cancel()
				parts.Wait()
			})
		})
	}
	for _, f := range run {
		f()
	}
	return w
}

// wire connects the parts of a router as rwedge does.
func (r *edgeRouter) wire() {
	r.Rev = func() rwrevision.Revision {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.catalog.Rev()
	}
	r.Since = func(rev rwrevision.Revision) []rwitem.Item {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.catalog.Since(rev)
	}
	r.Apply = func(_ string, rev rwrevision.Revision, items []rwitem.Item) {
		r.update(func(now time.Time) bool {
			changed, _ := r.catalog.Apply(now, items)
			r.catalog.Advance(now, rev)
			return changed
		})
	}
	r.Orders = func() []string {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.catalog.Orders()
	}
	r.ApplyOrders = func(_ string, rev rwrevision.Revision, keys []string) {
		r.update(func(now time.Time) bool { return r.catalog.ApplyOrders(now, rev, keys) })
	}
	r.Live = func(zone string) []rwidentity.Identity {
		var list []rwidentity.Identity
		for _, other := range r.world.routers {
			if (zone == "" || other.id.Zone == zone) && (other == r || !other.lostFor(deadAfter)) {
				list = append(list, other.id)
			}
		}
		return list
	}
	r.watcher = &rwstorewatch.Watcher{
		Prefixes: []string{""}, List: r.list, ListStale: r.list, Known: r.Rev, Watch: r.watch, IsReader: r.IsReader, Watches: r.Watches,
		ApplyDeadline: configDeadline,
		OnError: func(string, error) {
			r.update(func(now time.Time) bool { r.catalog.NoteStoreFailure(now); return false })
		},
		OnChange: func(_ string, b rwstorewatch.Batch) {
			r.update(func(now time.Time) bool {
				changed, _ := r.catalog.Apply(now, b.Items)
				r.catalog.Advance(now, r.watcher.CompleteRev())
				return changed
			})
		},
		OnStale: func(_ string, b rwstorewatch.Batch) {
			r.update(func(now time.Time) bool {
				changed, _ := r.catalog.Apply(now, b.Items)
				return changed
			})
		},
		OnList: func(_ string, b rwstorewatch.Batch) {
			keys := map[string]bool{}
			for _, it := range b.Items {
				keys[it.Key] = true
			}
			r.update(func(now time.Time) bool {
				changed, _ := r.catalog.Apply(now, b.Items)
				removed := r.catalog.ApplyListing(now, b.Revision(), keys, func(string) bool { return true })
				r.catalog.Advance(now, r.watcher.CompleteRev())
				return changed || removed
			})
		},
	}
	r.Refresh = r.watcher.Refresh
}

func (r *edgeRouter) update(f func(time.Time) bool) {
	r.mu.Lock()
	changed := f(time.Now())
	r.mu.Unlock()
	if changed {
		r.NotifyZone()
	}
}

// probe exchanges revisions with random routers, as membership does.
func (r *edgeRouter) probe(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(probeInterval + time.Duration(random.IntN(20))*time.Millisecond)
		other := r.world.routers[random.IntN(len(r.world.routers))]
		if other != r && !r.cut() && !other.cut() {
			r.ObserveRev(other.id, other.Rev())
			other.ObserveRev(r.id, r.Rev())
		}
	}
}

func (r *edgeRouter) cut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noPeers
}

func (r *edgeRouter) lostFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noPeers && time.Since(r.peerless) >= d
}

func (r *edgeRouter) keep(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
}

// setLinks cuts or restores a router's links.
func (r *edgeRouter) setLinks(noStore, noPeers bool) {
	r.mu.Lock()
	if noPeers && !r.noPeers {
		r.peerless = time.Now()
	}
	r.noStore, r.noPeers = noStore, noPeers
	conns := r.conns
	if noPeers {
		r.conns = map[net.Conn]bool{}
	} else {
		conns = nil
	}
	r.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	r.world.store.mu.Lock()
	defer r.world.store.mu.Unlock()
	r.world.store.wake()
}

// reaches reports whether the store answers the router. The caller holds the store's
// lock.
func (r *edgeRouter) reaches() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.noStore && !r.world.store.down
}

func (r *edgeRouter) list(context.Context, string) (rwstorewatch.Batch, error) {
	time.Sleep(4 * time.Millisecond)
	s := r.world.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.reaches() {
		return rwstorewatch.Batch{}, rwfault.New(rwcode.PlatformDown, "down")
	}
	return s.since(0, true), nil
}

func (r *edgeRouter) watch(ctx context.Context, _ string, after int64, wait time.Duration) (rwstorewatch.Batch, error) {
	time.Sleep(4 * time.Millisecond)
	end, s := time.After(wait), r.world.store
	for {
		s.mu.Lock()
		changed, ok := s.changed, r.reaches()
		b := s.since(after, false)
		s.mu.Unlock()
		switch {
		case !ok:
			return rwstorewatch.Batch{}, rwfault.New(rwcode.PlatformDown, "down")
		case len(b.Items) > 0:
			return b, nil
		}
		select {
		case <-changed:
		case <-end:
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// evacuates reports whether the router gives no work to a zone. Every zone has one
// upstream, named after it.
func (r *edgeRouter) evacuates(zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, in := range r.catalog.Instances() {
		if in.Zone == zone {
			return in.Evacuated
		}
	}
	return false
}

// order is an operator's write about a zone.
type order struct {
	at        time.Time
	evacuated bool
}

// Guards against a router that sends to a zone later than the deadline after the order
// was acknowledged, though it was in touch: it reached the store and the store wasn't
// down for stabilityWindow. Such routers are to know it within half of the deadline.
// Routers that only the store turns away hear of it from others, within the deadline.
// Zones are evacuated at random times, one after the other, together, while the store
// is away, and taken back, at times at once.
func TestEvacuationReachesAllInTouch(t *testing.T) {
	for seed := range *evacuationSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playEvacuations(t, seed) })
		})
	}
}

func playEvacuations(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	w := newWorld(t, 30)
	orders := map[string]order{}
	for i := range 3 {
		zone := "z" + strconv.Itoa(i)
		w.store.put("servers/"+zone, zone)
		orders[zone] = order{at: time.Now()}
	}
	outOfTouch, checked := 0, 0
	for end := time.Now().Add(day); time.Now().Before(end); time.Sleep(tick) {
		if random.IntN(60) == 0 {
			w.changeLinks(random)
		}
		switch down := w.store.down; {
		case down:
			w.storeTroubled = time.Now()
			w.store.setDown(random.IntN(60) != 0)
		case random.IntN(400) == 0:
			w.store.setDown(true)
			w.storeTroubled = time.Now()
		}
		// The store acknowledges nothing while it is down.
		if !w.store.down && random.IntN(80) == 0 {
			w.writeOrder(random, orders)
		}
		for _, r := range w.routers {
			inTouch, heard := r.touch(time.Now(), w.storeTroubled)
			for zone, o := range maps.All(orders) {
				since := time.Since(o.at)
				if !o.evacuated {
					// Later than this the zone's return must be known too.
					if inTouch && since > evacuateDeadline {
						require.False(t, r.evacuates(zone), "%s doesn't know the return of %s after %v", r.id.Name, zone, since)
					}
					continue
				}
				switch {
				case inTouch && since > evacuateDeadline/2, heard && since > evacuateDeadline:
					checked++
					require.True(t, r.evacuates(zone), "%s sends to %s %v after the order (in touch: %v)", r.id.Name, zone, since, inTouch)
				case !heard:
					outOfTouch++
				}
			}
		}
	}
	require.Positive(t, checked)
	require.Positive(t, outOfTouch, "no router was out of touch")
}

// changeLinks cuts or restores the links of some routers or of a zone.
func (w *world) changeLinks(random *rand.Rand) {
	noStore, noPeers := random.IntN(2) == 0, random.IntN(3) == 0
	zone := "z" + strconv.Itoa(random.IntN(3))
	whole := random.IntN(4) == 0
	for _, r := range w.routers {
		if whole && r.id.Zone == zone || !whole && random.IntN(4) == 0 {
			r.setLinks(noStore || noPeers, noPeers)
		} else if random.IntN(3) == 0 {
			r.setLinks(false, false)
		}
	}
}

// writeOrder evacuates a random zone or takes it back, at times at once.
func (w *world) writeOrder(random *rand.Rand, orders map[string]order) {
	zone := "z" + strconv.Itoa(random.IntN(3))
	key := "op/evacuate/" + zone
	if orders[zone].evacuated {
		w.store.remove(key)
		orders[zone] = order{at: time.Now()}
		return
	}
	w.store.put(key, "{}")
	orders[zone] = order{time.Now(), true}
	if random.IntN(5) == 0 {
		w.store.remove(key)
		orders[zone] = order{at: time.Now()}
	}
}

// touch reports whether a router is in touch, and whether it reached others all the
// while so that it hears of what they know, at a moment at which the store was last
// down at a time.
func (r *edgeRouter) touch(now, storeTroubled time.Time) (inTouch, heard bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.noStore || r.noPeers {
		r.troubled = now
	}
	if r.noPeers {
		r.peerless = now
	}
	calm := now.Sub(storeTroubled) >= stabilityWindow
	return calm && now.Sub(r.troubled) >= stabilityWindow, calm && now.Sub(r.peerless) >= stabilityWindow
}
