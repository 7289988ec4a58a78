// Package rwprompt describes the prompt of a model request.
package rwprompt

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"n"`
}

// Prompt is what a caller declares of a model request.
type Prompt struct {
	// Parts are in the order of the prompt. The last one belongs to the
	// request or its session.
	Parts []Part
	// Input is the number of prompt tokens, MaxOutput the bound of generated
	// tokens, Output the caller's estimate of them or 0.
	Input, MaxOutput, OutputEstimate int
}

// UniqueTokens is the number of tokens of the last part, or of the whole prompt where
// no parts are declared.
func (p Prompt) UniqueTokens() int {
	if len(p.Parts) == 0 {
		return p.Input
	}
	return p.Parts[len(p.Parts)-1].Tokens
}

// AffinityKey is the key by which requests that share a prompt find the same engine:
// the longest shared part.
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

// ExpectedOutput is the number of generated tokens to expect.
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
