package rwservicelog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwservicelog"
)

var start = time.UnixMilli(1_000_000)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a gap that is only computed at the end, that ignores shares,
// that omits an account without any service, or that includes service before
// the start.
func TestGap(t *testing.T) {
	var u rwservicelog.Usage
	u.Add("a", "k", at(-500), 1000)
	u.Add("a", "k", at(0), 40)
	u.Add("a", "j", at(150), 40)
	u.Add("b", "k", at(150), 10)
	u.Add("b", "k", at(350), 30)
	shares := map[string]int{"a": 2, "b": 1}
	require.InDelta(t, 30, u.FairnessGap(shares, at(0), at(400)), 1e-9)
	require.InDelta(t, 20, u.FairnessGap(shares, at(0), at(100)), 1e-9)
	shares["c"] = 1
	require.InDelta(t, 40, u.FairnessGap(shares, at(0), at(400)), 1e-9)
}

// Guards against counting tokens outside the interval or of another kind.
func TestTokens(t *testing.T) {
	var u rwservicelog.Usage
	u.Add("a", "k", at(0), 1)
	u.Add("a", "j", at(100), 2)
	u.Add("b", "k", at(200), 4)
	require.Equal(t, 7, u.Tokens("", "", at(0), at(300)))
	require.Equal(t, 3, u.Tokens("a", "", at(0), at(300)))
	require.Equal(t, 5, u.Tokens("", "k", at(0), at(300)))
	require.Equal(t, 2, u.Tokens("", "", at(100), at(200)))
}
