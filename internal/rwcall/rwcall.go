// Package rwcall describes a call for the decision whether it may run.
package rwcall

import (
	"time"

	"redwingworks.example/internal/rwvmlist"
)

// Call is one attempt of a caller.
type Call struct {
	// ID is unique to the attempt.
	ID string `json:"id"`
	// Key is scoped by client account.
	Key string `json:"key"`
	// KeyCreated is when the key was made, if the key proves it.
	KeyCreated time.Time `json:"birth,omitzero"`
	// Ticket is whether only this incarnation can run the key.
	Ticket bool `json:"ticket,omitempty"`
	// Digest identifies the method, path and body.
	Digest string `json:"digest"`
	// Repeat is how long callers may repeat the key.
	Repeat time.Duration `json:"repeat"`
	// From is the router that forwarded the call, or "".
	From string `json:"from,omitempty"`
	// Inc is the incarnation of From.
	Inc int64 `json:"inc,omitempty"`
	// FromIsWitness is whether From keeps a trace of the key that a later home can
	// rely on.
	FromIsWitness bool `json:"holds,omitempty"`
	// Version is the list of From.
	Version rwvmlist.Version `json:"version"`
}
