// Package rwprompt describes the prompt of a model request.
package rwprompt

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"n"`
}

// Prompt is what a caller declares about the prompt of a model request.
type Prompt struct {
	// Parts are in prompt order. The last one belongs to this request or its
	// session alone.
	Parts []Part
	// Input is the number of prompt tokens, MaxOutput the limit on generated
	// tokens, and OutputEstimate the caller's estimate of them, or 0.
	Input, MaxOutput, OutputEstimate int
}

// UniqueTokens returns the number of tokens in the last part, or in the prompt
// if no parts are declared.
func (p Prompt) UniqueTokens() int {
	if len(p.Parts) == 0 {
		return p.Input
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// AffinityKey returns the key that maps requests with a shared prompt to the
// same engine: the id of the last shared part, or of the only part.
func (p Prompt) AffinityKey() string {
	switch n := len(p.Parts); n {
	case 0:
		return ""
	case 1:
		return p.Parts[0].ID
	default:
		return p.Parts[n-2].ID
	}
}

// SharedIDs returns the ids of the parts that other requests may share, which are all
// but the last.
func (p Prompt) SharedIDs() []string {
	var ids []string
	for i := range len(p.Parts) - 1 {
		ids = append(ids, p.Parts[i].ID)
	}
	return ids
}

// OwnID returns the id of the last part, or an empty string.
func (p Prompt) OwnID() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[len(p.Parts)-1].ID
}

// ExpectedOutput returns the expected number of generated tokens.
func (p Prompt) ExpectedOutput() int {
	switch {
	case p.OutputEstimate > 0 && p.MaxOutput > 0:
		return min(p.OutputEstimate, p.MaxOutput)
	case p.OutputEstimate > 0:
		return p.OutputEstimate
	default:
		return p.MaxOutput / 2
	}
}
