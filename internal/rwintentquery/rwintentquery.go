// Package rwintentquery defines a router's query for the intents of its keys.
package rwintentquery

import "redwingworks.example/internal/rwvmlist"

// Query is sent to all routers after a start and after each change of the VM
// list. A router that answers it acts on no older list from then on.
type Query struct {
	Version rwvmlist.Version `json:"version"`
	// After is the last key of the previous page, "" for the first page.
	After string `json:"after,omitempty"`
	// WantCovers asks for Covers in the reply. The first query doesn't need
	// them if all homes answer it, and their size grows with the number of
	// routers.
	WantCovers bool `json:"covers,omitempty"`
}
