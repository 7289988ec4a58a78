// Package rwmemberchanges is what membership learned since it was last asked.
package rwmemberchanges

import (
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwleaving"
)

// Changes is a list of changes.
type Changes struct {
	// Gone are incarnations of routers that were declared dead or replaced by
	// a higher incarnation of the same name.
	Gone []rwidentity.Identity
	// Leaving are upstreams that a peer knows to be leaving.
	Leaving []rwleaving.Upstream
}
