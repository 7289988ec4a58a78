// Package rwshutdown plans what a router still does after it was told to stop.
// It reads no clock; callers pass the time.
package rwshutdown

import "time"

const (
	// acceptTime is how long every new request is accepted: the load balancer
	// needs two health checks a second apart to notice that the router is not
	// ready. Callers may expect a response to what they send three seconds after
	// the signal; the rest allows for the time until the signal is handled.
	acceptTime = 2500 * time.Millisecond
	// acceptRatio bounds acceptTime by a fraction of a short grace period.
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
	return p.start.Add(min(acceptTime, time.Duration(acceptRatio*float64(p.grace))))
}

// ListenEnd returns when new connections are closed unread at the latest.
func (p Plan) ListenEnd() time.Time { return p.End().Add(-listenMargin) }

// CancelAt returns when requests in progress are cancelled.
func (p Plan) CancelAt() time.Time { return p.End().Add(-responseMargin) }

// End returns when the drain ends at the latest if requests are cancelled in time.
func (p Plan) End() time.Time { return p.start.Add(p.grace - exitMargin) }

// EndAfter returns when the drain ends at the latest if requests in progress were
// cancelled at a time. If that was late, it is after End, so that callers still
// get a response, but leaves half of the time that is planned for the exit.
func (p Plan) EndAfter(cancelled time.Time) time.Time {
	last := p.End().Add(exitMargin / 2)
	end := cancelled.Add(responseMargin)
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
