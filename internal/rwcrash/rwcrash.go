// Package rwcrash describes an engine that ended within a response.
package rwcrash

// Crash is what one router saw of the end of an engine.
type Crash struct {
	Service string `json:"svc"`
	// Upstream and StartMillis are the incarnation of the engine.
	Upstream    string `json:"up"`
	StartMillis int64  `json:"born,omitempty"`
	// Trial is whether the request was sent on to find out whether its part is
	// harmful.
	Trial bool `json:"try,omitempty"`
	// Prompt identifies the prompt of the request: a request that is sent again tells
	// nothing new of its parts.
	Prompt string `json:"own,omitempty"`
	// Parts are the ids of the shared prompt parts of a request of whose response no
	// more than the first events had arrived.
	Parts []string `json:"parts"`
}
