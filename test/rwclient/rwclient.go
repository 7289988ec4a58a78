// Package rwclient describes a client account of a test fleet.
package rwclient

// Client is a client account.
type Client struct {
	Name string
	// Key is the caller key.
	Key string
	// Share is its share of capacity.
	Share int
}
