package rwconfigdraft

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwrouteconfig"
)

// Guards against routers that send requests to a service with weight 0 or accept a
// request without a key, and against a draft that loses what routers ignore.
func TestConfigLeavesOutWhatHasNoEffect(t *testing.T) {
	d := &Draft{
		Version: 3,
		Routes: []rwrouteconfig.Route{{Name: "r", Host: "h", Prefix: "/", Split: []rwrouteconfig.Weight{
			{Service: "s", Weight: 0}, {Service: "t", Weight: 5}, {Service: "u", Weight: -1},
		}}},
		Accounts: []Account{{Account: rwrouteconfig.Account{Name: "a", Urgency: -1}, Keys: []string{"", "k"}}},
	}
	c := d.Config()
	require.EqualValues(t, 3, c.Version)
	require.Equal(t, []rwrouteconfig.Weight{{Service: "t", Weight: 5}}, c.Match("h", "/x").Split)
	_, ok := c.Account("")
	require.False(t, ok)
	a, ok := c.Account("k")
	require.True(t, ok)
	require.Equal(t, "a", a.Name)
	require.Len(t, d.Routes[0].Split, 3)
	d.Accounts[0].Keys = nil
	require.True(t, d.Config().RequiresKeys())
}
