package rwedge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwmux"
	"redwingworks.example/internal/rwrelay"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwshutdown"
)

const (
	frontAddr = "10.0.0.1:8783"
	relayAddr = "10.0.0.1:7401"
	// peerRelayAddr is where another router takes relayed connections.
	peerRelayAddr = "10.0.0.2:7401"
	// neverRoom is a CPU time in thousandths of a core with which a router has no
	// room for any request.
	neverRoom = 1
)

// serveRelaying returns a router without routes that serves callers and relayed
// connections until the end of the test, and relays to peerRelayAddr.
func serveRelaying(t *testing.T, network *testNetwork, cpuMillis int, out io.Writer) *Edge {
	e := New(Config{
		Deployment: rwdeployment.Deployment{
			Name: "r1", Zone: "z", Front: frontAddr, Relay: relayAddr, Peer: "10.0.0.1:8785", CPUMillis: cpuMillis,
		},
		Dialect: rwdialect.Dialect{Decode: func(r *http.Request) rwinboundrequest.Request {
			return rwinboundrequest.Request{ID: r.Header.Get("X-Id"), Path: r.URL.Path}
		}},
		Out: out, Listen: network.Listen, Dial: network.Dial,
	})
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, nil, nil)
	e.published.Store(rwconfigsnapshot.New(config, 1, time.Now(), nil))
	e.relay.Peers = func() []rwrelay.Peer { return []rwrelay.Peer{{Addr: peerRelayAddr}} }
	for _, serve := range []func(context.Context) error{e.serveFront, e.serveRelayed} {
		go func() { assert.NoError(t, serve(t.Context())) }()
	}
	t.Cleanup(func() { _ = e.server.Close() })
	synctest.Wait()
	return e
}

// dialAddr opens a connection that is closed at the end of the test.
func (n *testNetwork) dialAddr(t *testing.T, addr string) net.Conn {
	conn, err := n.Dial(t.Context(), "tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// connectFront opens a caller's connection.
func (n *testNetwork) connectFront(t *testing.T) *caller {
	conn := n.dialAddr(t, frontAddr)
	return &caller{t, conn, bufio.NewReader(receive(conn))}
}

// takeRelayed accepts connections at peerRelayAddr as another router does, until
// the end of the test.
func (n *testNetwork) takeRelayed(t *testing.T) <-chan net.Conn {
	l, err := n.Listen(peerRelayAddr)
	require.NoError(t, err)
	return takeStreams(t, l, 1)
}

// takeStreams accepts the connections that are relayed to a listener, as a router
// with a version of the configuration does, until the end of the test.
func takeStreams(t *testing.T, l net.Listener, version uint64) <-chan net.Conn {
	taken := make(chan net.Conn, 10)
	t.Cleanup(func() { _ = l.Close() })
	greet := func() ([]byte, bool) { return binary.BigEndian.AppendUint64(nil, version), true }
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m := rwmux.NewServer(c, greet)
			t.Cleanup(m.Shutdown)
			go func() {
				for {
					s, err := m.Accept()
					if err != nil {
						return
					}
					taken <- s
				}
			}()
		}
	}()
	return taken
}

// openStream opens a connection to a router as one that relays does.
func openStream(t *testing.T, conn net.Conn) (*rwmux.Stream, error) {
	m := rwmux.NewClient(conn)
	t.Cleanup(m.Shutdown)
	s, greeting, err := m.Open(t.Context())
	if err == nil {
		require.Len(t, greeting, 8)
	}
	return s, err
}

// flushLog returns the lines that the router has queued.
func flushLog(t *testing.T, e *Edge, out *bytes.Buffer) string {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, e.sink.Run(ctx))
	return out.String()
}

const relayedRequest = "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n\r\n"

// Guards against a relayed connection that is kept, so that all requests of its
// caller pass through the saturated router, against one that is closed without the
// caller being told, and against a log that doesn't name the router that relayed it.
func TestRelayedConnectionTakesOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		var out bytes.Buffer
		e := serveRelaying(t, network, 1000, &out)
		for addr, relayed := range map[string]bool{relayAddr: true, frontAddr: false} {
			out.Reset()
			conn := network.dialAddr(t, addr)
			if relayed {
				s, err := openStream(t, conn)
				require.NoError(t, err)
				conn = s
			}
			responses := receive(conn)
			c := &caller{t, conn, bufio.NewReader(responses)}
			_, err := io.WriteString(conn, relayedRequest)
			require.NoError(t, err)
			resp, err := http.ReadResponse(c.responses, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusNotFound, resp.StatusCode, "there are no routes")
			require.Equal(t, relayed, resp.Close)
			if relayed {
				_, err = c.responses.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				require.Contains(t, flushLog(t, e, &out), `"via":"10.0.0.1"`)
			} else {
				status, _ := c.exchange()
				require.Equal(t, http.StatusNotFound, status)
				require.NotContains(t, flushLog(t, e, &out), `"via"`)
			}
		}
	})
}

