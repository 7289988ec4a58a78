// Package rwintentmessage defines an outgoing message of the at-most-once
// protocol.
package rwintentmessage

import (
	"redwingworks.example/internal/rwintentquery"
	"redwingworks.example/internal/rwintentsync"
)

// Message is a query or a sync for the router To; the other field is nil.
type Message struct {
	To    string
	Query *rwintentquery.Query
	Sync  *rwintentsync.Sync
}
