// Package rwitem is one published item as the platform's store holds it and
// as routers pass it on to each other.
package rwitem

// Item is a revision of one key. It is immutable.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Rev is the store's revision of the last change, above 0.
	Rev int64 `json:"rev"`
	// Deleted marks a removal.
	Deleted bool `json:"gone,omitempty"`
}
