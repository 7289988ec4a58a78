package rwedge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwrouteconfig"
)

// Guards against bounds that add up to more memory than the machine has: with
// 0.7 and 0.25, a router was killed at its memory limit in a flood. The
// program's own pages are 15 MB of the 184 MB of the smallest machine, and the
// sockets to upstreams come on top.
func TestMemoryBoundsAddUp(t *testing.T) {
	require.LessOrEqual(t, memoryLimitRatio+callerMemoryRatio, 0.8)
	require.LessOrEqual(t, requestMemoryRatio, memoryLimitRatio/2, "live requests may use at most half of the collector's limit")
}

// Guards against idle connections that stay open for longer than idleTimeout,
// and against the idle timeout of net/http, which closes a connection although
// its next request waits in the socket.
func TestIdleTimeout(t *testing.T) {
	for _, published := range []time.Duration{0, idleTimeout / 2, 2 * idleTimeout} {
		e := newEdge()
		require.Zero(t, e.server.IdleTimeout)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l := e.connLimiter.Listener(inner, 1)
		defer func() { _ = l.Close() }()
		caller, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer func() { _ = caller.Close() }()
		conn, err := l.Accept()
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		e.connLimiter.ConnState(conn, http.StateIdle)
		read := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			read <- err
		}()
		limit := idleTimeout
		if published > 0 {
			limit = min(limit, published)
		}
		snapshot := rwconfigsnapshot.New(rwrouteconfig.New(1, rwrouteconfig.Limits{IdleTimeout: published}, nil, nil, nil), 1, time.Now(), nil)
		e.closeIdleCallers(time.Now().Add(limit-time.Second), snapshot)
		select {
		case err := <-read:
			require.NoError(t, err, "closed too early")
		case <-time.After(20 * time.Millisecond):
		}
		e.closeIdleCallers(time.Now().Add(limit+time.Second), snapshot)
		select {
		case err := <-read:
			require.Error(t, err)
		case <-time.After(10 * time.Second):
			require.Fail(t, "not closed", published)
		}
	}
}
