// Package rwintentreply defines the answer to a query for intents.
package rwintentreply

import (
	"time"

	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwvmlist"
)

// Reply is what a router knows about keys that may have been executed.
type Reply struct {
	// OK reports whether the router accepts the list version of the query and
	// knows no later incarnation of its sender. Otherwise only Seen and Inc are
	// set.
	OK bool `json:"ok"`
	// Seen is the highest list version that the router knows.
	Seen rwvmlist.Version `json:"seen"`
	// Inc is the router's incarnation, Age the time since its start.
	Inc int64         `json:"inc"`
	Age time.Duration `json:"age"`
	// Recovered reports whether the router knows every key that any of its
	// incarnations may have executed. All of them except tickets are then in
	// the Intents of all pages together.
	Recovered bool `json:"full"`
	// Covers maps each home whose intents the router has had without a gap
	// since a complete sync to the list revision of that sync.
	Covers map[string]int64 `json:"covers,omitempty"`
	// More reports whether there are more pages. The receiver uses Recovered,
	// Covers, Age and Departed of the last page only, and stops if Recovered
	// changes between pages.
	More bool `json:"more,omitempty"`
	// Intents are keys that may have been executed, sorted by key.
	Intents []rwintent.Intent `json:"traces,omitempty"`
	// Departed are VMs that are no longer published and may store intents. If
	// the query has another list version, they include all VMs of the router's
	// list, of which the receiver ignores those in its own list.
	Departed map[string]DepartedVM `json:"past,omitempty"`
	// Revs are the list revisions that the router has seen.
	Revs []int64 `json:"revs,omitempty"`
}

// DepartedVM describes a VM that is no longer published.
type DepartedVM struct {
	// Rev is a list revision without the VM: the one by which the router noticed
	// that, a higher one from another router's reply, or that of the query.
	Rev int64 `json:"rev"`
	// TTL is how long the VM must still be considered.
	TTL time.Duration `json:"left"`
}
