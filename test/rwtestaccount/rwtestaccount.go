// Package rwtestaccount describes a client account of a test fleet.
package rwtestaccount

// Account is a client account.
type Account struct {
	Name string
	// Key is the API key of the account's callers.
	Key string
	// Share is the account's share of capacity.
	Share int
}
