package rwedge

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
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
	require.LessOrEqual(t, relayMemoryRatio, requestMemoryRatio/2, "relayed connections leave room for requests")
}

// Guards against idle connections that stay open for longer than idleTimeout,
// and against the idle timeout of net/http, which closes a connection although
// its next request waits in the socket.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, published := range []time.Duration{0, idleTimeout / 2, 2 * idleTimeout} {
			e := newEdge()
			require.Zero(t, e.server.IdleTimeout)
			network := newTestNetwork(t)
			inner := network.listen(t)
			go func() {
				caller, err := network.Dial(t.Context(), "tcp", inner.Addr().String())
				if assert.NoError(t, err) {
					t.Cleanup(func() { _ = caller.Close() })
				}
			}()
			conn, err := e.connLimiter.Listener(inner, 1).Accept()
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
			synctest.Wait()
			select {
			case err := <-read:
				require.NoError(t, err, "closed too early")
			default:
			}
			e.closeIdleCallers(time.Now().Add(limit+time.Second), snapshot)
			synctest.Wait()
			select {
			case err := <-read:
				require.Error(t, err)
			default:
				require.Fail(t, "not closed", published)
			}
		}
	})
}
