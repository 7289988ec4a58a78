// Package rwoverload decides when a router sheds load because it gets more
// requests than its machine can serve. The load balancer spreads connections by
// a hash, without regard to load: two fifths of the requests of one large
// client account reached a machine with 0.2 cores, which read nearly all of
// them too late while its neighbours had spare capacity. An overloaded router
// refuses a fraction of its requests before it spends work on them, because
// callers retry on other routers, and leaves the load balancer's rotation.
package rwoverload

import (
	"sync"
	"time"
)

const (
	// slowWeight is the weight of one sample in the slow average. With a sample
	// every 50 ms, the time constant is about a second.
	slowWeight = 0.05
	// slowMaxSample caps a sample, so that a pause of the process, during which
	// no requests were waiting, moves the average by only 3 ms.
	slowMaxSample = 60 * time.Millisecond
	// leaveLateness is the slow average from which the router leaves the
	// rotation; returnLateness is the one up to which it may return. Goroutines
	// wait less than a millisecond on a machine with spare capacity and 5 to
	// 130 ms on a saturated one.
	leaveLateness  = 12 * time.Millisecond
	returnLateness = 2 * time.Millisecond
	// fastWeight and fastMaxSample belong to the fast average, which controls
	// refusals and has a time constant of a fifth of a second. It exceeds
	// refuseLateness after two late samples in a row; a CPU quota that runs out
	// causes one.
	fastWeight     = 0.2
	fastMaxSample  = 40 * time.Millisecond
	refuseLateness = 10 * time.Millisecond
	// refusedRatioUp and refusedRatioDown are the steps by which the refused
	// fraction changes with each sample. A saturated machine takes about ten
	// samples per second, so the fraction settles within a second, and is back
	// at zero a second or two after the overload.
	refusedRatioUp, refusedRatioDown = 0.08, 0.02
	// maxRefusedRatio lets some requests through, which show whether the
	// machine has capacity again.
	maxRefusedRatio = 0.9
	// loadBalancerDelay is how long the load balancer takes to direct new
	// connections elsewhere: two health checks a second apart. Callers whose
	// connections are closed earlier would reconnect to this router.
	loadBalancerDelay = 2200 * time.Millisecond
	// minAway is the shortest time that a router stays out of rotation. The
	// time doubles up to maxAway if the router leaves again within calmPeriod,
	// because the same callers were directed to it again.
	minAway    = 4 * time.Second
	maxAway    = 16 * time.Second
	calmPeriod = 10 * time.Second
)

// Controller is the overload state of one router. Its methods may be called
// concurrently.
type Controller struct {
	mu sync.Mutex
	// slowLateness and fastLateness are moving averages of the lateness.
	slowLateness, fastLateness time.Duration
	// refusedRatio is the fraction of the requests to refuse, from 0 to
	// maxRefusedRatio.
	refusedRatio float64
	// out is whether the router is out of rotation; leftAt and returnedAt are
	// when that last changed; away is the shortest time that it stays out.
	out                bool
	leftAt, returnedAt time.Time
	away               time.Duration
}

// New returns a controller for a router in rotation.
func New() *Controller { return &Controller{} }

// Observe records a sample of how late the router runs its work, and reports
// whether OutOfRotation changed. It must be called every 50 ms.
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

// OutOfRotation reports whether the load balancer should send no new
// connections.
func (c *Controller) OutOfRotation() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out
}

// ShouldRefuse reports whether to refuse a request, given a random number from
// 0 to 1.
func (c *Controller) ShouldRefuse(drawn float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return drawn < c.refusedRatio
}

// Saturated reports whether the machine is, or recently was, short of CPU time,
// so that work should be done as cheaply as possible.
func (c *Controller) Saturated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedRatio > 0 || c.out
}

// CloseConnections reports whether to close callers' connections after their
// responses: the router is still late, and the load balancer sends new
// connections elsewhere.
func (c *Controller) CloseConnections(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out && c.slowLateness > returnLateness && now.Sub(c.leftAt) >= loadBalancerDelay
}
