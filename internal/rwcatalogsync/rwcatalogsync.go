// Package rwcatalogsync synchronises catalogs between routers, so that not all
// of them have to watch the platform's store, and so that a router whose calls
// the store refuses still receives changes.
package rwcatalogsync

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"redwingworks.example/internal/rwassembly"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdeflater"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwitem"
	"redwingworks.example/internal/rwleaving"
	"redwingworks.example/internal/rwpart"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwrendezvous"
	"redwingworks.example/internal/rwrevision"
)

const (
	// allReadersFleetSize is the fleet size up to which every router is a
	// reader and watches the store.
	allReadersFleetSize = 12
	// readersPerZone is how many routers of a zone are readers in larger
	// fleets; the others only list the store, and less often. watchersPerZone of
	// them watch it too.
	readersPerZone  = 2
	watchersPerZone = 1
	// pullDelay is how long a reader waits for a change to arrive from the
	// store before it pulls it from another router.
	pullDelay = 250 * time.Millisecond
	// pullTimeout bounds the wait for the first part of a pull, so that a lost router
	// doesn't keep this one from asking another; partTimeout bounds that for a later
	// part, which may wait for the other router's link, and partAttempts is how often
	// one is asked for. Together they are half of the time within which a change must
	// be active, so that another router can be asked after one that is lost midway.
	// pullPause is the time between two pulls.
	pullTimeout  = 500 * time.Millisecond
	partTimeout  = 750 * time.Millisecond
	partAttempts = 2
	pullPause    = 100 * time.Millisecond
	// partBytes is the approximate size of a part. A configuration may be larger than
	// a message, and a link of 10 Mbit/s takes 70 ms for a part.
	partBytes = 64 << 10
	// maxParts bounds a pull; rwassembly bounds what its parts contain.
	maxParts = 4096
	// maxSending is how many parts are sent at one time: each takes several times its
	// size of memory until it is written.
	maxSending = 8
)

// Syncer synchronises the catalog of one router. All fields are set before the
// first message.
type Syncer struct {
	// Rev returns the revision up to which this router has all changes.
	Rev func() rwrevision.Revision
	// Since returns the items with a higher revision, sorted by key and revision.
	Since func(rev rwrevision.Revision) []rwitem.Item
	// Apply applies items from another router, which has all changes up to rev.
	Apply func(from string, rev rwrevision.Revision, items []rwitem.Item)
	// Orders, if set, returns the keys of all items that order an evacuation.
	// ApplyOrders applies those of another router, which has all changes up to rev.
	Orders      func() []string
	ApplyOrders func(from string, rev rwrevision.Revision, keys []string)
	// OnLeaving is called when another router tells of an upstream that announced
	// its leaving.
	OnLeaving func(from string, u rwleaving.Upstream)
	// Refresh makes this router list the store soon.
	Refresh func()
	// OnTooLarge, if set, is called for a pull that ended because it exceeds a bound
	// or its parts don't fit together.
	OnTooLarge func(from string, err error)
	// Live returns the live routers of a zone, or of all zones if it is empty,
	// including this router.
	Live func(zone string) []rwidentity.Identity

	self  rwidentity.Identity
	peers *rwpeer.Peers
	// sending has a value for each part that is being sent.
	sending  chan struct{}
	deflater rwdeflater.Deflater

	mu      sync.Mutex
	pulling bool
	// askedEra is the highest era in which another router has told all that it
	// knows. Nothing is asked in era 0, in which the store hasn't returned.
	askedEra int64
}

type revisionMessage struct {
	rwrevision.Revision
}

type itemsMessage struct {
	rwrevision.Revision
	Items []rwitem.Item `json:"items"`
	// orders is what the first part of a pull says of orders, or nil.
	orders *orderList
}

// orderList has the keys of all items that order an evacuation.
type orderList struct {
	Keys []string `json:"keys"`
}

// partRequest asks for the items after a revision, from a position on.
type partRequest struct {
	rwrevision.Revision
	From rwpart.Position `json:"from"`
}

// partMessage has the revision up to which the sender has all changes.
type partMessage struct {
	rwrevision.Revision
	Parts []rwpart.Part `json:"parts,omitempty"`
	// Orders is set by routers that know of evacuations.
	Orders *orderList      `json:"orders,omitempty"`
	Next   rwpart.Position `json:"next"`
	Done   bool            `json:"done,omitempty"`
}

