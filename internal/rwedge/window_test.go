package rwedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwrouteconfig"
)

// Guards against a version that is forgotten while streams run which began before
// a configuration with shorter timeouts.
func TestStreamWindowOutlivesShorterTimeouts(t *testing.T) {
	e := newEdge()
	publish := func(timeout time.Duration) {
		routes := []rwrouteconfig.Route{{Name: "s", Host: "h", Prefix: "/", Kind: rwrouteconfig.Stream, Timeout: timeout}}
		config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, routes, nil, nil)
		e.published.Store(rwconfigsnapshot.New(config, 1, time.Now(), nil))
	}
	require.Equal(t, maxStreamWindow, e.streamWindow(), "no configuration yet")
	for _, c := range []struct{ timeout, want time.Duration }{
		{6 * time.Second, 6*time.Second + streamWindowMargin},
		{10 * time.Second, 10*time.Second + streamWindowMargin},
		{4 * time.Second, 10*time.Second + streamWindowMargin},
		{time.Minute, maxStreamWindow},
	} {
		publish(c.timeout)
		require.Equal(t, c.want, e.streamWindow())
	}
}
