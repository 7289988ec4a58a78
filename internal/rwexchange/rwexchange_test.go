package rwexchange

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinboundrequest"
)

// Guards against callers that exhaust the memory of routers, which keep and send
// the ids of streams, with long ids.
func TestStreamIDIsBounded(t *testing.T) {
	id := func(attempt, resumes string) string {
		x := Exchange{Request: rwinboundrequest.Request{ID: attempt, Resumes: resumes}}
		return x.StreamID()
	}
	require.Equal(t, "a", id("a", ""))
	require.Equal(t, "b", id("a", "b"))
	long := strings.Repeat("x", 60_000)
	require.LessOrEqual(t, len(id(long, "")), 100)
	require.Equal(t, id(long, ""), id("a", long))
	require.NotEqual(t, id(long, ""), id(long+"y", ""))
}
