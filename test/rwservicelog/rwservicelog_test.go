package rwservicelog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwservicelog"
)

var start = time.UnixMilli(1_000_000)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a gap that is only taken at the end, ignores shares, leaves
// out an account without any service or counts service before the start.
func TestGap(t *testing.T) {
	var y rwservicelog.Usage
	y.Add("a", "k", at(-500), 1000)
	y.Add("a", "k", at(0), 40)
	y.Add("a", "j", at(150), 40)
	y.Add("b", "k", at(150), 10)
	y.Add("b", "k", at(350), 30)
	shares := map[string]int{"a": 2, "b": 1}
	require.InDelta(t, 30, y.FairnessGap(shares, at(0), at(400)), 1e-9)
	require.InDelta(t, 20, y.FairnessGap(shares, at(0), at(100)), 1e-9)
	shares["c"] = 1
	require.InDelta(t, 40, y.FairnessGap(shares, at(0), at(400)), 1e-9)
}

// Guards against tokens counted outside the time or for another kind.
func TestTokens(t *testing.T) {
	var y rwservicelog.Usage
	y.Add("a", "k", at(0), 1)
	y.Add("a", "j", at(100), 2)
	y.Add("b", "k", at(200), 4)
	require.Equal(t, 7, y.Tokens("", "", at(0), at(300)))
	require.Equal(t, 3, y.Tokens("a", "", at(0), at(300)))
	require.Equal(t, 5, y.Tokens("", "k", at(0), at(300)))
	require.Equal(t, 2, y.Tokens("", "", at(100), at(200)))
}
