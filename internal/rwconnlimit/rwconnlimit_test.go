package rwconnlimit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// serveUntilClosed reads from a connection like an http.Server that waits for
// the next request, and closes it when a read fails.
func serveUntilClosed(l *Limiter, c *conn) {
	if _, err := c.Read(make([]byte, 1)); err != nil {
		_ = c.Close()
		l.ConnState(c, http.StateClosed)
	}
}

// Guards against connections that add up until the file descriptors run out,
// and against closing one that serves a request.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New()
		var conns []*conn
		var callers []net.Conn
		for range 5 {
			nc, caller := net.Pipe()
			defer func() { _ = caller.Close() }()
			c := l.register(nc, 10)
			l.ConnState(c, http.StateNew)
			conns, callers = append(conns, c), append(callers, caller)
		}
		for i, c := range conns[1:] {
			time.Sleep(time.Second)
			l.ConnState(c, http.StateIdle)
			go serveUntilClosed(l, c)
			require.Equal(t, 5, l.Open(), i)
		}
		closeIdle := func(limit time.Duration, maxOpen int) int {
			n := l.CloseIdle(time.Now(), limit, maxOpen)
			synctest.Wait()
			return n
		}
		require.Equal(t, 1, closeIdle(3*time.Second, 10), "one is idle for three seconds")
		require.Equal(t, 4, l.Open())
		require.Equal(t, 2, closeIdle(time.Minute, 2))
		require.Equal(t, 2, l.Open())
		for i, closed := range []bool{false, true, true, true, false} {
			_ = callers[i].SetReadDeadline(time.Now().Add(time.Second))
			_, err := callers[i].Read(make([]byte, 1))
			require.Equal(t, closed, errors.Is(err, io.EOF), "the oldest idle ones were closed: %d", i)
		}
		require.Equal(t, 1, closeIdle(0, 0))
		require.Equal(t, 1, l.Open(), "an active connection stays")
		require.Equal(t, Stats{Idle: 4}, l.Stats())
		l.ConnState(conns[0], http.StateClosed)
		require.Zero(t, l.Open())
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

// readHook is a connection that calls a function before and after each read, at
// which points other goroutines may run for long on a saturated machine.
type readHook struct {
	*net.TCPConn
	before, after func()
}

func (h *readHook) Read(p []byte) (int, error) {
	h.before()
	n, err := h.TCPConn.Read(p)
	if n > 0 {
		h.after()
	}
	return n, err
}

type hookedListener struct {
	net.Listener
	before, after func()
}

func (h *hookedListener) Accept() (net.Conn, error) {
	nc, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readHook{TCPConn: nc.(*net.TCPConn), before: h.before, after: h.after}, nil
}

// caller is a client that keeps its connection open.
type caller struct {
	t         *testing.T
	conn      net.Conn
	responses *bufio.Reader
}

func (c *caller) send() {
	_, err := io.WriteString(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(c.t, err)
}

func (c *caller) receive() string {
	resp, err := http.ReadResponse(c.responses, nil)
	require.NoError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return string(body)
}

// serve starts a server whose connections call before and after around each
// read, and connects a caller that has received a response.
func serve(t *testing.T, l *Limiter, before, after func()) *caller {
	return serveWithHook(t, l, before, after, l.ConnState)
}

func serveWithHook(t *testing.T, l *Limiter, before, after func(), connState func(net.Conn, http.ConnState)) *caller {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			result := "served"
			if Excess(r.Context()) {
				result = "excess"
			}
			_, _ = io.WriteString(w, result)
		}),
		ConnState: connState, ConnContext: l.ConnContext, ReadHeaderTimeout: time.Minute,
	}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l.Listener(&hookedListener{inner, before, after}, 10)) }()
	nc, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	require.NoError(t, nc.SetDeadline(time.Now().Add(5*time.Second)))
	c := &caller{t, nc, bufio.NewReader(nc)}
	c.send()
	require.Equal(t, "served", c.receive())
	return c
}

// Guards against closing an idle connection whose next request the process has
// read: the caller got neither a response nor a refusal.
func TestRequestReadBeforeItsConnectionIsClosed(t *testing.T) {
	l := New()
	var sweep atomic.Bool
	c := serve(t, l, func() {}, func() {
		if sweep.Load() {
			l.CloseIdle(time.Now(), 0, 0)
		}
	})
	sweep.Store(true)
	c.send()
	require.Equal(t, "served", c.receive())
	c.send()
	require.Equal(t, "served", c.receive(), "the connection can still be used")
	require.Equal(t, Stats{Kept: 2}, l.Stats())
}

