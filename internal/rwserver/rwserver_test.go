package rwserver

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testTimeout       = 5 * time.Second
	readHeaderTimeout = time.Second
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
	return &readHook{TCPConn: nc.(*net.TCPConn), before: l.before, after: l.after}, nil
}

// SyscallConn implements syscall.Conn, as the listener of a router does.
func (l *hookedListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(syscall.Conn).SyscallConn()
}

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
	t        *testing.T
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

func newFixture(t *testing.T, useTLS bool) *fixture {
	f := &fixture{
		t: t, stopped: make(chan error, 1),
		started: make(chan struct{}), release: make(chan struct{}),
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.listener = &hookedListener{
		Listener: inner, closed: make(chan struct{}),
		before: f.ifIdle(&f.before), after: f.ifIdle(&f.after), accepted: f.accepted.call,
	}
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(!useTLS)
	s := &http.Server{Protocols: &p, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: time.Minute, Handler: http.HandlerFunc(f.respond)}
	s.ConnState = func(_ net.Conn, state http.ConnState) { f.idle.Store(state == http.StateIdle) }
	if useTLS {
		cert, pool := certificate(t)
		s.TLSConfig, f.roots = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, pool
	}
	f.server = New(s)
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(f.listener) }()
	t.Cleanup(func() {
		_ = f.server.Close()
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return f
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
	transport := &http.Transport{Protocols: &p, TLSClientConfig: &tls.Config{RootCAs: f.roots}}
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

// newCaller connects a caller that has received a response, and waits until the
// server has reported the connection as idle.
func (f *fixture) newCaller() *caller {
	nc, err := net.Dial("tcp", f.listener.Addr().String())
	require.NoError(f.t, err)
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

// forEachTransport runs a test without and with TLS.
func forEachTransport(t *testing.T, run func(*fixture)) {
	for name, useTLS := range map[string]bool{"cleartext": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(newFixture(t, useTLS))
		})
	}
}

// Guards against dropping a request on a kept connection that the process has
// read when the shutdown begins: the caller got neither a response nor a
// refusal.
func TestRequestReadAsShutdownBegins(t *testing.T) {
	forEachTransport(t, func(f *fixture) {
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
	forEachTransport(t, func(f *fixture) {
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
	forEachTransport(t, func(f *fixture) {
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
	forEachTransport(t, func(f *fixture) {
		var once sync.Once
		accepting, resume := make(chan struct{}), make(chan struct{})
		f.accepted.set(func() {
			once.Do(func() {
				close(accepting)
				<-resume
			})
		})
		first, err := net.Dial("tcp", f.listener.Addr().String())
		require.NoError(f.t, err)
		defer func() { _ = first.Close() }()
		<-accepting
		queued, err := net.Dial("tcp", f.listener.Addr().String())
		require.NoError(f.t, err)
		defer func() { _ = queued.Close() }()
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
		f.requireStopped()
	})
}

// Guards against a shutdown that waits for a listen queue that never becomes
// empty: the listener is closed after a limited time.
func TestShutdownBesideFullQueue(t *testing.T) {
	forEachTransport(t, func(f *fixture) {
		accepting, resume := make(chan struct{}), make(chan struct{})
		var once sync.Once
		f.accepted.set(func() {
			once.Do(func() { close(accepting) })
			<-resume
		})
		for range 2 {
			nc, err := net.Dial("tcp", f.listener.Addr().String())
			require.NoError(f.t, err)
			defer func() { _ = nc.Close() }()
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
			t.Parallel()
			forEachTransport(t, func(f *fixture) {
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
	forEachTransport(t, func(f *fixture) {
		c := f.newCaller()
		start := time.Now()
		f.shutdown()
		_, err := c.responses.ReadByte()
		require.ErrorIs(f.t, err, io.EOF)
		f.requireStopped()
		require.Less(f.t, time.Since(start), quietFactor*readHeaderTimeout)
	})
}

// Guards against closing an idle HTTP/2 connection like one of HTTP/1.1: frames
// of its next request may have been read.
func TestHTTP2IsServedWhileHTTP1Ends(t *testing.T) {
	forEachTransport(t, func(f *fixture) {
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
	forEachTransport(t, func(f *fixture) {
		silent, err := net.Dial("tcp", f.listener.Addr().String())
		require.NoError(f.t, err)
		defer func() { _ = silent.Close() }()
		partial := f.newCaller()
		_, err = io.WriteString(partial.conn, "PO")
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
