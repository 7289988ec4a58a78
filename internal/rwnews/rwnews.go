// Package rwnews is what membership learned since it was last asked.
package rwnews

import (
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwleaving"
)

// News is a list of changes.
type News struct {
	// Gone are incarnations of routers that were declared dead or replaced by
	// a higher incarnation of the same name.
	Gone []rwidentity.Identity
	// Leaving are upstreams that a peer knows to be leaving.
	Leaving []rwleaving.Leaving
}
