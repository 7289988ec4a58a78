package rwedge

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwrouteconfig"
	"redwingworks.example/internal/rwshutdown"
)

func newEdge() *Edge {
	return New(Config{
		Deployment: rwdeployment.Deployment{Name: "r", Zone: "z"}, Out: io.Discard,
		Dialect: rwdialect.Dialect{Decode: func(*http.Request) rwinboundrequest.Request { return rwinboundrequest.Request{} }},
	})
}

// slowConn is a connection that calls a function after each read, at which point
// other goroutines may run for long on a saturated machine.
type slowConn struct {
	net.Conn
	afterRead func()
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

type slowListener struct {
	net.Listener
	afterRead func()
}

func (l *slowListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{nc, l.afterRead}, nil
}

// caller is a client that keeps its connection open.
type caller struct {
	t         *testing.T
	conn      net.Conn
	responses *bufio.Reader
}

// connect opens a connection to a listener on a socket.
func connect(t *testing.T, l net.Listener) *caller {
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	return &caller{t, conn, bufio.NewReader(conn)}
}

// exchange sends a request and returns the status and the body of the response.
func (c *caller) exchange() (int, string) {
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(c.t, err)
	resp, err := http.ReadResponse(c.responses, nil)
	require.NoError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp.StatusCode, string(body)
}

// Guards against a drain that closes a kept connection whose next request the
// process has read, against an exit before that request has its response, and
// against a drain that waits for callers that send nothing.
func TestDrainRespondsToARequestThatWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEdge()
		network := newTestNetwork(t)
		inner := network.listen(t)
		var draining atomic.Bool
		slow := &slowListener{inner, func() {
			for draining.Load() && !e.draining(time.Now().Add(time.Hour)) && t.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			if draining.Load() {
				// The request is read before the drain may end, and handled after it.
				time.Sleep(500 * time.Millisecond)
			}
		}}
		go func() { _ = serve(t.Context(), e.server, e.connLimiter.Listener(slow, 10)) }()
		busy, idle := network.connect(t, inner), network.connect(t, inner)
		for _, c := range []*caller{busy, idle} {
			status, _ := c.exchange()
			require.Equal(t, http.StatusServiceUnavailable, status, "there is no configuration")
		}
		silent := network.connect(t, inner)
		// The handlers have ended: net/http may read a byte of the next request until
		// then, and what is left of it doesn't wait in a pipe as it does in a socket.
		synctest.Wait()

		draining.Store(true)
		took := make(chan time.Duration, 1)
		start := time.Now()
		go func() {
			e.drain(t.Context())
			took <- time.Since(start)
			// The process exits.
			_ = e.server.Close()
		}()
		status, _ := busy.exchange()
		require.Equal(t, http.StatusServiceUnavailable, status)
		for _, c := range []*caller{idle, silent} {
			_, err := c.responses.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		}
		require.Less(t, <-took, rwshutdown.New(start, defaultGrace).End().Sub(start))
		require.Zero(t, e.connLimiter.Open())
	})
}

// Guards against new connections that are accepted until the end of a drain that
// a long request delays: the end would cut their requests. Guards also against
// idle connections that stay open until new ones are closed.
func TestDrainClosesNewConnectionsBeforeItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEdge()
		e.deployment.Grace = 6 * time.Second
		e.activeRequests.Store(1)
		network := newTestNetwork(t)
		inner := network.listen(t)
		l := e.connLimiter.Listener(inner, 10)
		go func() { _ = serve(t.Context(), e.server, l) }()
		held, idle := network.connect(t, inner), network.connect(t, inner)
		_, err := io.WriteString(held.conn, "GET /")
		require.NoError(t, err)
		status, _ := idle.exchange()
		require.Equal(t, http.StatusServiceUnavailable, status, "there is no configuration")
		start := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.drain(t.Context())
		}()
		closedUnread := func() bool {
			conn := network.dial(t, inner)
			defer func() { _ = conn.Close() }()
			// It fails if the router has closed the connection already.
			_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err := conn.Read(make([]byte, 1))
			return errors.Is(err, io.EOF)
		}
		require.False(t, closedUnread())
		_, err = idle.responses.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.Less(t, time.Now(), rwshutdown.New(start, e.deployment.Grace).ListenEnd(), "idle connections stay open")
		require.False(t, closedUnread())
		require.Eventually(t, closedUnread, e.deployment.Grace, 100*time.Millisecond)
		select {
		case <-done:
			require.Fail(t, "the drain ended before new connections were closed")
		default:
		}
		<-done
	})
}

// Guards against work for a request that arrived on a connection which a router
// with too many connections was about to close.
func TestRequestOnExcessConnectionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEdge()
		e.published.Store(rwconfigsnapshot.New(rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, nil, nil), 1, time.Now(), nil))
		network := newTestNetwork(t)
		inner := network.listen(t)
		var sweep atomic.Bool
		slow := &slowListener{inner, func() {
			if sweep.Load() {
				e.connLimiter.CloseIdle(time.Now(), time.Hour, 0)
			}
		}}
		go func() { _ = serve(t.Context(), e.server, e.connLimiter.Listener(slow, 10)) }()
		c := network.connect(t, inner)
		status, _ := c.exchange()
		require.Equal(t, http.StatusNotFound, status, "there are no routes")
		sweep.Store(true)
		status, body := c.exchange()
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, rwcode.TooManyRequests.String()+"\n", body)
	})
}
