package rwgrant

import (
	"encoding/json"
	"math"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// MarshalJSON encodes the grant as an array. It omits the cell, which is in the
// message, and the entry router, which is the sender or the receiver. The cost
// is rounded, since the entry router only uses it to decide when to report
// usage.
func (g Grant) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{g.Account, g.Kind, g.Upstream, g.ID, math.Round(g.Cost)})
}

// UnmarshalJSON decodes the array form. Its errors have the code PeerMalformed.
func (g *Grant) UnmarshalJSON(data []byte) error {
	parts := []any{&g.Account, &g.Kind, &g.Upstream, &g.ID, &g.Cost}
	if err := json.Unmarshal(data, &parts); err != nil {
		return rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if len(parts) != 5 || g.Cost < 0 {
		return rwfault.New(rwcode.PeerMalformed, "grant")
	}
	return nil
}
