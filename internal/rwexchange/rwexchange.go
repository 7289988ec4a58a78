// Package rwexchange is the state of one caller's request on its way through a
// router.
package rwexchange

import (
	"time"

	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrouteconfig"
)

// Exchange is one request in progress. One goroutine uses it.
type Exchange struct {
	Request rwinboundrequest.Request
	Route   *rwrouteconfig.Route
	// Service is the one that runs the request, Engine is not nil for model
	// engines.
	Service string
	Engine  *rwrouteconfig.Engine
	Account rwrouteconfig.Account
	Start   time.Time
	// Deadline is when the answer must have ended.
	Deadline time.Time

	// Sent counts the upstreams that got the request, Ran those that may have
	// run it; Ran is at most Route.MaxAttempts.
	Sent, Ran int
	// Avoid are upstreams that failed this request.
	Avoid []string
	// FirstEventAt is when the first event was passed on; zero before that.
	FirstEventAt time.Time
	// LastEventID is the id of the last event that was passed on, or -1.
	LastEventID int64
	// LastEventAt is when the last event was passed on, Gap the longest pause
	// between two.
	LastEventAt time.Time
	MaxGap      time.Duration
	// HeadSent is whether the head of an answer was passed on.
	HeadSent bool
	// Upstream is the last one that got the request.
	Upstream string
	// Decision is the last one on a place at an engine, Owner the router that
	// decided.
	Decision rwplacement.Decision
	Owner    string
	// KeepAlive is how long the upstream keeps the idle connection.
	KeepAlive time.Duration
}

// Urgency is the account's if it has one, else the route's.
func (x *Exchange) Urgency() int {
	if x.Account.Urgency >= 0 && x.Account.Name != "" {
		return x.Account.Urgency
	}
	return x.Route.Urgency
}

// Avoids reports whether an upstream failed this request.
func (x *Exchange) Avoids(id string) bool {
	for _, a := range x.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
