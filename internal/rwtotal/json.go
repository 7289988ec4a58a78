package rwtotal

import (
	"encoding/json"
	"math"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// MarshalJSON encodes the total as an array. Rounding a cumulative value adds
// no error over time.
func (t Total) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{t.Account, math.Round(t.Cost)})
}

// UnmarshalJSON decodes the array form. A total may be negative: credit for a
// grant of an earlier owner is given by the present one. It fails with
// PeerMalformed.
func (t *Total) UnmarshalJSON(data []byte) error {
	parts := []any{&t.Account, &t.Cost}
	if err := json.Unmarshal(data, &parts); err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if len(parts) != 2 {
		return rwfault.New(rwcode.PeerMalformed, "total")
	}
	return nil
}
