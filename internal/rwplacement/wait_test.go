package rwplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against short prompts that wait behind a long one for an engine that caches little
// of theirs, while another engine is idle, and against a long one that leaves the engine that
// caches its parts.
func TestShortPromptsDontWaitBehindLongOnes(t *testing.T) {
	p := slowPlacer("a", "b")
	p.spec.TokenBytes = 0
	prompt := func(id, shared string, tokens, own int) Request {
		r := gapRequest(id, shared, own)
		r.Parts[0].Tokens, r.Target = tokens, 800*time.Millisecond
		return r
	}
	p.AddCached("a", prompt("", "document", 18_000, 0).Parts[:1])
	p.AddCached("a", prompt("", "greeting", 400, 0).Parts[:1])
	first := p.Submit(at(0), prompt("long-1", "document", 18_000, 15_000))
	require.Equal(t, "a", first.Engine)
	p.FirstEvent(at(310), "long-1")
	require.Equal(t, Queued, p.Submit(at(310), prompt("long-2", "document", 18_000, 15_000)).Verdict, "the events of long-1 need time")
	require.Equal(t, Queued, p.Submit(at(310), prompt("short", "greeting", 400, 500)).Verdict)
	decisions := p.Tick(at(311))
	require.Len(t, decisions, 1)
	require.Equal(t, "b", decisions[0].Engine)
	for ms := 315; ms < 420; ms += 5 {
		decisions = append(decisions, p.Tick(at(ms))...)
	}
	require.Len(t, decisions, 2)
	require.Equal(t, "a", decisions[1].Engine)
}
