package rwconnlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that add up until the file descriptors run out,
// and against closing one that serves a request.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		var conns []net.Conn
		for range 5 {
			conn, other := net.Pipe()
			defer func() { _ = other.Close() }()
			c.ConnState(conn, http.StateNew)
			conns = append(conns, conn)
		}
		for i, conn := range conns[1:] {
			time.Sleep(time.Second)
			c.ConnState(conn, http.StateIdle)
			require.Equal(t, 5, c.Open(), i)
		}
		require.Equal(t, 1, c.CloseIdle(time.Now(), 3*time.Second, 10), "one is idle for three seconds")
		require.Equal(t, 2, c.CloseIdle(time.Now(), time.Minute, 2))
		require.Equal(t, 2, c.Open())
		_, err := conns[2].Write([]byte("x"))
		require.Error(t, err, "the oldest idle ones were closed")
		require.Equal(t, 1, c.CloseIdle(time.Now(), 0, 0))
		require.Equal(t, 1, c.Open(), "an active connection stays")
		c.ConnState(conns[0], http.StateClosed)
		require.Zero(t, c.Open())
	})
}

// Guards against more connections than memory allows: the unread bytes in their
// sockets would get the process killed.
func TestLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := New()
	l := c.Listener(inner, 1)
	defer func() { _ = l.Close() }()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		return conn
	}
	first := open()
	conn, err := l.Accept()
	require.NoError(t, err)
	c.ConnState(conn, http.StateNew)
	second := open()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := l.Accept(); err == nil {
			accepted <- conn
		}
	}()
	require.NoError(t, second.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = second.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "closed without a response")
	c.ConnState(conn, http.StateClosed)
	third := open()
	require.Equal(t, third.LocalAddr().String(), (<-accepted).RemoteAddr().String())
	for _, conn := range []net.Conn{first, second, third} {
		_ = conn.Close()
	}
}

// Guards against missing that a caller has closed its connection, and against
// treating a waiting caller as disconnected.
func TestLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conn, err := l.Accept()
	require.NoError(t, err)
	ctx := New().ConnContext(t.Context(), conn)
	require.False(t, CallerClosed(ctx))
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	require.False(t, CallerClosed(ctx), "the next request may follow")
	var one [1]byte
	_, err = conn.Read(one[:])
	require.NoError(t, err)
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool { return CallerClosed(ctx) }, time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	require.True(t, CallerClosed(ctx))
	require.False(t, CallerClosed(t.Context()), "not known")
}

// readHook is a connection that calls a function after each read that returned
// bytes, before its caller continues. On a saturated machine other goroutines
// run at that point for hundreds of milliseconds.
type readHook struct {
	*net.TCPConn
	afterRead func()
}

func (h *readHook) Read(p []byte) (int, error) {
	n, err := h.TCPConn.Read(p)
	if n > 0 {
		h.afterRead()
	}
	return n, err
}

type hookedListener struct {
	net.Listener
	afterRead func()
}

func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readHook{TCPConn: conn.(*net.TCPConn), afterRead: l.afterRead}, nil
}

// Guards against closing an idle connection whose next request the process has
// read: the caller got neither a response nor a refusal.
func TestRequestReadBeforeItsConnectionIsClosed(t *testing.T) {
	c := New()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closeIdle := func() {}
	s := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		ConnState: c.ConnState, ConnContext: c.ConnContext,
	}
	defer func() { _ = s.Close() }()
	go func() { _ = s.Serve(c.Listener(&hookedListener{inner, func() { closeIdle() }}, 10)) }()

	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	responses := bufio.NewReader(conn)
	exchange := func() string {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		require.NoError(t, err)
		resp, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return string(body)
	}
	require.Equal(t, "served", exchange())
	closeIdle = func() { c.CloseIdle(time.Now(), 0, 0) }
	require.Equal(t, "served", exchange())
}
