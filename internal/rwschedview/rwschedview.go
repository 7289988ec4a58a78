// Package rwschedview defines the state of a scheduler that operators can see.
package rwschedview

// View is a copy of a scheduler's state. Accounts and upstreams are sorted by
// name.
type View struct {
	Cell      string
	Inc       int64
	Accounts  []Account
	Upstreams []Upstream
}

// Account is the state of one account in the cell.
type Account struct {
	Name   string
	Weight int
	// Virtual is the virtual time, in cost units per share.
	Virtual float64
	// Backlog is the number of waiting requests over all entry routers and
	// kinds.
	Backlog int
	// Running is the number of unfinished grants.
	Running int
	// Total is the cost that this owner charged, in cost units.
	Total float64
}

// Upstream is the state of one upstream of the cell.
type Upstream struct {
	Name    string
	Window  int
	Running int
}
