// Package rwflow describes a flow of similar requests of one account.
package rwflow

import "time"

// Flow is a flow of similar requests. Either Concurrency or Rate is set. rwload
// reads flows from a JSON file, whose keys are the names of the fields unless a
// tag gives another one.
type Flow struct {
	// Account and CallerKey identify the sender.
	Account, CallerKey string
	// Kind is the kind of work, Pool its model or plain service.
	Kind, Pool string
	// Engine is set if the requests are for a model engine.
	Engine bool
	// Concurrency is the number of outstanding requests of a closed loop. Its
	// JSON key is Waiting.
	Concurrency int `json:"Waiting"`
	// Rate is the mean number of requests per second of an open loop with
	// exponentially distributed intervals.
	Rate float64
	// MinTokens and MaxTokens bound the uniformly distributed response length.
	MinTokens, MaxTokens int
	// Prompts is the number of different first messages, at least 1.
	Prompts int
	// Keyed gives each request an idempotency key.
	Keyed bool
	// Hints sends the expected length with an error of up to a factor of 2.
	Hints bool
	// Deadline of each request, counted from its arrival; 0 for none.
	Deadline time.Duration
}
