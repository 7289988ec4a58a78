package rwedge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwinboundrequest"
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
	*net.TCPConn
	afterRead func()
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
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
	return &slowConn{nc.(*net.TCPConn), l.afterRead}, nil
}

// Guards against a drain that closes a kept connection whose next request the
// process has read, and against one that waits for idle callers.
func TestDrainRespondsToARequestThatWasRead(t *testing.T) {
	e := newEdge()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var draining atomic.Bool
	slow := &slowListener{inner, func() {
		for draining.Load() && !e.refusing.Load() {
			time.Sleep(time.Millisecond)
		}
		if draining.Load() {
			time.Sleep(100 * time.Millisecond)
		}
	}}
	go func() { _ = serve(t.Context(), e.server, e.connLimiter.Listener(slow, 10)) }()

	connect := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(2*drainAcceptTime)))
		return conn, bufio.NewReader(conn)
	}
	exchange := func(conn net.Conn, responses *bufio.Reader) {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "there is no configuration")
	}
	busy, busyResponses := connect()
	exchange(busy, busyResponses)
	idle, idleResponses := connect()
	exchange(idle, idleResponses)

	draining.Store(true)
	took := make(chan time.Duration)
	go func() {
		start := time.Now()
		e.drain(t.Context())
		took <- time.Since(start)
	}()
	exchange(busy, busyResponses)
	_, err = idleResponses.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Less(t, <-took, drainAcceptTime+2*time.Second)
	require.Zero(t, e.connLimiter.Open())
}
