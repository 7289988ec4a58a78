package rwserver

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwmemnetwork"
)

const (
	testTimeout       = 5 * time.Second
	readHeaderTimeout = time.Second
	// longHeaderTimeout is for the tests on sockets that don't wait for it to
	// pass: a slow machine must not miss it.
	longHeaderTimeout = time.Minute
)

// hook is a function that can be set while the server runs.
type hook struct{ fn atomic.Pointer[func()] }

func (h *hook) set(fn func()) { h.fn.Store(&fn) }

func (h *hook) call() {
	if fn := h.fn.Load(); fn != nil {
		(*fn)()
	}
}

// readHook is a connection that calls functions before and after each read, at
// which points other goroutines may run for long on a saturated machine.
type readHook struct {
	net.Conn
	before, after func()
}

func (h *readHook) Read(p []byte) (int, error) {
	h.before()
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.after()
	}
	return n, err
}

// SyscallConn implements syscall.Conn. It fails if the connection is in memory.
func (h *readHook) SyscallConn() (syscall.RawConn, error) { return rawConn(h.Conn) }

// CloseWrite implements the method of a connection of a router.
func (h *readHook) CloseWrite() error {
	if c, ok := h.Conn.(*net.TCPConn); ok {
		return c.CloseWrite()
	}
	return nil
}

func rawConn(v any) (syscall.RawConn, error) {
	c, ok := v.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return c.SyscallConn()
}

// hookedListener accepts connections with hooks and calls accepted before it
// returns one. Its channel closed is closed when the listener is.
type hookedListener struct {
	net.Listener
	before, after func()
	accepted      func()
	once          sync.Once
	closed        chan struct{}
}

func (l *hookedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted()
	return &readHook{Conn: nc, before: l.before, after: l.after}, nil
}

// SyscallConn implements syscall.Conn, as the listener of a router does. It fails
// if the listener is in memory.
func (l *hookedListener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

func (l *hookedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// fixture is a running server with hooks around the reads of its connections.
type fixture struct {
	t *testing.T
	// dial opens a connection to an address.
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	server   *Server
	listener *hookedListener
	roots    *x509.CertPool
	stopped  chan error
	// before and after are called around each read of a connection that the
	// server has reported as idle; accepted is called for each accepted
	// connection before the server gets it.
	before, after, accepted hook
	idle                    atomic.Bool
	// started receives a value for each request to /slow, which ends when
	// release is closed.
	started, release chan struct{}
}

// newFixture starts a server on a listener that dial connects to.
func newFixture(t *testing.T, useTLS bool, inner net.Listener, dial func(context.Context, string, string) (net.Conn, error), headerTimeout time.Duration) *fixture {
	f := newStoppedFixture(t, useTLS, inner, dial, headerTimeout)
	f.start()
	return f
}

// newStoppedFixture is newFixture with a server that isn't started yet.
func newStoppedFixture(t *testing.T, useTLS bool, inner net.Listener, dial func(context.Context, string, string) (net.Conn, error), headerTimeout time.Duration) *fixture {
	f := &fixture{
		t: t, dial: dial, stopped: make(chan error, 1),
		started: make(chan struct{}), release: make(chan struct{}),
	}
	f.listener = &hookedListener{
		Listener: inner, closed: make(chan struct{}),
		before: f.ifIdle(&f.before), after: f.ifIdle(&f.after), accepted: f.accepted.call,
	}
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(!useTLS)
	s := &http.Server{Protocols: &p, ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Minute, Handler: http.HandlerFunc(f.respond)}
	s.ConnState = func(_ net.Conn, state http.ConnState) { f.idle.Store(state == http.StateIdle) }
	if useTLS {
		cert, pool := certificate(t)
		s.TLSConfig, f.roots = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, pool
		// A connection in memory has no buffer for a session ticket, which a
		// client doesn't read before its own last message of the handshake.
		_, socket := inner.(syscall.Conn)
		s.TLSConfig.SessionTicketsDisabled = !socket
	}
	f.server = New(s)
	return f
}

// start serves until the end of the test.
func (f *fixture) start() {
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(f.listener) }()
	f.t.Cleanup(func() {
		_ = f.server.Close()
		require.ErrorIs(f.t, <-served, http.ErrServerClosed)
	})
}

func (f *fixture) ifIdle(h *hook) func() {
	return func() {
		if f.idle.Load() {
			h.call()
		}
	}
}

func (f *fixture) respond(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		f.started <- struct{}{}
		<-f.release
	}
	_, _ = io.WriteString(w, "served")
}

// shutdown begins a graceful shutdown and returns once it has closed the
// listener.
func (f *fixture) shutdown() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
		defer cancel()
		f.stopped <- f.server.Shutdown(ctx)
	}()
	<-f.listener.closed
}

// requireStopped waits until the shutdown has ended by itself.
func (f *fixture) requireStopped() {
	select {
	case err := <-f.stopped:
		require.NoError(f.t, err)
	case <-time.After(2 * testTimeout):
		require.Fail(f.t, "the shutdown does not end")
	}
}