// Guards against a router without room that keeps its callers' connections, whose
// next requests can't be relayed, and against one with room that closes them.
func TestKeptConnectionEndsWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		// With this rate, there is room for one request in a burst.
		serveRelaying(t, network, 5, io.Discard)
		c := network.connectFront(t)
		for _, r := range []struct {
			wait   time.Duration
			closes bool
		}{{0, false}, {time.Second, false}, {0, true}} {
			time.Sleep(r.wait)
			_, err := io.WriteString(c.conn, relayedRequest)
			require.NoError(t, err)
			resp, err := http.ReadResponse(c.responses, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, r.closes, resp.Close)
		}
	})
}

// Guards against a caller that waits for a router that takes no connections, and
// against a connection that no router takes and that isn't served.
func TestServesWhatNoRouterTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		e := serveRelaying(t, network, neverRoom, io.Discard)
		status, _ := network.connectFront(t).exchange()
		require.Equal(t, http.StatusNotFound, status, "there are no routes")
		require.EqualValues(t, 1, e.relay.Stats().Returned)
	})
}

// Guards against a router that is told to stop and still relays or accepts relayed
// connections, and against one that closes new connections unread or ends before
// the connections that it has relayed, or waits for them beyond its end.
func TestDrainWaitsForRelayedConnections(t *testing.T) {
	const responseAt = 4 * time.Second
	for name, ends := range map[string]bool{"response in time": true, "no response": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newTestNetwork(t)
				taken := network.takeRelayed(t)
				e := serveRelaying(t, network, neverRoom, io.Discard)
				c := network.connectFront(t)
				synctest.Wait()
				require.Len(t, taken, 1)
				peer := <-taken
				require.Equal(t, 1, e.relay.Open())
				go func() { _, _ = io.WriteString(c.conn, relayedRequest) }()
				_, err := io.ReadFull(peer, make([]byte, len(relayedRequest)))
				require.NoError(t, err)
				start := time.Now()
				done := make(chan time.Duration, 1)
				go func() {
					e.drain(t.Context())
					done <- time.Since(start)
				}()
				synctest.Wait()
				status, _ := network.connectFront(t).exchange()
				require.Equal(t, http.StatusNotFound, status, "served here: there are no routes")
				require.Empty(t, taken, "a connection was relayed")
				time.Sleep(responseAt)
				require.Empty(t, done, "the drain didn't wait")
				status, _ = network.connectFront(t).exchange()
				require.Equal(t, http.StatusNotFound, status, "read, not closed unread")
				plan := rwshutdown.New(start, defaultGrace)
				if ends {
					_, err := io.WriteString(peer, "response")
					require.NoError(t, err)
					require.NoError(t, peer.Close())
					data, err := io.ReadAll(c.responses)
					require.NoError(t, err)
					require.Equal(t, "response", string(data))
					require.Less(t, <-done, responseAt+time.Second, "the drain waited longer than for the response")
				} else {
					took := <-done
					require.InDelta(t, plan.End().Sub(start).Seconds(), took.Seconds(), 0.05)
					_, err := c.responses.ReadByte()
					require.ErrorIs(t, err, io.EOF)
					_, err = peer.Read(make([]byte, 1))
					require.ErrorIs(t, err, syscall.ECONNRESET)
				}
				synctest.Wait()
				require.Zero(t, e.relay.Open())
			})
		})
	}
}

// Guards against a router that has no configuration yet or is told to stop, and
// takes relayed connections that the load balancer wouldn't give it.
func TestRelayedConnectionsNeedAReadyRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(t)
		e := serveRelaying(t, network, 1000, io.Discard)
		accepts := func() bool {
			s, err := openStream(t, network.dialAddr(t, relayAddr))
			if err != nil {
				require.ErrorIs(t, err, rwmux.ErrDeclined)
				return false
			}
			require.NoError(t, s.Close())
			return true
		}
		require.True(t, accepts())
		ready := e.published.Load()
		e.published.Store(rwconfigsnapshot.New(nil, 0, time.Now(), nil))
		require.False(t, accepts())
		e.published.Store(ready)
		require.True(t, accepts())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.drain(t.Context())
		}()
		synctest.Wait()
		require.False(t, accepts())
		<-done
		require.EqualValues(t, 2, e.relay.Stats().Declined)
	})
}
