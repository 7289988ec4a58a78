// Package rwoverload decides what a router does that gets more requests than its
// machine can serve. The balancer spreads callers by a hash and knows nothing of
// load: two fifths of the requests of one large client account reached a machine
// of 0.2 cores, which read nearly all of them too late while its neighbours had
// room. Such a router refuses a part of its requests before it has spent work on
// them, because callers try again elsewhere, and asks for no new callers.
package rwoverload

import (
	"sync"
	"time"
)

const (
	// weight is the part of one step in the average lateness. With steps of
	// 50 ms that is a memory of about a second.
	weight = 0.05
	// longest bounds what one step counts, so that a freeze, in which nobody
	// asked the router for anything, moves the average by 3 ms only.
	longest = 60 * time.Millisecond
	// leaveAt is the average lateness from which the router leaves, returnAt
	// the one up to which it may return. Goroutines of a machine with room wait
	// under a millisecond, those of a saturated one 5 to 130 ms.
	leaveAt  = 12 * time.Millisecond
	returnAt = 2 * time.Millisecond
	// shortWeight and shortLongest are weight and longest of the average that
	// refusals follow, which has a memory of a fifth of a second. It passes
	// refuseAt after two late steps in a row; a processor quota makes one.
	shortWeight  = 0.2
	shortLongest = 40 * time.Millisecond
	refuseAt     = 10 * time.Millisecond
	// refuseMore and refuseLess are how far the refused part of the requests
	// moves in one step. A saturated machine takes about ten steps a second,
	// so the part is right within a second, and gone a second or two after.
	refuseMore, refuseLess = 0.08, 0.02
	// refuseMost leaves some requests that show whether the machine has room.
	refuseMost = 0.9
	// noticed is the time that the balancer takes to send new connections
	// elsewhere: two checks a second apart. Connections that are closed before
	// that come back to this router.
	noticed = 2200 * time.Millisecond
	// firstStay is how long a router stays away. It doubles up to longestStay
	// for a router that leaves again within calm: the same callers found it.
	firstStay   = 4 * time.Second
	longestStay = 16 * time.Second
	calm        = 10 * time.Second
)

// Controller is the state of one router. Its methods may be called concurrently.
type Controller struct {
	mu sync.Mutex
	// late and short are the averages of the lateness of recent steps.
	late, short time.Duration
	// refused is the part of the requests to refuse, from 0 to refuseMost.
	refused float64
	// out is whether the router is away. left and returned are the times of
	// the last changes, stay is the time that it stays away.
	out            bool
	left, returned time.Time
	stay           time.Duration
}

// New returns a router that has room.
func New() *Controller { return &Controller{} }

// Observe takes how late the router does its work, every 50 ms. It reports whether
// Out changed.
func (p *Controller) Observe(now time.Time, late time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	late = max(late, 0)
	p.late += time.Duration(weight * float64(min(late, longest)-p.late))
	p.short += time.Duration(shortWeight * float64(min(late, shortLongest)-p.short))
	if p.short > refuseAt {
		p.refused = min(p.refused+refuseMore, refuseMost)
	} else {
		p.refused = max(p.refused-refuseLess, 0)
	}
	switch {
	case !p.out && p.late >= leaveAt:
		p.stay = min(max(2*p.stay, firstStay), longestStay)
		if now.Sub(p.returned) > calm {
			p.stay = firstStay
		}
		p.out, p.left = true, now
		return true
	case p.out && p.late <= returnAt && now.Sub(p.left) >= p.stay:
		p.out, p.returned = false, now
		return true
	}
	return false
}

// OutOfRotation reports whether the router asks for no new callers.
func (p *Controller) OutOfRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out
}

// ShouldRefuse reports whether to refuse a request for which a number from 0 to 1 was
// drawn.
func (p *Controller) ShouldRefuse(drawn float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return drawn < p.refused
}

// Saturated reports whether the machine is or was of late short of processor time,
// so that work should be done in the cheapest way.
func (p *Controller) Saturated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused > 0 || p.out
}

// CloseConnections reports whether connections of callers should close after their
// answers, because the router is still late and new ones go elsewhere.
func (p *Controller) CloseConnections(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out && p.late > returnAt && now.Sub(p.left) >= noticed
}
