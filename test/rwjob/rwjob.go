// Package rwjob describes one request of a workload.
package rwjob

import "time"

// Job is one request that a caller sends.
type Job struct {
	// Account and CallerKey name the sender.
	Account, CallerKey string
	// Kind is the kind of work, Pool its model or plain service.
	Kind, Pool string
	// Engine is whether a model engine runs it.
	Engine bool
	// Stream asks an engine for server-sent events.
	Stream bool
	// Tokens is the exact length of the answer of an engine.
	Tokens int
	// Prompt is the first message. Equal prompts share an engine's cache.
	Prompt string
	// Key is the idempotency key, or empty.
	Key string
	// Body is the body of a call to a plain service, unique to the job.
	Body string
	// Hint is the expected number of tokens, 0 for none.
	Hint int
	// Deadline counts from the arrival; 0 for none.
	Deadline time.Duration
}