// New returns a syncer and registers its message handlers.
func New(peers *rwpeer.Peers) *Syncer {
	s := &Syncer{self: peers.Self(), peers: peers, sending: make(chan struct{}, maxSending)}
	peers.Handle("fresh", rwpeer.Typed(s.handleFresh))
	peers.Handle("pull", rwpeer.Typed(s.handlePull))
	peers.Handle("part", rwpeer.Typed(s.handlePart))
	peers.Handle("leaving", rwpeer.Typed(s.handleLeaving))
	return s
}

// IsReader reports whether this router reads the store for others: all do in a small
// fleet, and some of each zone in a larger one.
func (s *Syncer) IsReader() bool { return s.ranksBelow(readersPerZone) }

// Watches reports whether this router watches the store: all do in a small fleet, and
// one of each zone in a larger one. The other readers only list it, which is often
// enough if the one that watches is lost.
func (s *Syncer) Watches() bool { return s.ranksBelow(watchersPerZone) }

// ranksBelow reports whether fewer than n routers of the zone rank above this one, or
// the fleet is so small that all read the store.
func (s *Syncer) ranksBelow(n int) bool {
	if len(s.Live("")) <= allReadersFleetSize {
		return true
	}
	above := 0
	mine := rwrendezvous.Score("reader", s.self.Name)
	for _, id := range s.Live(s.self.Zone) {
		if id.Name != s.self.Name && rwrendezvous.Score("reader", id.Name) > mine {
			above++
		}
	}
	return above < n
}

// Readers returns the readers of this router's zone, which may include it.
func (s *Syncer) Readers() []rwidentity.Identity {
	list := s.Live(s.self.Zone)
	if len(s.Live("")) <= allReadersFleetSize {
		return list
	}
	slices.SortFunc(list, func(x, y rwidentity.Identity) int {
		return cmp.Compare(rwrendezvous.Score("reader", y.Name), rwrendezvous.Score("reader", x.Name))
	})
	return list[:min(len(list), readersPerZone)]
}

// NotifyZone announces this router's revision to the other routers of the zone,
// unless the fleet is so small that all of them watch the store.
func (s *Syncer) NotifyZone() {
	if len(s.Live("")) <= allReadersFleetSize {
		return
	}
	m := revisionMessage{s.Rev()}
	for _, id := range s.Live(s.self.Zone) {
		if id.Name != s.self.Name {
			s.peers.Notify(id.Addr, "fresh", m)
		}
	}
}

// NotifyLeaving tells all other routers that an upstream has announced its leaving.
func (s *Syncer) NotifyLeaving(u rwleaving.Upstream) {
	for _, id := range s.Live("") {
		if id.Name != s.self.Name {
			s.peers.Notify(id.Addr, "leaving", u)
		}
	}
}

func (s *Syncer) handleLeaving(_ context.Context, from rwidentity.Identity, u rwleaving.Upstream) (any, error) {
	s.OnLeaving(from.Name, u)
	return nil, nil
}

// ObserveRev compares another router's revision, which comes with every probe,
// and pulls from that router if this one is behind.
func (s *Syncer) ObserveRev(from rwidentity.Identity, rev rwrevision.Revision) {
	if mine := s.Rev(); rev.Era == 0 && mine.Era > 0 && rev.Rev > mine.Rev {
		// The other router runs an older release, whose revisions name no era.
		s.Refresh()
		return
	}
	if !s.lacks(rev) {
		return
	}
	reader := s.IsReader()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulling {
		return
	}
	s.pulling = true
	pull := func() {
		if s.lacks(rev) {
			s.pull(from)
		}
		time.AfterFunc(pullPause, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pulling = false
		})
	}
	if reader {
		time.AfterFunc(pullDelay, pull)
		return
	}
	go pull()
}

// lacks reports whether another router that has all changes up to a revision may
// know items that this one lacks: if the revision is higher, or if no router of this
// era has told yet what the store's copy lacks.
func (s *Syncer) lacks(rev rwrevision.Revision) bool {
	mine := s.Rev()
	if rev.After(mine) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return rev.Rev > 0 && rev.Era == mine.Era && mine.Era > s.askedEra
}

