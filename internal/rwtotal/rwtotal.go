// Package rwtotal defines an item of the reports between the owners of the cells
// of a pool.
package rwtotal

// Total is the cost that the owner of a cell charged to an account since it took
// the cell.
type Total struct {
	Account string
	// Cost is cumulative, in cost units, and never falls: a credit is offset
	// against later charges.
	Cost float64
	// Lead is how far the account's virtual time is above the lowest one at the
	// sender, in cost units per share. It is nonzero exactly if the account is
	// backlogged at the sender. It is negative for an account at the slot cap
	// that is behind the lowest one; the JSON form then omits it.
	Lead float64
}
