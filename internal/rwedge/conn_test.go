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

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwdeployment"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwinboundrequest"
	"redwingworks.example/internal/rwrouteconfig"
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

// caller is a client that keeps its connection open.
type caller struct {
	t         *testing.T
	conn      net.Conn
	responses *bufio.Reader
}

func connect(t *testing.T, l net.Listener) *caller {
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(2*drainAcceptTime)))
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

	busy, idle := connect(t, inner), connect(t, inner)
	for _, c := range []*caller{busy, idle} {
		status, _ := c.exchange()
		require.Equal(t, http.StatusServiceUnavailable, status, "there is no configuration")
	}

	draining.Store(true)
	took := make(chan time.Duration)
	go func() {
		start := time.Now()
		e.drain(t.Context())
		took <- time.Since(start)
	}()
	status, _ := busy.exchange()
	require.Equal(t, http.StatusServiceUnavailable, status)
	_, err = idle.responses.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Less(t, <-took, drainAcceptTime+2*time.Second)
	require.Zero(t, e.connLimiter.Open())
}

// Guards against work for a request that arrived on a connection which a router
// with too many connections was about to close.
func TestRequestOnExcessConnectionIsRefused(t *testing.T) {
	e := newEdge()
	e.published.Store(rwconfigsnapshot.New(rwrouteconfig.New(1, rwrouteconfig.Limits{}, nil, nil, nil), 1, time.Now(), nil))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var sweep atomic.Bool
	slow := &slowListener{inner, func() {
		if sweep.Load() {
			e.connLimiter.CloseIdle(time.Now(), time.Hour, 0)
		}
	}}
	go func() { _ = serve(t.Context(), e.server, e.connLimiter.Listener(slow, 10)) }()
	c := connect(t, inner)
	status, _ := c.exchange()
	require.Equal(t, http.StatusNotFound, status, "there are no routes")
	sweep.Store(true)
	status, body := c.exchange()
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, rwcode.TooManyRequests.String()+"\n", body)
}