// Guards against serving a request as usual on a connection that is open only
// because the request had arrived, and against refusing the next one.
func TestExcess(t *testing.T) {
	l := New()
	var sweep atomic.Bool
	c := serve(t, l, func() {}, func() {
		if sweep.Load() {
			l.CloseIdle(time.Now(), time.Hour, 0)
		}
	})
	sweep.Store(true)
	c.send()
	require.Equal(t, "excess", c.receive())
	sweep.Store(false)
	c.send()
	require.Equal(t, "served", c.receive())
	require.False(t, Excess(t.Context()), "not known")
}

// Guards against closing an idle connection whose next request waits in the
// socket because the process gets no CPU time.
func TestUnreadRequestBeforeItsConnectionIsClosed(t *testing.T) {
	l := New()
	idle := func() *conn {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.conns {
			if since, _ := c.state(); !since.IsZero() {
				return c
			}
		}
		return nil
	}
	resume := make(chan struct{})
	c := serve(t, l, func() {
		if idle() != nil {
			<-resume
		}
	}, func() {})
	c.send()
	require.Eventually(t, func() bool { return idle() != nil && hasUnread(idle().Conn) }, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, l.CloseIdle(time.Now(), 0, 0))
	close(resume)
	require.Equal(t, "served", c.receive())
	require.Equal(t, Stats{Kept: 1}, l.Stats())
}

// Guards against closing a connection whose next request net/http has already
// buffered when it reports the connection as idle.
func TestBufferedRequestBeforeItsConnectionIsClosed(t *testing.T) {
	l := New()
	var sweep atomic.Bool
	c := serveWithHook(t, l, func() {}, func() {}, func(nc net.Conn, s http.ConnState) {
		l.ConnState(nc, s)
		if s == http.StateIdle && sweep.Load() {
			l.CloseIdle(time.Now(), 0, 0)
		}
	})
	sweep.Store(true)
	const head, body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"
	_, err := io.WriteString(c.conn, head+body+head)
	require.NoError(t, err)
	require.Equal(t, "served", c.receive())
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(c.conn, body)
	require.NoError(t, err)
	require.Equal(t, "served", c.receive())
}

// Guards against a caller that keeps a connection, and one place of the limit,
// with fewer bytes than net/http waits for before it sets a timeout.
func TestFirstBytesOfARequestDontKeepAConnection(t *testing.T) {
	l := New()
	l.HeadTimeout = 50 * time.Millisecond
	c := serve(t, l, func() {}, func() {})
	_, err := io.WriteString(c.conn, "\r\n")
	require.NoError(t, err)
	_, err = c.responses.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Eventually(t, func() bool { return l.Open() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a read deadline that is lost or stays in force when a
// connection is kept, and against counting a chosen connection as open.
func TestKeptConnectionHasTheDeadlineOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New()
		var conns []*conn
		for range 3 {
			nc, caller := net.Pipe()
			defer func() { _ = caller.Close() }()
			c := l.register(nc, 10)
			l.ConnState(c, http.StateIdle)
			conns = append(conns, c)
		}
		require.Equal(t, 2, l.CloseIdle(time.Now(), time.Hour, 1))
		require.Zero(t, l.CloseIdle(time.Now(), time.Hour, 1), "the chosen ones are still open")
		for _, c := range conns {
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
			l.ConnState(c, http.StateActive)
			start := time.Now()
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			require.Equal(t, time.Second, time.Since(start))
		}
		require.Equal(t, Stats{Kept: 2}, l.Stats())
	})
}

// Guards against a stop that loses a request that has arrived, and against one
// that waits for callers that keep their connections open.
func TestStop(t *testing.T) {
	l := New()
	var stop atomic.Bool
	c := serve(t, l, func() {}, func() {
		if stop.Load() {
			l.Stop()
		}
	})
	stop.Store(true)
	c.send()
	require.Equal(t, "served", c.receive())
	require.Eventually(t, func() bool { return l.Open() == 0 }, 5*time.Second, time.Millisecond)
	_, err := c.responses.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	late, err := net.Dial("tcp", c.conn.RemoteAddr().String())
	require.NoError(t, err)
	defer func() { _ = late.Close() }()
	require.NoError(t, late.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = late.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "closed unread")
	require.Equal(t, Stats{Idle: 1, Unread: 1, Kept: 1}, l.Stats())
}

// pauses are functions that a server calls at points where the process may not
// run for long: before and after each read of a connection, and in the handler
// before it reads the body.
type pauses struct{ beforeRead, afterRead, beforeBody func() }

