// Package rwrequest defines a caller's request after it was accepted.
package rwrequest

import "time"

// Request is one request of a caller. It must not be changed after it was
// accepted.
type Request struct {
	// ID is unique in the fleet: it consists of the entry router, its
	// incarnation and a sequence number.
	ID string
	// Account is the authenticated client account.
	Account string
	// Kind, Pool, Urgency and Idempotent come from the configuration record of
	// the kind.
	Kind       string
	Pool       string
	Urgency    int
	Idempotent bool
	// Engine is true for inference and false for a call to a plain service.
	Engine bool
	// IdempotencyKey is the value of the caller's Idempotency-Key header, or "".
	IdempotencyKey string
	// Method and Path are those of a call to a plain service.
	Method string
	Path   string
	// Body is the request's body. The size limit was checked.
	Body []byte
	// ContentType is the media type of Body.
	ContentType string
	// Stream is whether the caller asked for server-sent events.
	Stream bool
	// PrefixHash identifies the start of the prompt, whose computation an engine
	// may have cached; 0 for none.
	PrefixHash uint64
	// Hint is the caller's estimate of the cost in tokens, 0 for none.
	Hint float64
	// Arrived is when the request arrived, Deadline when the caller stops
	// waiting for the first byte of the response; zero for never.
	Arrived  time.Time
	Deadline time.Time
	// KeyRetention is how long the caller may reuse IdempotencyKey for retries.
	KeyRetention time.Duration
	// FencingToken is sent to upstreams that check fencing tokens; 0 for none.
	FencingToken int64
	// BeforeSend, if not nil, is called when a connection to the upstream is open
	// and nothing was sent yet. If it returns an error, the request is not sent.
	// It is not called for idempotent requests.
	BeforeSend func() error
}
