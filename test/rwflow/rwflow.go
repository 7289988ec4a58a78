// Package rwflow describes a stream of similar requests of one account.
package rwflow

import "time"

// Flow is a stream of similar requests. Either Waiting or Rate is set.
type Flow struct {
	// Account and CallerKey name the sender.
	Account, CallerKey string
	// Kind is the kind of work, Pool its model or plain service.
	Kind, Pool string
	// Engine is whether a model engine runs the requests.
	Engine bool
	// Concurrency is the fixed number of requests in progress of a closed loop.
	Concurrency int
	// Rate is the mean number of requests per second of an open loop with
	// exponential gaps.
	Rate float64
	// MinTokens and MaxTokens bound the evenly distributed answer length.
	MinTokens, MaxTokens int
	// Prompts is the number of different first messages, at least 1.
	Prompts int
	// Keyed gives each request an idempotency key.
	Keyed bool
	// Hints announces the expected length with an error of up to a factor of 2.
	Hints bool
	// Deadline of each request, counted from its arrival; 0 for none.
	Deadline time.Duration
}
