package rwcode

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a new code that Parse doesn't know, which would turn the faults
// of other routers into Internal, and against two codes with the same text.
func TestParseKnowsEveryCode(t *testing.T) {
	require.True(t, strings.HasPrefix((last+1).String(), "Code("), "last is not the highest code")
	seen := map[string]bool{}
	for c := None; c <= last; c++ {
		require.Equal(t, c, Parse(c.String()))
		require.False(t, seen[c.String()], c.String())
		seen[c.String()] = true
	}
	require.Equal(t, Internal, Parse("a_code_of_a_later_version"))
}
