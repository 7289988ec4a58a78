// Package rwgrant defines the grants that the scheduler of a cell gives to
// entries.
package rwgrant

// Grant permits an entry to run one request on one upstream.
type Grant struct {
	// ID is unique among the grants of all successive owners of a cell.
	ID uint64
	// Cell, Entry, Account, Kind and Upstream are names.
	Cell, Entry, Account, Kind, Upstream string
	// Cost is the cost that was charged, in cost units.
	Cost float64
}
