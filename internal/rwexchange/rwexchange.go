// Package rwexchange holds the state of one caller's request while a router
// handles it.
package rwexchange

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwrouteconfig"
)

// maxStreamIDBytes is the length up to which the id of a stream is used as it is.
const maxStreamIDBytes = 64

// Exchange is one request in progress. Only one goroutine uses it.
type Exchange struct {
	Request rwinboundrequest.Request
	Route   *rwrouteconfig.Route
	// Service is the one that runs the request; Engine is nil unless it is a
	// model service.
	Service string
	Engine  *rwrouteconfig.Engine
	Account rwrouteconfig.Account
	Start   time.Time
	// Deadline is when the response must be complete.
	Deadline time.Time

	// Sent counts the upstreams that got the request, Ran those that may have
	// run it; Ran is at most Route.MaxAttempts.
	Sent, Ran int
	// Avoid lists upstreams that have failed this request.
	Avoid []string
	// FirstEventAt is when the first event was forwarded, or zero.
	FirstEventAt time.Time
	// Software is the version at which the stream began, or empty before it did.
	Software string
	// LastEventID is the id of the last event that was forwarded, or -1.
	LastEventID int64
	// Trial is whether the request is sent on to find out whether a part of its prompt
	// crashes engines.
	Trial bool
	// AttemptEvents is the number of events that the current upstream has sent, and
	// AttemptEventAt when its first one arrived.
	AttemptEvents  int
	AttemptEventAt time.Time
	// LastEventAt is when the last event was forwarded; MaxGap is the longest
	// time between two events.
	LastEventAt time.Time
	MaxGap      time.Duration
	// HeadSent is whether the head of a response was forwarded;
	// EndsWithConnection is whether that response has neither a length nor chunks,
	// so that it ends for the caller where the connection is closed.
	HeadSent, EndsWithConnection bool
	// Via is the address of the router that relayed the caller's connection, or
	// empty.
	Via string
	// Memory is what the body and the response have of the router's memory budget, or nil.
	Memory *rwbudget.Claim
	// Replaces is whether the request takes the place of another one of its service that
	// ends. Counted is the service to which it counts as in progress, or empty.
	Replaces bool
	Counted  string
	// OldProtocol is whether the caller speaks HTTP/1.0, which has no chunks.
	OldProtocol bool
	// Upstream is the last one picked for the request; UpstreamSoftware is the
	// version of its software.
	Upstream, UpstreamSoftware string
	// Decision is the last placement decision; Owner is the router that made
	// it, and Answer how long it took to answer.
	Decision rwplacement.Decision
	Owner    string
	Answer   time.Duration
	// InFlight is the key of the request in the table of requests in progress.
	InFlight uint64
	// KeepAlive is how long the upstream keeps an idle connection open.
	KeepAlive time.Duration
}

// Urgency returns the urgency of the account if it has one, and that of the
// route otherwise.
func (x *Exchange) Urgency() int {
	if x.Account.Urgency >= 0 && x.Account.Name != "" {
		return x.Account.Urgency
	}
	return x.Route.Urgency
}

// StreamID returns the id by which the request's stream is resumed: that of the
// attempt that brought its first event, or its hash if the id is long. Routers keep
// and send the ids of all streams, and callers choose them.
func (x *Exchange) StreamID() string {
	id := cmp.Or(x.Request.Resumes, x.Request.ID)
	if len(id) <= maxStreamIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}

// ResumesStream reports whether the caller takes up a stream that has begun.
func (x *Exchange) ResumesStream() bool {
	return x.Route.Kind == rwrouteconfig.Stream && (x.Request.LastEventID != "" || x.Request.Resumes != "")
}

// Suitable returns those of the upstreams that may go on with the request's
// stream, or all before it has begun.
func (x *Exchange) Suitable(list []rwinstance.Instance) []rwinstance.Instance {
	if x.Software == "" {
		return list
	}
	var out []rwinstance.Instance
	for _, in := range list {
		if in.Software == x.Software {
			out = append(out, in)
		}
	}
	return out
}

// Avoids reports whether an upstream has failed this request.
func (x *Exchange) Avoids(id string) bool {
	for _, a := range x.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
