package rwtotal

import (
	"encoding/json"
	"math"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// MarshalJSON encodes the total as an array, without a lead of 0. Rounding a
// cumulative value adds no error over time. A lead is rounded up, since 0 has
// a meaning of its own.
func (t Total) MarshalJSON() ([]byte, error) {
	parts := []any{t.Account, math.Round(t.Cost)}
	if t.Lead > 0 {
		parts = append(parts, math.Ceil(t.Lead))
	}
	return json.Marshal(parts)
}

// UnmarshalJSON decodes the array form. It fails with PeerMalformed.
func (t *Total) UnmarshalJSON(data []byte) error {
	parts := []any{&t.Account, &t.Cost, &t.Lead}
	if err := json.Unmarshal(data, &parts); err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if len(parts) < 2 || len(parts) > 3 || t.Cost < 0 || t.Lead < 0 {
		return rwfault.New(rwcode.PeerMalformed, "total")
	}
	return nil
}
