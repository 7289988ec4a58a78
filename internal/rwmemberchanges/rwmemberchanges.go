// Package rwmemberchanges defines the changes that membership reports.
package rwmemberchanges

import (
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwleaving"
)

// Changes are the membership changes since the previous report.
type Changes struct {
	// Gone lists incarnations of routers that were declared dead or replaced by
	// a higher incarnation of the same name.
	Gone []rwidentity.Identity
	// Leaving lists upstreams that peers reported as leaving.
	Leaving []rwleaving.Upstream
}
