// Package rwoverload decides when a router sheds load because it gets more
// requests than its machine can serve. The load balancer spreads connections by
// a hash, without regard to load: two fifths of the requests of one large
// client account reached a machine with 0.2 cores, which read nearly all of
// them too late while its neighbours had spare capacity. An overloaded router
// relays new connections beyond a rate of requests to other routers, refuses a
// fraction of its requests before it spends work on them, and leaves the load
// balancer's rotation.
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
	// slowMaxLinkDelay, leaveLinkDelay and returnLinkDelay are the same for the delay
	// of bulk bytes, which wait for 20 ms in the bursts of a link with spare capacity.
	slowMaxLinkDelay = 250 * time.Millisecond
	leaveLinkDelay   = 50 * time.Millisecond
	returnLinkDelay  = 5 * time.Millisecond
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
	// requestsPerMilli is the rate of requests per second, for each thousandth of
	// a core, from which a router relays new connections at first. A machine with
	// 0.192 cores serves about 250 streams per second.
	requestsPerMilli = 1.0
	// rateUp and rateDown are the factors by which the rate changes with each
	// sample: up while it binds and the machine is not late, down while it is
	// late. Relaying takes CPU time too, so minRateRatio bounds the decrease.
	rateUp, rateDown = 1.02, 0.92
	minRateRatio     = 0.2
	// rateBurst is the time whose requests may come at once.
	rateBurst = 200 * time.Millisecond
)

// Controller is the overload state of one router. Its methods may be called
// concurrently.
type Controller struct {
	mu sync.Mutex
	// slowLateness and fastLateness are moving averages of the lateness.
	slowLateness, fastLateness time.Duration
	// slowLinkDelay is the moving average of the delay of bulk bytes.
	slowLinkDelay time.Duration
	// refusedRatio is the fraction of the requests to refuse, from 0 to
	// maxRefusedRatio.
	refusedRatio float64
	// out is whether the router is out of rotation; leftAt and returnedAt are
	// when that last changed; away is the shortest time that it stays out.
	out                bool
	leftAt, returnedAt time.Time
	away               time.Duration
	// initialRate and rate are the rates of requests per second that the router
	// takes before it relays new connections. Both are 0 if there is no bound.
	initialRate, rate float64
	// room is the number of requests that it takes now, as of roomAt; bound is
	// whether there was no room since the last sample.
	room   float64
	roomAt time.Time
	bound  bool
}

// New returns a controller for a router in rotation, on a machine with a CPU time
// in thousandths of a core, or 0 if it is not known.
func New(cpuMillis int) *Controller {
	rate := requestsPerMilli * float64(cpuMillis)
	return &Controller{initialRate: rate, rate: rate}
}

// Observe records a sample of how late the router runs its work and of how long bulk
// bytes wait for its link, and reports whether OutOfRotation changed. It must be
// called every 50 ms.
func (c *Controller) Observe(now time.Time, late, linkDelay time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late = max(late, 0)
	c.slowLateness += time.Duration(slowWeight * float64(min(late, slowMaxSample)-c.slowLateness))
	c.fastLateness += time.Duration(fastWeight * float64(min(late, fastMaxSample)-c.fastLateness))
	c.slowLinkDelay += time.Duration(slowWeight * float64(min(linkDelay, slowMaxLinkDelay)-c.slowLinkDelay))
	if c.fastLateness > refuseLateness {
		c.refusedRatio = min(c.refusedRatio+refusedRatioUp, maxRefusedRatio)
	} else {
		c.refusedRatio = max(c.refusedRatio-refusedRatioDown, 0)
	}
	c.adaptRate()
	switch {
	case !c.out && (c.slowLateness >= leaveLateness || c.slowLinkDelay >= leaveLinkDelay):
		c.away = min(max(2*c.away, minAway), maxAway)
		if now.Sub(c.returnedAt) > calmPeriod {
			c.away = minAway
		}
		c.out, c.leftAt = true, now
		return true
	case c.out && !c.late() && now.Sub(c.leftAt) >= c.away:
		c.out, c.returnedAt = false, now
		return true
	}
	return false
}

// late reports whether the machine or its link is too late for the router to return
// to the rotation. The caller must hold the lock.
func (c *Controller) late() bool {
	return c.slowLateness > returnLateness || c.slowLinkDelay > returnLinkDelay
}

// adaptRate adapts the rate to whether the machine is late. The caller must hold
// the lock.
func (c *Controller) adaptRate() {
	switch {
	case c.fastLateness > refuseLateness:
		c.rate = max(c.rate*rateDown, minRateRatio*c.initialRate)
	case c.bound || c.rate < c.initialRate:
		c.rate *= rateUp
	default:
		c.rate = max(c.rate/rateUp, c.initialRate)
	}
	c.bound = false
}

// TakeRoom reports whether the rate of requests allows another one, and counts it if
// so.
func (c *Controller) TakeRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.initialRate == 0 {
		return true
	}
	c.refill(now)
	if c.room < 1 {
		c.bound = true
		return false
	}
	c.room--
	return true
}

// CountRequest counts a request for which there may be no room, and reports whether
// there was.
func (c *Controller) CountRequest(now time.Time) bool {
	if c.TakeRoom(now) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.room = max(c.room-1, -c.rate*rateBurst.Seconds())
	return false
}

// Exhausted reports whether the requests without room are as many as the burst, so that
// the router is late with what it took.
func (c *Controller) Exhausted(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.initialRate == 0 {
		return false
	}
	c.refill(now)
	return c.room-1 < -c.rate*rateBurst.Seconds()
}

// refill adds the room since the last call. The caller must hold the lock.
func (c *Controller) refill(now time.Time) {
	burst := c.rate * rateBurst.Seconds()
	c.room = min(c.room+c.rate*now.Sub(c.roomAt).Seconds(), burst)
	c.roomAt = now
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

// RefusedRatio returns the fraction of the requests to refuse.
func (c *Controller) RefusedRatio() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedRatio
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
