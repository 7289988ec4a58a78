package rwrelay

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"redwingworks.example/internal/rwmux"
)

const (
	// firstLinks is the number of links that a relay opens at first, and moreLinks
	// the number of further ones each time that none of them takes connections, at
	// most once in growInterval.
	firstLinks, moreLinks = 16, 8
	growInterval          = 50 * time.Millisecond
	// dialTimeout bounds opening a link until the other router has shown that it
	// runs.
	dialTimeout = time.Second
	// silenceTimeout is how long after its last frame a router counts as running.
	silenceTimeout = time.Second
	// idleLinkTime is how long a link beyond firstLinks is kept without connections.
	idleLinkTime = 5 * time.Second
	// peersInterval is how often the list of the other routers is read again.
	peersInterval = 250 * time.Millisecond
)

// links holds the links to other routers.
type links struct {
	mu sync.Mutex
	// peers are the other routers as of peersAt.
	peers   []Peer
	peersAt time.Time
	// byAddr holds the links and those that are being opened.
	byAddr map[string]*link
	// want is the number of links to keep open; grownAt is when it last grew.
	want    int
	grownAt time.Time
	// changed is closed and replaced when a link has opened or failed to.
	changed chan struct{}
	// open ends when the links are closed, by cancel.
	open   context.Context
	cancel context.CancelFunc
}

// link is a kept connection to another router.
type link struct {
	Peer
	// mux is nil until the link is open, and after that doesn't change. failed is
	// whether it could not be opened.
	mux    *rwmux.Mux
	failed bool
	// skipUntil is until when the router is passed over.
	skipUntil time.Time
	// usedAt is when a connection was last passed on.
	usedAt time.Time
}

func newLinks() links {
	open, cancel := context.WithCancel(context.Background())
	return links{byAddr: map[string]*link{}, want: firstLinks, changed: make(chan struct{}), open: open, cancel: cancel}
}

// link returns a link on which a connection can be passed on, or nil. It waits until
// one is open if any is being opened.
func (r *Relay) link(ctx context.Context) *link {
	for {
		l, changed := r.chooseLink(time.Now())
		if l != nil || changed == nil {
			return l
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// chooseLink returns a random link in proportion to the capacity of its router. If no
// router takes connections, it returns a channel that is closed when a link that is
// being opened has opened or failed to, or nil.
func (r *Relay) chooseLink(now time.Time) (*link, <-chan struct{}) {
	ls := &r.links
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if now.Sub(ls.peersAt) >= peersInterval {
		ls.peers, ls.peersAt = r.Peers(), now
	}
	chosen := ls.choose(now)
	if chosen == nil && now.Sub(ls.grownAt) >= growInterval {
		ls.want, ls.grownAt = min(ls.want, len(ls.byAddr))+moreLinks, now
	}
	r.openLinks(now)
	if chosen != nil {
		chosen.usedAt = now
		return chosen, nil
	}
	for _, l := range ls.byAddr {
		if l.mux == nil && !l.failed {
			return nil, ls.changed
		}
	}
	return nil, nil
}

// Prepare opens the first links, so that a router that gets too many connections has
// them. It is called again and again.
func (r *Relay) Prepare(now time.Time) {
	ls := &r.links
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.peers, ls.peersAt = r.Peers(), now
	r.openLinks(now)
}

// openLinks opens links up to the number to keep. The caller must hold the lock.
func (r *Relay) openLinks(now time.Time) {
	ls := &r.links
	maps.DeleteFunc(ls.byAddr, func(_ string, l *link) bool { return l.failed && !now.Before(l.skipUntil) })
	for len(ls.byAddr) < ls.want && ls.open.Err() == nil {
		p, ok := ls.unlinked()
		if !ok {
			return
		}
		l := &link{Peer: p, usedAt: now}
		ls.byAddr[p.Addr] = l
		go r.keep(l)
	}
}

// choose returns a random link in proportion to the capacity of its router, one of
// the near ones if any can be used. The caller must hold the lock.
func (ls *links) choose(now time.Time) *link {
	var chosen *link
	near, total := false, 0
	for _, l := range ls.byAddr {
		if l.mux == nil || now.Before(l.skipUntil) || now.Sub(l.mux.Heard()) > silenceTimeout || near && !l.Near {
			continue
		}
		if l.Near && !near {
			near, total = true, 0
		}
		weight := max(l.Capacity, 1)
		if total += weight; rand.IntN(total) < weight {
			chosen = l
		}
	}
	return chosen
}

// unlinked returns a random router without a link, in proportion to its capacity, a
// near one if there is any. The caller must hold the lock.
func (ls *links) unlinked() (Peer, bool) {
	var chosen Peer
	near, total := false, 0
	for _, p := range ls.peers {
		if ls.byAddr[p.Addr] != nil || near && !p.Near {
			continue
		}
		if p.Near && !near {
			near, total = true, 0
		}
		weight := max(p.Capacity, 1)
		if total += weight; rand.IntN(total) < weight {
			chosen = p
		}
	}
	return chosen, total > 0
}

// decline passes a router over for a while.
func (ls *links) decline(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l.skipUntil = time.Now().Add(declinedTime)
}

// keep opens a link and keeps it until it ends or isn't used any more.
func (r *Relay) keep(l *link) {
	ls := &r.links
	m := r.openLink(l)
	ls.mu.Lock()
	if m == nil {
		l.failed, l.skipUntil = true, time.Now().Add(unreachableTime)
	}
	l.mux = m
	close(ls.changed)
	ls.changed = make(chan struct{})
	ls.mu.Unlock()
	if m == nil {
		return
	}
	ticker := time.NewTicker(idleLinkTime / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ls.open.Done():
			m.Shutdown()
			return
		case <-m.Ended():
			ls.remove(l)
			return
		case now := <-ticker.C:
			if ls.removeIdle(now, l) {
				m.Shutdown()
				return
			}
		}
	}
}

// openLink opens a link and waits until the other router has shown that it runs. It
// returns nil if that fails; the router is then passed over, and membership finds
// those that are gone.
func (r *Relay) openLink(l *link) *rwmux.Mux {
	ctx, cancel := context.WithTimeout(r.links.open, dialTimeout)
	defer cancel()
	conn, err := r.Dial(ctx, "tcp", l.Addr)
	if err != nil {
		return nil
	}
	m := rwmux.NewClient(conn)
	select {
	case <-m.Running():
		return m
	case <-m.Ended():
	case <-ctx.Done():
		m.Shutdown()
	}
	return nil
}

func (ls *links) remove(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.byAddr, l.Addr)
}

// removeIdle removes a link that wasn't used for idleLinkTime and carries nothing.
// It reports whether it did.
func (ls *links) removeIdle(now time.Time, l *link) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if len(ls.byAddr) <= firstLinks || now.Sub(l.usedAt) < idleLinkTime || l.mux.Streams() > 0 {
		return false
	}
	delete(ls.byAddr, l.Addr)
	ls.want = max(firstLinks, len(ls.byAddr))
	return true
}

// close ends all links once what was written to them has been sent.
func (ls *links) close() {
	ls.cancel()
	ls.mu.Lock()
	var open []*rwmux.Mux
	for _, l := range ls.byAddr {
		if l.mux != nil {
			open = append(open, l.mux)
		}
	}
	ls.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range open {
		wg.Go(m.Shutdown)
	}
	wg.Wait()
}
