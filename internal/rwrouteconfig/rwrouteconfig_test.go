package rwrouteconfig

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func config() *Config {
	routes := []Route{
		{Name: "short", Host: "h", Prefix: "/a/", Split: []Weight{{Service: "s", Weight: 1}}},
		{Name: "long", Host: "h", Prefix: "/a/b/", Split: []Weight{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
		{Name: "other", Host: "i", Prefix: "/", Split: []Weight{{Service: "s", Weight: 1}}},
	}
	return New(3, Limits{}, routes, []Service{{Name: "s"}, {Name: "t"}}, map[string]Account{"k": {Name: "acc"}})
}

// Guards against a configuration that accepts everybody once its accounts have no key
// left, and against one without accounts that accepts nobody.
func TestAccountsWithoutKeysAreNotNoAccounts(t *testing.T) {
	none := New(1, Limits{}, nil, nil, nil)
	require.False(t, none.RequiresKeys())
	require.False(t, New(1, Limits{}, nil, nil, map[string]Account{}).RequiresKeys())
	withdrawn := none.WithKeysRequired()
	require.True(t, withdrawn.RequiresKeys())
	require.False(t, none.RequiresKeys(), "a configuration is immutable")
	_, ok := withdrawn.Account("")
	require.False(t, ok)
	require.True(t, config().RequiresKeys())
}

// Guards against routing a request by another host or by a shorter prefix than
// the longest match.
func TestMatchLongestPrefix(t *testing.T) {
	p := config()
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "long"}, {"h", "/a/bc", "short"}, {"h", "/a/", "short"}, {"i", "/a/b/", "other"},
	} {
		r := p.Match(c.host, c.path)
		require.NotNil(t, r, c)
		require.Equal(t, c.want, r.Name)
	}
	require.Nil(t, p.Match("h", "/a"))
	require.Nil(t, p.Match("j", "/a/"))
}

// Guards against ignoring the weights, and against routers that select
// different services for one request.
func TestServicesFollowWeights(t *testing.T) {
	r := config().Match("h", "/a/b/")
	first := map[string]int{}
	const n = 5000
	for i := range n {
		s := r.Services(strconv.Itoa(i))
		require.Len(t, s, 2)
		require.Equal(t, s, r.Services(strconv.Itoa(i)))
		first[s[0]]++
	}
	require.InDelta(t, 0.9*n, first["s"], 0.02*n)
}

// Guards against sending a stream twice that may not be resumed.
func TestRepeatable(t *testing.T) {
	require.True(t, (&Route{Kind: Safe}).Retryable())
	require.False(t, (&Route{Kind: Unsafe, Resumable: true}).Retryable())
	require.False(t, (&Route{Kind: Stream}).Retryable())
	require.True(t, (&Route{Kind: Stream, Resumable: true}).Retryable())
}
