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
	_, err = conn.Read(one[:])
	require.ErrorIs(t, err, io.EOF)
	require.True(t, CallerClosed(ctx))
	require.NoError(t, conn.Close())
	require.True(t, CallerClosed(ctx))
	require.False(t, CallerClosed(t.Context()), "not known")
}

// readHook is a connection that calls a function before and after each read, at
// which points other goroutines may run for long on a saturated machine.
type readHook struct {
	*net.TCPConn
	before, after func()
	// deadline is called with each read deadline that is set.
	deadline func(time.Time)
}

func (h *readHook) SetReadDeadline(t time.Time) error {
	h.deadline(t)
	return h.TCPConn.SetReadDeadline(t)
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
	deadline      func(time.Time)
}

func (h *hookedListener) Accept() (net.Conn, error) {
	nc, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readHook{TCPConn: nc.(*net.TCPConn), before: h.before, after: h.after, deadline: h.deadline}, nil
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
	go func() { _ = s.Serve(l.Listener(&hookedListener{inner, before, after, func(time.Time) {}}, 10)) }()
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

// hooks are functions that a server calls at points where the process may not run
// for long: before and after each read of a connection, and in the handler before
// it reads the body. deadline is called with each read deadline of a connection.
type hooks struct {
	beforeRead, afterRead, beforeBody func()
	deadline                          func(time.Time)
}

func newHooks() hooks {
	return hooks{func() {}, func() {}, func() {}, func(time.Time) {}}
}

// noLimit is a time limit of a server that no test reaches.
const noLimit = time.Hour

// listen starts a server that waits only for a limited time for a head and for a
// body, and returns a function that connects a caller.
func listen(t *testing.T, headLimit, bodyLimit time.Duration, h hooks) func() *caller {
	l := New()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyLimit))
			h.beforeBody()
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
		ConnState: l.ConnState, ConnContext: l.ConnContext, ReadHeaderTimeout: headLimit,
	}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l.Listener(&hookedListener{inner, h.beforeRead, h.afterRead, h.deadline}, 10)) }()
	return func() *caller {
		nc, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = nc.Close() })
		require.NoError(t, nc.SetDeadline(time.Now().Add(2*lateReadTimeout)))
		return &caller{t, nc, bufio.NewReader(nc)}
	}
}

// pause lets a server wait until a caller has sent the rest of its request and the
// time limit for it has passed.
type pause struct {
	limit        time.Duration
	paused, sent chan struct{}
}

func newPause(limit time.Duration) pause {
	return pause{limit, make(chan struct{}), make(chan struct{})}
}

// wait is the pause of the server.
func (p pause) wait() {
	p.paused <- struct{}{}
	<-p.sent
	time.Sleep(2 * p.limit)
}

// send sends the parts of a request, of which all but the first are sent during
// the pause. It calls started after the first part.
func (p pause) send(c *caller, parts []string, started func()) {
	_, err := io.WriteString(c.conn, parts[0])
	require.NoError(c.t, err)
	started()
	<-p.paused
	for _, part := range parts[1:] {
		_, err := io.WriteString(c.conn, part)
		require.NoError(c.t, err)
	}
	p.sent <- struct{}{}
}

// Guards against closing a connection without a response because the time for a
// request passed while the process did not run, although the request had arrived.
func TestRequestThatArrivesBeforeALateRead(t *testing.T) {
	const limit = 100 * time.Millisecond
	const head, body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"
	for name, c := range map[string]struct {
		parts                []string
		headLimit, bodyLimit time.Duration
		pause                func(h *hooks, once func())
	}{
		"request":          {[]string{head + body}, limit, noLimit, func(h *hooks, once func()) { h.beforeRead = once }},
		"rest of the head": {[]string{head[:10], head[10:] + body}, limit, noLimit, func(h *hooks, once func()) { h.afterRead = once }},
		"body":             {[]string{head, body}, noLimit, limit, func(h *hooks, once func()) { h.beforeBody = once }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, p := newHooks(), newPause(limit)
			// A caller that is slower than the limit would lose its connection.
			started := make(chan struct{})
			h.beforeRead = func() { <-started }
			c.pause(&h, sync.OnceFunc(p.wait))
			caller := listen(t, c.headLimit, c.bodyLimit, h)()
			p.send(caller, c.parts, func() { close(started) })
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
			// The sum of the deadlines bounds how long the connection lasts on any
			// machine.
			var sum atomic.Int64
			h := newHooks()
			h.deadline = func(d time.Time) {
				if d.IsZero() {
					d = time.Now().Add(noLimit)
				}
				sum.Add(int64(max(0, time.Until(d))))
			}
			c := listen(t, limit, noLimit, h)()
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
			require.Positive(t, sum.Load())
			require.LessOrEqual(t, time.Duration(sum.Load()), limit+lateReadTimeout)
		})
	}
}

// accept returns an accepted connection and a function that sends a byte on it and
// returns once the byte has arrived.
func accept(t *testing.T) (net.Conn, func()) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := newHooks()
	l := New().Listener(&hookedListener{inner, h.beforeRead, h.afterRead, h.deadline}, 10)
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
	h, p := newHooks(), newPause(limit)
	h.beforeBody = p.wait
	caller := listen(t, noLimit, limit, h)()
	for range 3 {
		p.send(caller, []string{head, "body"}, func() {})
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
	var last time.Time
	c.Conn.(*readHook).deadline = func(d time.Time) { last = d }
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	sendByte()
	time.Sleep(40 * time.Millisecond)
	before := time.Now()
	require.True(t, c.extendDeadline())
	extended := last
	require.WithinRange(t, extended, before.Add(lateReadTimeout), time.Now().Add(lateReadTimeout))
	require.True(t, c.retire(false))
	_, err := c.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, extended, last, "the deadline is in force again")
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.False(t, time.Now().Before(extended))
	require.Equal(t, extended, last, "there is no further extension")
}
