// Package rwintentquery is the question of a router for the traces of its keys.
package rwintentquery

import "redwingworks.example/internal/rwvmlist"

// Query is sent to all routers after a start and after each change of the VM
// list. Whoever answers it acts on no older list from then on.
type Query struct {
	Version rwvmlist.Version `json:"version"`
	// After is the last key of the page before, "" for the first page.
	After string `json:"after,omitempty"`
	// WantCovers asks for the covers of the answerer. A first query doesn't need
	// them if all homes answer it, and they grow with the number of routers.
	WantCovers bool `json:"covers,omitempty"`
}
