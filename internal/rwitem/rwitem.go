// Package rwitem describes a published item as the platform's store holds it
// and as routers exchange it.
package rwitem

import "redwingworks.example/internal/rwrevision"

// Item is one revision of a key. It is immutable.
type Item struct {
	Key string `json:"key"`
	// Value is the value that was removed, or empty if that is not known, if
	// Deleted is set.
	Value []byte `json:"value,omitempty"`
	// Rev is the store's revision of the last change, above 0, in its era.
	Rev int64 `json:"rev"`
	Era int64 `json:"era,omitempty"`
	// Deleted marks a removal.
	Deleted bool `json:"gone,omitempty"`
}

// Revision returns the position of the item in the history of the store.
func (i Item) Revision() rwrevision.Revision { return rwrevision.Revision{Era: i.Era, Rev: i.Rev} }
