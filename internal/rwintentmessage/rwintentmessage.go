// Package rwintentmessage is a message that is due to another router.
package rwintentmessage

import (
	"redwingworks.example/internal/rwintentquery"
	"redwingworks.example/internal/rwintentsync"
)

// Message is a query or a note; the other field is nil.
type Message struct {
	To    string
	Query *rwintentquery.Query
	Sync  *rwintentsync.Sync
}
