// Package rwgrant defines the grants that the scheduler of a cell gives to
// entry routers.
package rwgrant

// Grant permits an entry router to run one request on one upstream.
type Grant struct {
	// ID is unique among the grants of all successive owners of a cell.
	ID uint64
	// Cell, Entry, Account, Kind and Upstream are names; Entry is that of the
	// entry router.
	Cell, Entry, Account, Kind, Upstream string
	// Cost is the cost that was charged, in cost units.
	Cost float64
}
