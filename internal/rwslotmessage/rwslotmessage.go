// Package rwslotmessage is the form of the messages about slots between entries
// and owners of cells.
package rwslotmessage

import (
	"redwingworks.example/internal/rwbacklog"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwtotal"
	"redwingworks.example/internal/rwusage"
)

// The methods.
const (
	// Want goes from an entry to an owner: levels, costs of finished and of
	// running requests.
	Want = "want"
	// Sync goes from an entry to a new owner: all levels and running grants.
	Sync = "sync"
	// Grant goes from an owner to an entry.
	Grant = "grant"
	// Owner goes from a new owner to all routers, so that they sync.
	Owner = "owner"
	// Check goes from an owner to an entry: grants that the owner takes to be
	// running. The entry answers with Want for those that it doesn't know.
	Check = "check"
	// Report goes between the owners of a group: totals by account.
	Report = "report"
)

// Message is any message about the slots of one cell.
type Message struct {
	Cell     string              `json:"cell"`
	Backlogs []rwbacklog.Backlog `json:"levels,omitempty"`
	Done     []rwusage.Usage     `json:"done,omitempty"`
	Usage    []rwusage.Usage     `json:"usage,omitempty"`
	Grants   []rwgrant.Grant     `json:"grants,omitempty"`
	Running  []rwgrant.Grant     `json:"running,omitempty"`
	IDs      []uint64            `json:"ids,omitempty"`
	Totals   []rwtotal.Total     `json:"totals,omitempty"`
	// Incarnation is the incarnation of the sender's scheduler: the time in
	// microseconds when it took the cell.
	Incarnation int64 `json:"inc,omitempty"`
}
