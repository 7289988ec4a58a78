package rwgrant

import (
	"encoding/json"
	"math"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// MarshalJSON encodes the grant as an array. The cell is that of the message
// and the entry that of the link, so neither is repeated. The cost is rounded: the entry uses it
// only to decide when to report usage.
func (g Grant) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{g.Account, g.Kind, g.Upstream, g.ID, math.Round(g.Cost)})
}

// UnmarshalJSON decodes the array form. It fails with PeerMalformed.
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
