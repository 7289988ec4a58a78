// Package rwrecord defines the envelope of a published configuration record.
package rwrecord

import "encoding/json"

// Record is one published record. It is immutable.
type Record struct {
	// Kind is "account", "kind", "upstream" or "vm".
	Kind string `json:"kind"`
	// Name is unique within a kind.
	Name string `json:"name"`
	// Rev is the platform's revision of this record. A higher revision of
	// the same kind and name replaces a lower one, never the reverse.
	Rev int64 `json:"rev"`
	// Schema is the schema version of Value.
	Schema int `json:"schema"`
	// Deleted marks a deletion, which has a revision of its own.
	Deleted bool `json:"gone,omitempty"`
	// Value is the body.
	Value json.RawMessage `json:"value,omitempty"`
}
