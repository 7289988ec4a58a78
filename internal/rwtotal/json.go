package rwtotal

import (
	"encoding/json"
	"math"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// MarshalJSON encodes the total as an array, which omits a lead that is not
// positive. The cost is rounded; since it is cumulative, errors don't add up. A
// lead is rounded up, since 0 means that the account is not backlogged.
func (t Total) MarshalJSON() ([]byte, error) {
	parts := []any{t.Account, math.Round(t.Cost)}
	if t.Lead > 0 {
		parts = append(parts, math.Ceil(t.Lead))
	}
	return json.Marshal(parts)
}

// UnmarshalJSON decodes the array form. Its errors have the code PeerMalformed.
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
