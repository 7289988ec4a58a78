// Package rwitem describes a published item as the platform's store holds it
// and as routers exchange it.
package rwitem

// Item is one revision of a key. It is immutable.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Rev is the store's revision of the last change, above 0.
	Rev int64 `json:"rev"`
	// Deleted marks a removal.
	Deleted bool `json:"gone,omitempty"`
}
