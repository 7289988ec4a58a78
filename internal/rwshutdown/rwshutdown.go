// Package rwshutdown plans what a router still does after it was told to stop.
// It reads no clock; callers pass the time.
package rwshutdown

import "time"

// MinGrace is the shortest grace period for which the times of a plan are in
// order.
const MinGrace = time.Second

const (
	// acceptTime is how long every new request is accepted: the load balancer
	// needs two health checks a second apart to notice that the router is not
	// ready. Callers may expect a response to what they send three seconds after
	// the signal; the rest allows for the time until the signal is handled.
	acceptTime = 2500 * time.Millisecond
	// finishTime remains of the grace period after the accept time, so that
	// accepted requests can end. In a short grace period it is less, since every
	// request is accepted for at least the fraction acceptRatio.
	finishTime  = 2 * time.Second
	acceptRatio = 0.3
	// exitMargin is the part of the grace period that is left for the process
	// to exit.
	exitMargin = 400 * time.Millisecond
	// responseMargin is how long before the end of the drain requests in
	// progress are cancelled, so that their callers get a response.
	responseMargin = 200 * time.Millisecond
	// listenMargin is how long before the end of the drain new connections are
	// closed unread, so that none has a request in progress at the end.
	listenMargin = time.Second
	// The ratios bound the margins by fractions of a short grace period. Requests
	// may be cancelled only in its last sixth, so exitRatio and responseRatio add
	// up to less.
	exitRatio     = 0.1
	responseRatio = 0.05
	listenRatio   = 0.25
)

// Plan holds the times of a drain. It is immutable.
type Plan struct {
	start time.Time
	grace time.Duration
}

// New returns the plan for a router that was told to stop at a time and whose
// process is killed after a grace period.
func New(start time.Time, grace time.Duration) Plan { return Plan{start, grace} }

// Start returns when the router was told to stop.
func (p Plan) Start() time.Time { return p.start }

// AcceptEnd returns when the router stops accepting every new request.
func (p Plan) AcceptEnd() time.Time {
	return p.start.Add(min(acceptTime, max(p.grace-finishTime, p.fraction(acceptRatio))))
}

// ListenEnd returns when new connections are closed unread at the latest.
func (p Plan) ListenEnd() time.Time { return p.End().Add(-min(listenMargin, p.fraction(listenRatio))) }

// CancelAt returns when requests in progress are cancelled.
func (p Plan) CancelAt() time.Time { return p.End().Add(-p.responseMargin()) }

// End returns when the drain ends at the latest if requests are cancelled in time.
func (p Plan) End() time.Time { return p.start.Add(p.grace - p.exitMargin()) }

// EndAfter returns when the drain ends at the latest if requests in progress were
// cancelled at a time. If that was late, it is after End, so that callers still
// get a response, but leaves half of the time that is planned for the exit.
func (p Plan) EndAfter(cancelled time.Time) time.Time {
	last := p.End().Add(p.exitMargin() / 2)
	end := cancelled.Add(p.responseMargin())
	if end.After(last) {
		end = last
	}
	if end.Before(p.End()) {
		end = p.End()
	}
	return end
}

// Accepts reports whether to accept a request that has arrived now and has a
// deadline. After AcceptEnd only a request that reaches its deadline before the
// drain ends is accepted, since any other might be cut.
func (p Plan) Accepts(now, deadline time.Time) bool {
	return now.Before(p.AcceptEnd()) || !deadline.After(p.CancelAt())
}

func (p Plan) exitMargin() time.Duration { return min(exitMargin, p.fraction(exitRatio)) }

func (p Plan) responseMargin() time.Duration { return min(responseMargin, p.fraction(responseRatio)) }

// fraction returns a fraction of the grace period.
func (p Plan) fraction(ratio float64) time.Duration {
	return time.Duration(ratio * float64(p.grace))
}
