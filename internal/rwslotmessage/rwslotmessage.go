// Package rwslotmessage defines the messages about slots between entry routers and
// the owners of cells.
package rwslotmessage

import (
	"redwingworks.example/internal/rwbacklog"
	"redwingworks.example/internal/rwgrant"
	"redwingworks.example/internal/rwtotal"
	"redwingworks.example/internal/rwusage"
)

// The methods of messages.
const (
	// Want is sent by an entry router to an owner. It contains changed
	// backlogs, returned grants with their costs, and costs of running
	// requests.
	Want = "want"
	// Sync is sent by an entry router to an owner that needs the full state. It
	// contains all backlogs and running grants.
	Sync = "sync"
	// Grant is sent by an owner to an entry router. It contains new grants.
	Grant = "grant"
	// Owner is sent by a new owner to all live and leaving routers. Those that
	// know the sender as the owner of the cell then send Sync.
	Owner = "owner"
	// Check is sent by an owner to an entry router. It lists grants for which
	// the owner has received no end. The entry router returns those that it is
	// not running with Want.
	Check = "check"
	// Report is sent between the owners of a group of cells. It contains totals
	// by account.
	Report = "report"
)

// Message is a message about the slots of one cell.
type Message struct {
	Cell     string              `json:"cell"`
	Backlogs []rwbacklog.Backlog `json:"levels,omitempty"`
	Done     []rwusage.Usage     `json:"done,omitempty"`
	Usage    []rwusage.Usage     `json:"usage,omitempty"`
	Grants   []rwgrant.Grant     `json:"grants,omitempty"`
	Running  []rwgrant.Grant     `json:"running,omitempty"`
	IDs      []uint64            `json:"ids,omitempty"`
	Totals   []rwtotal.Total     `json:"totals,omitempty"`
	// Incarnation is that of the sender's scheduler: the time, in microseconds,
	// when it took ownership of the cell.
	Incarnation int64 `json:"inc,omitempty"`
}
