package rwcode

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a new code that Parse does not know, so that a fault from
// another router would change its code, and against two codes with one text.
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
