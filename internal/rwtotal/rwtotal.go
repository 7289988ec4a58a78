// Package rwtotal is one item of a report between the owners of the cells of
// a pool.
package rwtotal

// Total is the cost charged to an account since the owner took its cell.
type Total struct {
	Account string
	// Cost is cumulative, in cost units, and never falls: credit is set off
	// against later charges.
	Cost float64
	// Lead is how far the account is ahead of the lowest virtual time, in
	// cost units per share, as the sender sees it. It is never 0 for an
	// account with work waiting at the sender, and 0 for others.
	Lead float64
}
