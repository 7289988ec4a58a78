// Package rwjob describes one request of a workload.
package rwjob

import "time"

// Job is a request that a caller sends.
type Job struct {
	// Account and CallerKey identify the sender.
	Account, CallerKey string
	// Kind is the kind of work, Pool its model or plain service.
	Kind, Pool string
	// Engine reports whether the request is for a model engine.
	Engine bool
	// Stream requests server-sent events from an engine.
	Stream bool
	// Tokens is the exact length of the response of an engine.
	Tokens int
	// Prompt is the first message. Requests with equal prompts share an
	// engine's prefix cache.
	Prompt string
	// Key is the idempotency key, or "".
	Key string
	// Body is the body of a call to a plain service, which is unique to the
	// job.
	Body string
	// Hint is the expected number of tokens, 0 for none.
	Hint int
	// Deadline counts from the arrival; 0 for none.
	Deadline time.Duration
}