// pull asks another router for the items that this one lacks, or for all items if it
// has not asked before in the era of the other. A failed pull is retried after the
// next probe.
func (s *Syncer) pull(from rwidentity.Identity) {
	after := s.Rev()
	s.mu.Lock()
	all := after.Era > s.askedEra
	s.mu.Unlock()
	if all {
		after = rwrevision.Revision{}
	}
	m, err := s.pullParts(from, after)
	switch {
	case rwfault.Is(err, rwcode.PeerMalformed) && m.Rev == 0:
		// The other router runs an older release, which sends all at once.
		if s.call(from, pullTimeout, "pull", revisionMessage{after}, &m) != nil {
			return
		}
	case err != nil:
		if s.OnTooLarge != nil && (rwfault.Is(err, rwcode.PeerMalformed) || rwfault.Is(err, rwcode.PeerSize)) {
			s.OnTooLarge(from.Name, err)
		}
		return
	}
	s.Apply(from.Name, m.Revision, m.Items)
	if m.orders != nil && s.ApplyOrders != nil {
		s.ApplyOrders(from.Name, m.Revision, m.orders.Keys)
	}
	if all {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.askedEra = max(s.askedEra, m.Era)
	}
}

func (s *Syncer) call(to rwidentity.Identity, timeout time.Duration, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.peers.CallData(ctx, to.Addr, method, params, result)
}

// pullParts returns the items of another router after a revision, and the revision up
// to which they are complete, which is that of the first part: items that change while
// the others arrive may come twice or be missed. The revision is zero if the other
// router has sent no part. It fails with the code of the call, with PeerSize, or with
// PeerMalformed if parts don't fit together or the other router has lost its items.
func (s *Syncer) pullParts(from rwidentity.Identity, after rwrevision.Revision) (itemsMessage, error) {
	var out itemsMessage
	var assembly rwassembly.Assembly
	request := partRequest{Revision: after}
	for i := range maxParts {
		var m partMessage
		var err error
		if i == 0 {
			err = s.call(from, pullTimeout, "part", request, &m)
			out.Revision, out.orders = m.Revision, m.Orders
		} else {
			err = s.nextPart(from, request, &m)
		}
		if err != nil {
			return out, err
		}
		if out.After(m.Revision) {
			return out, rwfault.New(rwcode.PeerMalformed, "the other router started again")
		}
		if err := assembly.Add(m.Parts); err != nil {
			return out, err
		}
		if m.Done {
			out.Items = assembly.Items()
			return out, nil
		}
		request.From = m.Next
	}
	return out, rwfault.New(rwcode.PeerSize, "more than the largest number of parts")
}

// nextPart asks for a part up to partAttempts times: beginning again would cost the
// links more than a lost part.
func (s *Syncer) nextPart(from rwidentity.Identity, request partRequest, m *partMessage) error {
	var err error
	for range partAttempts {
		*m = partMessage{}
		if err = s.call(from, partTimeout, "part", request, m); !rwfault.Is(err, rwcode.PeerUnreachable) {
			return err
		}
	}
	return err
}

// handlePart sends a part of what a router lacks. It waits while maxSending others are
// sent.
func (s *Syncer) handlePart(ctx context.Context, _ rwidentity.Identity, m partRequest) (any, error) {
	select {
	case s.sending <- struct{}{}:
	case <-time.After(partTimeout):
		// The other router no longer waits.
		return nil, rwfault.New(rwcode.PeerUnreachable, "too many parts are being sent")
	case <-ctx.Done():
		return nil, rwfault.Wrap(rwcode.PeerUnreachable, ctx.Err())
	}
	out := partMessage{Revision: s.Rev()}
	out.Parts, out.Next, out.Done = rwpart.Cut(s.Since(m.Revision), m.From, partBytes, s.deflater.Encode)
	if s.Orders != nil && m.From == (rwpart.Position{}) {
		out.Orders = &orderList{s.Orders()}
	}
	return rwpeer.Reply{Result: out, Written: func() { <-s.sending }}, nil
}

func (s *Syncer) handleFresh(_ context.Context, from rwidentity.Identity, m revisionMessage) (any, error) {
	s.ObserveRev(from, m.Revision)
	return nil, nil
}

func (s *Syncer) handlePull(_ context.Context, _ rwidentity.Identity, m revisionMessage) (any, error) {
	return itemsMessage{Revision: s.Rev(), Items: s.Since(m.Revision)}, nil
}
