// Package rwbacklog says how much work an entry has waiting for an account and
// kind.
package rwbacklog

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Backlog is the number of waiting requests of one account and kind. On the wire
// it is an array, which is a third of the size of an object.
type Backlog struct {
	Account string
	Kind    string
	// Count is capped by the sender; 0 withdraws the level.
	Count int
	// Hint is the mean of the callers' cost hints, 0 for none.
	Hint float64
}

// MarshalJSON encodes the level as an array.
func (l Backlog) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{l.Account, l.Kind, l.Count, l.Hint})
}

// UnmarshalJSON decodes the array form. It fails with PeerMalformed.
func (l *Backlog) UnmarshalJSON(data []byte) error {
	parts := []any{&l.Account, &l.Kind, &l.Count, &l.Hint}
	if err := json.Unmarshal(data, &parts); err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if len(parts) != 4 || l.Count < 0 || l.Hint < 0 {
		return rwfault.New(rwcode.PeerMalformed, "backlog")
	}
	return nil
}
