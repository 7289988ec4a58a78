// Package rwintentreply is the answer to a query for traces.
package rwintentreply

import (
	"time"

	"redwingworks.example/internal/rwintent"
	"redwingworks.example/internal/rwvmlist"
)

// Reply is what a router knows about keys that may have run.
type Reply struct {
	// OK is whether the router accepts the version of the query. Without it
	// only Seen has a meaning.
	OK bool `json:"ok"`
	// Seen is the highest version that the router knows.
	Seen rwvmlist.Version `json:"seen"`
	// Inc is the router's incarnation, Age the time since its start.
	Inc int64         `json:"inc"`
	Age time.Duration `json:"age"`
	// Recovered is whether the router knows every key that it may have run in any
	// incarnation. Its own keys are then all in Traces.
	Recovered bool `json:"full"`
	// Covers maps the homes whose traces the router has had without a gap
	// since they sent it all of them, to the list revision of that message.
	Covers map[string]int64 `json:"covers,omitempty"`
	// More is whether there are further traces. Only the last page says what
	// the router knows.
	More bool `json:"more,omitempty"`
	// Intents are keys that may have run, sorted by key.
	Intents []rwintent.Intent `json:"traces,omitempty"`
	// Departed are VMs that are no longer published and may hold traces.
	Departed map[string]DepartedVM `json:"past,omitempty"`
	// Revs are the list revisions that the router has seen.
	Revs []int64 `json:"revs,omitempty"`
}

// DepartedVM says when a VM ceased to be published.
type DepartedVM struct {
	// Rev is the first list revision without the VM that the router has.
	Rev int64 `json:"rev"`
	// TTL is how long the VM must still be taken into account.
	TTL time.Duration `json:"left"`
}
