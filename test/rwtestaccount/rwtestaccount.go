// Package rwtestaccount describes a client account of a test fleet.
package rwtestaccount

// Account is a client account.
type Account struct {
	Name string
	// Key is the caller key.
	Key string
	// Share is its share of capacity.
	Share int
}
