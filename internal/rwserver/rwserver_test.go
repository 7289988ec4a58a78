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
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testTimeout       = 5 * time.Second
	readHeaderTimeout = time.Second
)

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

// hookedListener accepts connections with hooks. Its channel closed is closed
// when the listener is.
type hookedListener struct {
	net.Listener
	before, after func()
	once          sync.Once
	closed        chan struct{}
}

func (l *hookedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readHook{TCPConn: nc.(*net.TCPConn), before: l.before, after: l.after}, nil
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
	// server has reported as idle. They are set before the first connection.
	before, after func()
	idle          atomic.Bool
}

func newFixture(t *testing.T, useTLS bool) *fixture {
	f := &fixture{t: t, before: func() {}, after: func() {}, stopped: make(chan error, 1)}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.listener = &hookedListener{Listener: inner, closed: make(chan struct{}), before: f.hook(&f.before), after: f.hook(&f.after)}
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(!useTLS)
	s := &http.Server{Protocols: &p, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: time.Minute, Handler: http.HandlerFunc(respond)}
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

func (f *fixture) hook(call *func()) func() {
	return func() {
		if f.idle.Load() {
			(*call)()
		}
	}
}

func respond(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "served")
}

// shutdown begins a graceful shutdown and returns once it has closed the
// listener.
func (f *fixture) shutdown() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
		t.Run(name, func(t *testing.T) { run(newFixture(t, useTLS)) })
	}
}

// Guards against dropping a request on a kept connection that the process has
// read when the shutdown begins: the caller got neither a response nor a
// refusal.
func TestRequestReadAsShutdownBegins(t *testing.T) {
	forEachTransport(t, func(f *fixture) {
		var once sync.Once
		f.after = func() { once.Do(f.shutdown) }
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
		f.before = func() {
			once.Do(func() {
				close(reading)
				<-resume
			})
		}
		c := f.newCaller()
		<-reading
		c.send()
		f.shutdown()
		close(resume)
		c.requireServed()
		f.requireStopped()
	})
}
