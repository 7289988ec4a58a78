package rwcallers

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that add up until no descriptor is left, and
// against closing one that serves a request.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		var conns []net.Conn
		for range 5 {
			conn, other := net.Pipe()
			defer func() { _ = other.Close() }()
			c.State(conn, http.StateNew)
			conns = append(conns, conn)
		}
		for i, conn := range conns[1:] {
			time.Sleep(time.Second)
			c.State(conn, http.StateIdle)
			require.Equal(t, 5, c.Open(), i)
		}
		require.Equal(t, 1, c.Sweep(time.Now(), 3*time.Second, 10), "one is idle for three seconds")
		require.Equal(t, 2, c.Sweep(time.Now(), time.Minute, 2))
		require.Equal(t, 2, c.Open())
		_, err := conns[2].Write([]byte("x"))
		require.Error(t, err, "the oldest idle ones were closed")
		require.Equal(t, 1, c.Sweep(time.Now(), 0, 0))
		require.Equal(t, 1, c.Open(), "a busy connection stays")
		c.State(conns[0], http.StateClosed)
		require.Zero(t, c.Open())
	})
}
