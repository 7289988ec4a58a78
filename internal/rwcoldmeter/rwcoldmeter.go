// Package rwcoldmeter counts the requests that one router lets go to each upstream
// and says whether a cold one may get another. The bound holds over all routers and
// any second, and routers can't tell each other in time what they have sent, so each
// of the few routers that may send has a fixed part of it (rwcoldroster says which).
// The package reads no clock and does no I/O.
package rwcoldmeter

import (
	"math"
	"sync"
	"time"
)

const (
	// Validity is how long after its decision a grant for a cold upstream may be
	// used. A machine whose CPU quota has run out stalls for up to 100 ms, and
	// messages come that late too.
	Validity = 300 * time.Millisecond
	// transit is how much longer than another a request may take from the last check
	// of its grant to the upstream.
	transit = 150 * time.Millisecond
	// Window is the time over which requests are counted. Requests that arrive within
	// one second were let go within it, however late each grant was used.
	Window = time.Second + Validity + transit
	// maxSenders is the number of routers that may send to a cold upstream: a cut
	// may leave three parts of the fleet with an owner each.
	maxSenders = 3
	// maxAccountRatio is the largest part of the requests in a window that one
	// account may have.
	maxAccountRatio = 0.5
	// memory is how long an upstream that gets no requests is remembered.
	memory = time.Minute
)

// Split divides a bound on the requests in any second, which is rounded down, into
// the number of routers that may send and the number of requests of each in a Window.
func Split(bound float64) (senders, each int) {
	n := int(math.Floor(max(bound, 0)))
	senders = min(n, maxSenders)
	if senders == 0 {
		return 0, 0
	}
	return senders, n / senders
}

// Meter counts the requests of one router. It is safe for concurrent use.
type Meter struct {
	mu        sync.Mutex
	upstreams map[string]*upstream
	prunedAt  time.Time
}

type upstream struct {
	// since is when the meter heard of the upstream; before that, another owner may
	// have let requests go to it.
	since, usedAt time.Time
	// taken holds the requests of the last Window, oldest first.
	taken []taken
}

type taken struct {
	at      time.Time
	account string
}

// New returns a meter that has counted nothing.
func New() *Meter { return &Meter{upstreams: map[string]*upstream{}} }

// Room reports whether a cold upstream may get another request, of an account, where
// this router may let each requests go in a Window. It never may in the first Window
// after the meter has heard of the upstream.
func (m *Meter) Room(now time.Time, id, account string, each int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstream(now, id)
	if now.Sub(u.since) < Window || len(u.taken) >= each {
		return false
	}
	own := 0
	for _, t := range u.taken {
		if t.account == account {
			own++
		}
	}
	return account == "" || own < int(math.Ceil(float64(each)*maxAccountRatio))
}

// Free reports whether an upstream of which it isn't known whether it is cold may get
// another request, where this router may let each requests go in a Window.
func (m *Meter) Free(now time.Time, id string, each int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.upstream(now, id).taken) < each
}

// Take counts a request for an upstream. It is to be called for warm ones too, since
// what they got just before they turned cold counts.
func (m *Meter) Take(now time.Time, id, account string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstream(now, id)
	u.taken = append(u.taken, taken{now, account})
}

// Used returns the number of requests counted in the last Window.
func (m *Meter) Used(now time.Time, id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.upstreams[id]
	if u == nil {
		return 0
	}
	u.expire(now)
	return len(u.taken)
}

// upstream returns the counts of an upstream as of now.
func (m *Meter) upstream(now time.Time, id string) *upstream {
	if now.Sub(m.prunedAt) > memory {
		m.prunedAt = now
		for old, u := range m.upstreams {
			if now.Sub(u.usedAt) > memory {
				delete(m.upstreams, old)
			}
		}
	}
	u := m.upstreams[id]
	if u == nil {
		u = &upstream{since: now}
		m.upstreams[id] = u
	}
	u.usedAt = now
	u.expire(now)
	return u
}

func (u *upstream) expire(now time.Time) {
	n := 0
	for n < len(u.taken) && now.Sub(u.taken[n].at) >= Window {
		n++
	}
	u.taken = u.taken[n:]
}
