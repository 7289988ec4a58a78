// Package rwpost is a message that is due to another router.
package rwpost

import (
	"redwingworks.example/internal/rwnote"
	"redwingworks.example/internal/rwquery"
)

// Post is a query or a note; the other field is nil.
type Post struct {
	To    string
	Query *rwquery.Query
	Note  *rwnote.Note
}
