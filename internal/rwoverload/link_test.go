package rwoverload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router with a full link that stays in rotation, that refuses
// requests although it has CPU time, or that moves its callers to the next router in
// one go.
func TestFullLinkLeavesTheRotation(t *testing.T) {
	c := New(0)
	now := time.Unix(100, 0)
	press := func(span, delay time.Duration) {
		for end := now.Add(span); now.Before(end); {
			now = now.Add(step)
			c.Observe(now, 0, delay)
		}
	}
	press(time.Second, 20*time.Millisecond)
	require.False(t, c.OutOfRotation(), "bursts are no load")
	press(600*time.Millisecond, 150*time.Millisecond)
	require.True(t, c.OutOfRotation())
	press(4*time.Second, 150*time.Millisecond)
	require.True(t, c.OutOfRotation())
	require.False(t, c.ShouldRefuse(0))
	require.False(t, c.CloseConnections(now))
	press(5*time.Second, 0)
	require.False(t, c.OutOfRotation())
}
