package rwtimeline

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

// Guards against a timeline that omits a decision on the request or a state
// change of its routers, or that contains other requests or routers.
func TestTimeline(t *testing.T) {
	log, err := os.ReadFile("testdata/routers.log")
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/story.golden")
	require.NoError(t, err)
	s := New("r1")
	require.NoError(t, s.Read(bytes.NewReader(log)))
	var out bytes.Buffer
	require.NoError(t, s.Write(&out))
	require.Equal(t, string(want), out.String())
}

// Guards against an empty timeline for an unknown request.
func TestUnknownRequest(t *testing.T) {
	s := New("r2")
	require.NoError(t, s.Read(bytes.NewReader([]byte("x\n"))))
	require.True(t, rwfault.Is(s.Write(&bytes.Buffer{}), rwcode.UnknownPath))
}
