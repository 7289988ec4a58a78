// Package rwgrant is the right to run one request on one upstream, as the
// scheduler of a cell hands it out.
package rwgrant

// Grant is the right of an entry to run one request on one upstream.
type Grant struct {
	// ID is unique among the grants of all owners of a cell.
	ID uint64
	// Cell, Entry, Account, Kind and Upstream are names.
	Cell, Entry, Account, Kind, Upstream string
	// Cost is what was charged, in cost units.
	Cost float64
}
