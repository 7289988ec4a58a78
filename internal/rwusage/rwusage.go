// Package rwusage defines the reports of an entry router on the cost of its
// grants.
package rwusage

import (
	"encoding/json"
	"math"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Usage is the cost of one grant: the final one or, for a running request, the
// cost to charge meanwhile, which may be above the cost so far. On the wire it is
// an array with times in milliseconds.
type Usage struct {
	// ID identifies the grant.
	ID uint64
	// Cost is in cost units: tokens, or calls of a plain service.
	Cost float64
	// First and Total are the times to the first and the last byte.
	First, Total time.Duration
	// Code is the code of a failure, or None.
	Code rwcode.Code
}

// MarshalJSON encodes the usage as an array. Times are included only for a
// request that ran or failed. Costs are rounded to whole units to save bytes.
func (u Usage) MarshalJSON() ([]byte, error) {
	parts := []any{u.ID, math.Round(u.Cost)}
	if u.Total > 0 || u.Code != rwcode.None {
		parts = append(parts, u.First.Milliseconds(), u.Total.Milliseconds())
	}
	if u.Code != rwcode.None {
		parts = append(parts, u.Code.String())
	}
	return json.Marshal(parts)
}

// UnmarshalJSON decodes the array form. Its errors have the code PeerMalformed.
func (u *Usage) UnmarshalJSON(data []byte) error {
	var first, total int64
	code := rwcode.None.String()
	parts := []any{&u.ID, &u.Cost, &first, &total, &code}
	if err := json.Unmarshal(data, &parts); err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if len(parts) < 2 || len(parts) > 5 || u.Cost < 0 || first < 0 || total < 0 {
		return rwfault.New(rwcode.PeerMalformed, "spent")
	}
	u.First = time.Duration(first) * time.Millisecond
	u.Total = time.Duration(total) * time.Millisecond
	u.Code = rwcode.Parse(code)
	return nil
}