// client returns an HTTP client for one version of the protocol.
func (f *fixture) client(http2 bool) *http.Client {
	var p http.Protocols
	p.SetHTTP1(!http2)
	p.SetHTTP2(http2 && f.roots != nil)
	p.SetUnencryptedHTTP2(http2 && f.roots == nil)
	transport := &http.Transport{DialContext: f.dial, Protocols: &p, TLSClientConfig: &tls.Config{RootCAs: f.roots}}
	f.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

// get returns the protocol and the body of a response.
func (f *fixture) get(c *http.Client, path string) (string, error) {
	scheme := "http"
	if f.roots != nil {
		scheme = "https"
	}
	resp, err := c.Get(scheme + "://" + f.listener.Addr().String() + path)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.Proto + " " + string(body), err
}

func (f *fixture) requireServed(c *http.Client, proto string) {
	got, err := f.get(c, "/")
	require.NoError(f.t, err)
	require.Equal(f.t, proto+" served", got)
}

// startSlow sends a request and returns once it is in progress. The returned
// function lets it end and requires that it is served.
func (f *fixture) startSlow(c *http.Client, proto string) func() {
	type result struct {
		got string
		err error
	}
	done := make(chan result, 1)
	go func() {
		got, err := f.get(c, "/slow")
		done <- result{got, err}
	}()
	<-f.started
	return func() {
		close(f.release)
		r := <-done
		require.NoError(f.t, r.err)
		require.Equal(f.t, proto+" served", r.got)
	}
}

// caller is an HTTP/1.1 client that keeps its connection open and never sends a
// request again.
type caller struct {
	t         *testing.T
	conn      net.Conn
	responses *bufio.Reader
}

// connect opens a connection that lasts until the end of the test.
func (f *fixture) connect() net.Conn {
	nc, err := f.dial(f.t.Context(), "tcp", f.listener.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = nc.Close() })
	return nc
}

// newCaller connects a caller that has received a response, and waits until the
// server has reported the connection as idle.
func (f *fixture) newCaller() *caller {
	nc := f.connect()
	require.NoError(f.t, nc.SetDeadline(time.Now().Add(testTimeout)))
	if f.roots != nil {
		nc = tls.Client(nc, &tls.Config{RootCAs: f.roots, ServerName: "127.0.0.1"})
	}
	f.t.Cleanup(func() { _ = nc.Close() })
	c := &caller{f.t, nc, bufio.NewReader(nc)}
	c.send()
	c.requireServed()
	require.Eventually(f.t, f.idle.Load, testTimeout, time.Millisecond)
	return c
}

func (c *caller) send() {
	_, err := io.WriteString(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(c.t, err)
}

func (c *caller) requireServed() {
	resp, err := http.ReadResponse(c.responses, nil)
	require.NoError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, "served", string(body))
}

// forEachTransport runs a test on sockets without and with TLS.
func forEachTransport(t *testing.T, headerTimeout time.Duration, run func(*fixture)) {
	for name, useTLS := range map[string]bool{"cleartext": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			run(newFixture(t, useTLS, l, new(net.Dialer).DialContext, headerTimeout))
		})
	}
}

// forEachTransportInMemory runs a test without and with TLS in virtual time. No
// byte waits on a connection in memory until the server reads it.
func forEachTransportInMemory(t *testing.T, run func(*fixture)) {
	for name, useTLS := range map[string]bool{"cleartext": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Lets the goroutines of closed connections end.
				t.Cleanup(func() { time.Sleep(time.Minute) })
				var network rwmemnetwork.Network
				l, err := network.Listen("127.0.0.1:0")
				require.NoError(t, err)
				run(newFixture(t, useTLS, l, network.Dial, readHeaderTimeout))
			})
		})
	}
}

// Guards against dropping a request on a kept connection that the process has
// read when the shutdown begins: the caller got neither a response nor a
// refusal.
func TestRequestReadAsShutdownBegins(t *testing.T) {
	forEachTransport(t, longHeaderTimeout, func(f *fixture) {
		var once sync.Once
		f.after.set(func() { once.Do(f.shutdown) })
		c := f.newCaller()
		c.send()
		c.requireServed()
		f.requireStopped()
	})
}

// Guards against closing a kept connection whose next request waits in the
// socket when the shutdown begins.
func TestRequestUnreadAsShutdownBegins(t *testing.T) {
	forEachTransport(t, longHeaderTimeout, func(f *fixture) {
		reading, resume := make(chan struct{}), make(chan struct{})
		var once sync.Once
		f.before.set(func() {
			once.Do(func() {
				close(reading)
				<-resume
			})
		})
		c := f.newCaller()
		<-reading
		c.send()
		f.shutdown()
		close(resume)
		c.requireServed()
		f.requireStopped()
	})
}

