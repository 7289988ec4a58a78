package rwlisten

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a listen queue in which callers wait until they are about to give
// up.
func TestBacklogBoundsWaitingConnections(t *testing.T) {
	const backlog = 4
	l, err := Listen("127.0.0.1:0", backlog)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connected := 0
	for range 4 * backlog {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
		connected++
	}
	// The system may round the number up.
	require.Less(t, connected, 4*backlog)
	c, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, c.Close())
}

func TestListenFails(t *testing.T) {
	for _, addr := range []string{"127.0.0.1", "127.0.0.1:99999", "192.0.2.1:0"} {
		_, err := Listen(addr, 1)
		require.Error(t, err, addr)
	}
	l, err := Listen("127.0.0.1:0", 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	_, err = Listen(l.Addr().String(), 1)
	require.Error(t, err, "the port is taken")
}