// listen starts a server that waits only for a limited time for a head and for a
// body, and returns a function that connects a caller.
func listen(t *testing.T, limit time.Duration, p pauses) func() *caller {
	l := New()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
			p.beforeBody()
			if _, err := io.ReadAll(r.Body); err != nil {
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			_, _ = io.WriteString(w, "served")
		}),
		ConnState: l.ConnState, ConnContext: l.ConnContext, ReadHeaderTimeout: limit,
	}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l.Listener(&hookedListener{inner, p.beforeRead, p.afterRead}, 10)) }()
	return func() *caller {
		nc, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = nc.Close() })
		require.NoError(t, nc.SetDeadline(time.Now().Add(2*lateReadTimeout)))
		return &caller{t, nc, bufio.NewReader(nc)}
	}
}

// Guards against closing a connection without a response because the time for a
// request passed while the process did not run, although the request had arrived.
func TestRequestThatArrivesBeforeALateRead(t *testing.T) {
	const limit = 100 * time.Millisecond
	const head, body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"
	for name, c := range map[string]struct {
		parts []string
		pause func(p *pauses, once func())
	}{
		"request":          {[]string{head + body}, func(p *pauses, once func()) { p.beforeRead = once }},
		"rest of the head": {[]string{head[:10], head[10:] + body}, func(p *pauses, once func()) { p.afterRead = once }},
		"body":             {[]string{head, body}, func(p *pauses, once func()) { p.beforeBody = once }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := pauses{func() {}, func() {}, func() {}}
			c.pause(&p, sync.OnceFunc(func() { time.Sleep(2 * limit) }))
			caller := listen(t, limit, p)()
			for _, part := range c.parts {
				_, err := io.WriteString(caller.conn, part)
				require.NoError(t, err)
				time.Sleep(limit / 4)
			}
			require.Equal(t, "served", caller.receive())
			caller.send()
			require.Equal(t, "served", caller.receive(), "the connection can still be used")
		})
	}
}

// Guards against a caller that keeps a connection by sending a request slowly.
func TestSlowRequestEndsTheConnection(t *testing.T) {
	const limit = 100 * time.Millisecond
	for name, pause := range map[string]time.Duration{"stalled": time.Hour, "byte by byte": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			none := func() {}
			c := listen(t, limit, pauses{none, none, none})()
			start := time.Now()
			go func() {
				for {
					if _, err := io.WriteString(c.conn, "P"); err != nil {
						return
					}
					select {
					case <-time.After(pause):
					case <-t.Context().Done():
						return
					}
				}
			}()
			_, err := io.ReadAll(c.conn)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			require.Less(t, time.Since(start), lateReadTimeout+10*limit)
		})
	}
}

// accept returns an accepted connection and a function that sends a byte on it and
// returns once the byte has arrived.
func accept(t *testing.T) (net.Conn, func()) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New().Listener(inner, 10)
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	nc, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	return nc, func() {
		_, err := io.WriteString(caller, "P")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return hasUnread(nc.(*conn).Conn) }, 5*time.Second, time.Millisecond)
	}
}

// Guards against reading on after a read has failed at its deadline: net/http has
// cancelled the context of the next request then, which would get no response.
func TestReadsFailAfterTheDeadline(t *testing.T) {
	nc, sendByte := accept(t)
	require.NoError(t, nc.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := nc.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	sendByte()
	_, err = nc.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against reading on although the server has ended the read, as a drain
// does with a body that is not complete.
func TestAbortedReadFails(t *testing.T) {
	nc, sendByte := accept(t)
	sendByte()
	require.NoError(t, nc.SetReadDeadline(time.Now()))
	_, err := nc.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a connection that survives only the first pause of the process.
func TestEachRequestMayArriveBeforeALateRead(t *testing.T) {
	const limit = 100 * time.Millisecond
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	none := func() {}
	caller := listen(t, limit, pauses{none, none, func() { time.Sleep(2 * limit) }})()
	for range 3 {
		_, err := io.WriteString(caller.conn, head)
		require.NoError(t, err)
		time.Sleep(limit / 4)
		_, err = io.WriteString(caller.conn, "body")
		require.NoError(t, err)
		require.Equal(t, "served", caller.receive())
	}
}

// Guards against a read that goes on without bound after its deadline, and against
// a late request that is lost because the limiter closes idle connections before it
// is read.
func TestExtendedDeadline(t *testing.T) {
	nc, sendByte := accept(t)
	c := nc.(*conn)
	c.onKept = func() {}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	sendByte()
	time.Sleep(40 * time.Millisecond)
	require.True(t, c.extendDeadline())
	require.True(t, c.retire(false))
	_, err := c.Read(make([]byte, 1))
	require.NoError(t, err)
	start := time.Now()
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.InDelta(t, lateReadTimeout, time.Since(start), float64(time.Second))
}