// Guards against dropping a request on a connection that is accepted as the
// shutdown begins and that the server does not know yet.
func TestConnectionAcceptedAsShutdownBegins(t *testing.T) {
	forEachTransport(t, longHeaderTimeout, func(f *fixture) {
		f.accepted.set(func() {
			f.shutdown()
			time.Sleep(5 * shutdownInterval)
		})
		f.newCaller()
		f.requireStopped()
	})
}

// Guards against resetting a connection that waits in the listen queue, with its
// request, when the shutdown closes the listener: on a saturated machine,
// connections wait there for long.
func TestConnectionQueuedAsShutdownBegins(t *testing.T) {
	forEachTransport(t, longHeaderTimeout, func(f *fixture) {
		var once sync.Once
		accepting, resume := make(chan struct{}), make(chan struct{})
		f.accepted.set(func() {
			once.Do(func() {
				close(accepting)
				<-resume
			})
		})
		first := f.connect()
		<-accepting
		queued := f.connect()
		require.NoError(f.t, queued.SetDeadline(time.Now().Add(testTimeout)))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
			defer cancel()
			f.stopped <- f.server.Shutdown(ctx)
		}()
		time.Sleep(2 * settleTime)
		close(resume)
		if f.roots != nil {
			queued = tls.Client(queued, &tls.Config{RootCAs: f.roots, ServerName: "127.0.0.1"})
		}
		c := &caller{f.t, queued, bufio.NewReader(queued)}
		c.send()
		c.requireServed()
		// The shutdown would wait for its request for twice longHeaderTimeout.
		require.NoError(f.t, first.Close())
		f.requireStopped()
	})
}

// Guards against a shutdown that waits for a listen queue that never becomes
// empty: the listener is closed after a limited time.
func TestShutdownBesideFullQueue(t *testing.T) {
	forEachTransport(t, readHeaderTimeout, func(f *fixture) {
		accepting, resume := make(chan struct{}), make(chan struct{})
		var once sync.Once
		f.accepted.set(func() {
			once.Do(func() { close(accepting) })
			<-resume
		})
		for range 2 {
			f.connect()
		}
		<-accepting
		start := time.Now()
		f.shutdown()
		require.Greater(f.t, time.Since(start), quietFactor*readHeaderTimeout)
		close(resume)
		f.requireStopped()
	})
}

// Guards against a shutdown that cuts off a request in progress, and against one
// that waits for callers that keep their connections open without a request.
func TestShutdownEndsAfterLastRequest(t *testing.T) {
	for proto, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2.0": true} {
		t.Run(proto, func(t *testing.T) {
			forEachTransportInMemory(t, func(f *fixture) {
				idle, busy := f.client(http2), f.client(http2)
				f.requireServed(idle, proto)
				finish := f.startSlow(busy, proto)
				f.shutdown()
				time.Sleep(quietFactor*readHeaderTimeout + settleTime)
				require.Empty(f.t, f.stopped, "a request is in progress")
				finish()
				f.requireStopped()
			})
		})
	}
}

// Guards against a shutdown that waits for the idle timeout of connections on
// which callers send no further request.
func TestShutdownClosesIdleConnections(t *testing.T) {
	forEachTransportInMemory(t, func(f *fixture) {
		c := f.newCaller()
		start := time.Now()
		f.shutdown()
		_, err := c.responses.ReadByte()
		require.ErrorIs(f.t, err, io.EOF)
		f.requireStopped()
		require.GreaterOrEqual(f.t, time.Since(start), settleTime)
		require.LessOrEqual(f.t, time.Since(start), settleTime+shutdownInterval)
	})
}

// Guards against closing an idle HTTP/2 connection like one of HTTP/1.1: frames
// of its next request may have been read.
func TestHTTP2IsServedWhileHTTP1Ends(t *testing.T) {
	forEachTransport(t, longHeaderTimeout, func(f *fixture) {
		multiplexed, busy := f.client(true), f.client(false)
		f.requireServed(multiplexed, "HTTP/2.0")
		finish := f.startSlow(busy, "HTTP/1.1")
		f.shutdown()
		time.Sleep(3 * settleTime)
		f.requireServed(multiplexed, "HTTP/2.0")
		finish()
		f.requireStopped()
	})
}

// Guards against a shutdown that waits for callers that never send a whole
// request.
func TestShutdownEndsWithoutWholeRequest(t *testing.T) {
	forEachTransportInMemory(t, func(f *fixture) {
		f.connect()
		partial := f.newCaller()
		_, err := io.WriteString(partial.conn, "PO")
		require.NoError(f.t, err)
		f.shutdown()
		f.requireStopped()
	})
}

// Guards against serving after a shutdown, and against a shutdown that waits for
// a listener that was never served.
func TestServeAfterShutdown(t *testing.T) {
	s := New(&http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: readHeaderTimeout})
	require.NoError(t, s.Shutdown(t.Context()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.ErrorIs(t, s.Serve(l), http.ErrServerClosed)
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
