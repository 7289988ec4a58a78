// Package rwrequest is a caller's request inside the system.
package rwrequest

import "time"

// Request is one request of a caller. It is immutable once it was accepted.
type Request struct {
	// ID is unique in the fleet: it names the entry router, its incarnation
	// and a sequence number.
	ID string
	// Account is the authenticated client account.
	Account string
	// Kind, Pool, Urgency and Idempotent come from the record of the kind.
	Kind       string
	Pool       string
	Urgency    int
	Idempotent bool
	// Engine is true for model work and false for a call to a plain service.
	Engine bool
	// IdempotencyKey is the idempotency key, or "".
	IdempotencyKey string
	// Method and Path are those of a call to a plain service.
	Method string
	Path   string
	// Body is the request's body, within the size limit.
	Body []byte
	// ContentType belongs to Body.
	ContentType string
	// Stream is whether the caller asked for server-sent events.
	Stream bool
	// PrefixHash identifies the start of the prompt, which an engine may have in
	// its cache; 0 for none.
	PrefixHash uint64
	// Hint is the caller's estimate of the cost in tokens, 0 for none.
	Hint float64
	// Arrived is when the request was accepted, Deadline when the caller
	// stops waiting for the first byte; a zero Deadline means never.
	Arrived  time.Time
	Deadline time.Time
	// KeyRetention is how long the caller may repeat Key.
	KeyRetention time.Duration
	// FencingToken is sent to an upstream that checks fencing numbers; 0 for none.
	FencingToken int64
	// BeforeSend, if it is not nil, is called when a connection to the upstream
	// is open and nothing was sent yet. An error stops the call.
	BeforeSend func() error
}
