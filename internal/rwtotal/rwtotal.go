// Package rwtotal is one item of a report between the owners of the cells of
// a pool.
package rwtotal

// Total is the cost charged to an account since the owner took its cell.
type Total struct {
	Account string
	// Cost is cumulative, in cost units. Credit lowers it.
	Cost float64
}
