// Package rwcall describes a non-idempotent call to the state machine of
// rwonce.
package rwcall

import (
	"time"

	"redwingworks.example/internal/rwvmlist"
)

// Call is one attempt of a caller.
type Call struct {
	// ID is unique for each attempt.
	ID string `json:"id"`
	// Key is the identifier of the idempotency key and its client account.
	Key string `json:"key"`
	// KeyCreated is when the idempotency key was created, if the key proves it,
	// otherwise zero.
	KeyCreated time.Time `json:"birth,omitzero"`
	// Ticket reports whether the key is a ticket, which only this incarnation
	// can execute.
	Ticket bool `json:"ticket,omitempty"`
	// Digest identifies the method, path and body.
	Digest string `json:"digest"`
	// KeyRetention is the repeat window: how long callers may reuse the key.
	KeyRetention time.Duration `json:"repeat"`
	// From is the router that forwarded the call, or "".
	From string `json:"from,omitempty"`
	// Inc is the incarnation of From.
	Inc int64 `json:"inc,omitempty"`
	// FromIsWitness reports whether From stores an intent of the key on which a
	// later home can rely.
	FromIsWitness bool `json:"holds,omitempty"`
	// Version is the version of From's VM list.
	Version rwvmlist.Version `json:"version"`
}
