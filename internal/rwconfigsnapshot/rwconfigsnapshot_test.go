package rwconfigsnapshot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwinstance"
)

// TestSameUpstreams guards against a log line for each entry of a cold upstream, and
// against changes that aren't logged.
func TestSameUpstreams(t *testing.T) {
	in := rwinstance.Instance{ID: "a", Service: "s", StartMillis: 1, Cold: 3 * time.Second}
	of := func(list ...rwinstance.Instance) *Snapshot { return New(nil, 1, time.Time{}, list) }
	warmer, started, evacuated := in, in, in
	warmer.Cold = time.Second
	started.StartMillis = 2
	evacuated.Evacuated = true
	require.True(t, of(in).SameUpstreams(of(warmer)))
	require.False(t, of(in).SameUpstreams(of(started)))
	require.False(t, of(in).SameUpstreams(of(evacuated)))
	require.False(t, of(in).SameUpstreams(of()))
}
