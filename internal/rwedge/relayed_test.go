package rwedge

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwmux"
	"redwingworks.example/internal/rwrelay"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwshutdown"
)

// Guards against a router that accepts a relayed connection and then closes it
// unserved, because its limit of connections is reached: the router that relays it
// has read the caller's request by then.
func TestFullRouterDeclinesRelayedConnections(t *testing.T) {
	e := newEdge()
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, nil, nil)
	e.published.Store(rwconfigsnapshot.New(config, 1, time.Now(), nil))
	e.deployment.MaxDescriptors = 4
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = serve(t.Context(), e.server, e.connLimiter.Listener(front, e.maxConnections(1))) }()
	for range e.maxConnections(1) {
		c, err := net.Dial("tcp", front.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	require.Eventually(t, func() bool { return e.connLimiter.Open() == e.maxConnections(1) }, 5*time.Second, 5*time.Millisecond)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.deployment.Relay = probe.Addr().String()
	require.NoError(t, probe.Close())
	go func() { _ = e.serveRelayed(t.Context()) }()
	var c net.Conn
	require.Eventually(t, func() bool {
		c, err = net.Dial("tcp", e.deployment.Relay)
		return err == nil
	}, 5*time.Second, 5*time.Millisecond)
	_, err = openStream(t, c)
	require.ErrorIs(t, err, rwmux.ErrDeclined, "the full router accepted the connection")
}

// relayTo returns the address of a router for callers that relays all connections to
// the relay address of another one.
func relayTo(t *testing.T, e *Edge, peer string) net.Listener {
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.relay.ShouldPass = func() bool { return true }
	e.relay.Peers = func() []rwrelay.Peer { return []rwrelay.Peer{{Addr: peer}} }
	go func() { _ = serve(t.Context(), e.server, e.connLimiter.Listener(e.relay.Listener(front), 100)) }()
	return front
}

// Guards against a request that is handled as an older configuration requires
// because the router that it was relayed to is behind.
func TestRelayedRequestIsNotHandledByAnOlderConfiguration(t *testing.T) {
	behind, ahead := newRouteEdge(unusedAddr), newRouteEdge(unusedAddr)
	require.Positive(t, ahead.published.Load().Config.Version)
	older := rwrouteconfig.New(ahead.published.Load().Config.Version-1, rwrouteconfig.Limits{}, nil, nil, nil)
	behind.published.Store(rwconfigsnapshot.New(older, 1, time.Now(), nil))
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	behind.deployment.Relay = peers.Addr().String()
	go func() {
		_ = serve(t.Context(), behind.server, behind.connLimiter.Listener(behind.relay.PeerListener(peers), 100))
	}()
	c := connect(t, relayTo(t, ahead, behind.deployment.Relay))
	_, err = io.WriteString(c.conn, "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(c.responses, nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.NotEqual(t, http.StatusNotFound, resp.StatusCode, "the route is in the configuration of the router that took the connection")
}

// Guards against a drain that passes a request on which its end then cuts: the
// connection was relayed before the drain and was idle until its accept time ended.
func TestDrainRelaysNoLateRequest(t *testing.T) {
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := newRouteEdge(unusedAddr)
	e.deployment.Grace = 2 * time.Second
	taken := takeStreams(t, peers, uint64(e.published.Load().Config.Version))
	c := connect(t, relayTo(t, e, peers.Addr().String()))
	peer := <-taken
	require.Eventually(t, func() bool { return e.relay.Open() == 1 }, 5*time.Second, 5*time.Millisecond)
	plan := rwshutdown.New(time.Now(), e.deployment.Grace)
	go func() {
		time.Sleep(time.Until(plan.AcceptEnd()) + 300*time.Millisecond)
		// The router may have closed the connection.
		_, _ = io.WriteString(c.conn, "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n\r\n")
	}()
	e.drain(t.Context())
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(time.Second)))
	got, _ := io.ReadAll(peer)
	require.Empty(t, string(got), "a request after the accept time was passed on and cut")
}
