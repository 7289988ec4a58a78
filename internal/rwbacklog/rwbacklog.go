// Package rwbacklog defines the reports of an entry router on its waiting
// requests.
package rwbacklog

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Backlog is the number of waiting requests of one account and kind at an entry
// router. On the wire it is an array, which takes a third of the bytes of an
// object.
type Backlog struct {
	Account string
	Kind    string
	// Count is capped by the sender; 0 withdraws the backlog.
	Count int
	// Hint is the mean of the callers' cost hints in cost units, 0 for none.
	Hint float64
}

// MarshalJSON encodes the backlog as an array.
func (b Backlog) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{b.Account, b.Kind, b.Count, b.Hint})
}

// UnmarshalJSON decodes the array form. Its errors have the code PeerMalformed.
func (b *Backlog) UnmarshalJSON(data []byte) error {
	parts := []any{&b.Account, &b.Kind, &b.Count, &b.Hint}
	if err := json.Unmarshal(data, &parts); err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if len(parts) != 4 || b.Count < 0 || b.Hint < 0 {
		return rwfault.New(rwcode.PeerMalformed, "backlog")
	}
	return nil
}
