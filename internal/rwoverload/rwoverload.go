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
	// slowWeight is the part of one step in the average lateness. With steps of
	// 50 ms that is a memory of about a second.
	slowWeight = 0.05
	// slowMaxSample bounds what one step counts, so that a freeze, in which nobody
	// asked the router for anything, moves the average by 3 ms only.
	slowMaxSample = 60 * time.Millisecond
	// leaveLateness is the average lateness from which the router leaves, returnAt
	// the one up to which it may return. Goroutines of a machine with room wait
	// under a millisecond, those of a saturated one 5 to 130 ms.
	leaveLateness  = 12 * time.Millisecond
	returnLateness = 2 * time.Millisecond
	// fastWeight and shortLongest are weight and longest of the average that
	// refusals follow, which has a memory of a fifth of a second. It passes
	// refuseAt after two late steps in a row; a processor quota makes one.
	fastWeight     = 0.2
	fastMaxSample  = 40 * time.Millisecond
	refuseLateness = 10 * time.Millisecond
	// refusedRatioUp and refuseLess are how far the refused part of the requests
	// moves in one step. A saturated machine takes about ten steps a second,
	// so the part is right within a second, and gone a second or two after.
	refusedRatioUp, refusedRatioDown = 0.08, 0.02
	// maxRefusedRatio leaves some requests that show whether the machine has room.
	maxRefusedRatio = 0.9
	// balancerDelay is the time that the balancer takes to send new connections
	// elsewhere: two checks a second apart. Connections that are closed before
	// that come back to this router.
	balancerDelay = 2200 * time.Millisecond
	// minAway is how long a router stays away. It doubles up to longestStay
	// for a router that leaves again within calm: the same callers found it.
	minAway    = 4 * time.Second
	maxAway    = 16 * time.Second
	calmPeriod = 10 * time.Second
)

// Controller is the state of one router. Its methods may be called concurrently.
type Controller struct {
	mu sync.Mutex
	// slowLateness and short are the averages of the lateness of recent steps.
	slowLateness, fastLateness time.Duration
	// refusedRatio is the part of the requests to refuse, from 0 to refuseMost.
	refusedRatio float64
	// out is whether the router is away. left and returned are the times of
	// the last changes, stay is the time that it stays away.
	out                bool
	leftAt, returnedAt time.Time
	away               time.Duration
}

// New returns a router that has room.
func New() *Controller { return &Controller{} }

// Observe takes how late the router does its work, every 50 ms. It reports whether
// Out changed.
func (c *Controller) Observe(now time.Time, late time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late = max(late, 0)
	c.slowLateness += time.Duration(slowWeight * float64(min(late, slowMaxSample)-c.slowLateness))
	c.fastLateness += time.Duration(fastWeight * float64(min(late, fastMaxSample)-c.fastLateness))
	if c.fastLateness > refuseLateness {
		c.refusedRatio = min(c.refusedRatio+refusedRatioUp, maxRefusedRatio)
	} else {
		c.refusedRatio = max(c.refusedRatio-refusedRatioDown, 0)
	}
	switch {
	case !c.out && c.slowLateness >= leaveLateness:
		c.away = min(max(2*c.away, minAway), maxAway)
		if now.Sub(c.returnedAt) > calmPeriod {
			c.away = minAway
		}
		c.out, c.leftAt = true, now
		return true
	case c.out && c.slowLateness <= returnLateness && now.Sub(c.leftAt) >= c.away:
		c.out, c.returnedAt = false, now
		return true
	}
	return false
}

// OutOfRotation reports whether the router asks for no new callers.
func (c *Controller) OutOfRotation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out
}

// ShouldRefuse reports whether to refuse a request for which a number from 0 to 1 was
// drawn.
func (c *Controller) ShouldRefuse(drawn float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return drawn < c.refusedRatio
}

// Saturated reports whether the machine is or was of late short of processor time,
// so that work should be done in the cheapest way.
func (c *Controller) Saturated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedRatio > 0 || c.out
}

// CloseConnections reports whether connections of callers should close after their
// answers, because the router is still late and new ones go elsewhere.
func (c *Controller) CloseConnections(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out && c.slowLateness > returnLateness && now.Sub(c.leftAt) >= balancerDelay
}
