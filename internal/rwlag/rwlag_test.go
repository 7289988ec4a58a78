package rwlag

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an overloaded router that goes on taking requests, and against
// one that refuses long after it has caught up.
func TestBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New()
		go func() { _ = l.Run(t.Context()) }()
		time.Sleep(time.Second)
		require.False(t, l.Behind())
		l.note(time.Now(), time.Now().Add(-Limit+time.Millisecond))
		require.False(t, l.Behind())
		l.note(time.Now(), time.Now().Add(-Limit))
		require.True(t, l.Behind())
		time.Sleep(hold + time.Millisecond)
		require.False(t, l.Behind())
	})
}
