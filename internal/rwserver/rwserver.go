// Package rwserver serves HTTP/1.1 and HTTP/2 and shuts down without losing
// requests.
package rwserver

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"redwingworks.example/internal/rwconnlimit"
)

const (
	// settleTime is how long an HTTP/1.1 connection is idle before a shutdown
	// closes it. net/http can have read the first bytes of the next request
	// when it reports a connection as idle; the others arrive meanwhile.
	settleTime = 100 * time.Millisecond
	// shutdownInterval is the time between checks for idle connections during a
	// shutdown, and between checks of the listen queue.
	shutdownInterval = 20 * time.Millisecond
	// quietFactor times the ReadHeaderTimeout is how long a shutdown waits for
	// connections that deliver no request: it allows for a TLS handshake and
	// the head of a request. It also bounds the wait for an empty listen queue,
	// which a flood of callers may never let happen.
	quietFactor = 2
)

// Server is an http.Server with a graceful shutdown that neither closes a
// connection nor drops a request that has arrived. http.Server.Shutdown closes
// connections that net/http has reported as idle, although the process may have
// read the next request on them, and drops an HTTP/1.1 request that is read as
// the shutdown begins.
type Server struct {
	inner   *http.Server
	limiter *rwconnlimit.Limiter
	// maxOpen is the largest number of open connections.
	maxOpen int
	// requests is the number of HTTP/1.1 requests in progress.
	requests atomic.Int64

	mu sync.Mutex
	// conns holds the open connections.
	conns map[net.Conn]*conn
	// listener is nil until Serve is called. served is closed when Serve has
	// accepted its last connection.
	listener net.Listener
	served   chan struct{}
	// stopping is whether Shutdown was called.
	stopping bool
}

// conn is the state of a connection.
type conn struct {
	// http1 is whether an HTTP/1.1 request has arrived, http2 whether the
	// connection is known to use HTTP/2. Both are false for a new connection.
	http1, http2 bool
}

type connKey struct{}

// New returns a server that is not serving yet. The http.Server must have a
// ReadHeaderTimeout and must not be used otherwise. Its handler must refuse
// requests with "Connection: close" during a shutdown; until then, callers could
// keep the shutdown waiting.
func New(inner *http.Server) *Server {
	s := &Server{inner: inner, limiter: rwconnlimit.New(), maxOpen: math.MaxInt, conns: map[net.Conn]*conn{}}
	handler, connContext, connState := inner.Handler, inner.ConnContext, inner.ConnState
	inner.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			s.markHTTP1(r.Context())
			s.requests.Add(1)
			defer s.requests.Add(-1)
		}
		handler.ServeHTTP(w, r)
	})
	inner.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, s.register(nc))
	}
	inner.ConnState = func(nc net.Conn, state http.ConnState) {
		if connState != nil {
			connState(nc, state)
		}
		s.updateConn(nc, state)
	}
	return s
}

func (s *Server) register(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &conn{}
	s.conns[nc] = c
	return c
}

func (s *Server) markHTTP1(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.http1, c.http2 = true, false
	}
}

// updateConn passes the states of connections to the limiter. A shutdown must not see
// that an HTTP/2 connection is idle: frames of the next request may have been read
// then, and http.Server.Shutdown ends such connections gracefully. It only gives way
// to new connections, after all frames that were read.
func (s *Server) updateConn(nc net.Conn, state http.ConnState) {
	s.mu.Lock()
	c, ok := s.conns[nc]
	if ok && state == http.StateIdle && !c.http1 {
		// HTTP/1.1 connections become idle only after a request. A connection
		// on which only "OPTIONS *" was sent, to which net/http responds
		// itself, is taken for one that uses HTTP/2 too.
		c.http2 = true
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, nc)
	}
	awaits := ok && c.http2 && state == http.StateIdle
	s.mu.Unlock()
	if !ok {
		return
	}
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	if awaits {
		s.limiter.Await(nc)
		return
	}
	s.limiter.ConnState(nc, state)
}

// LimitConns closes new connections unread while maxOpen are open. From crowded
// connections on, a new one takes the place of the one that has waited longest for the
// head of a request. It must be called before Serve.
func (s *Server) LimitConns(maxOpen, crowded int) { s.maxOpen, s.limiter.Crowded = maxOpen, crowded }

// Serve serves on a listener, with TLS if the server has a TLS configuration.
// It returns http.ErrServerClosed once Shutdown or Close has been called. It
// must be called once.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		_ = l.Close()
		return http.ErrServerClosed
	}
	s.listener, s.served = l, make(chan struct{})
	s.mu.Unlock()
	defer close(s.served)
	err := s.serve(s.limiter.Listener(l, s.maxOpen))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) serve(l net.Listener) error {
	if s.inner.TLSConfig != nil {
		return s.inner.ServeTLS(l, "", "")
	}
	return s.inner.Serve(l)
}

// Shutdown accepts the connections that wait in the listen queue, closes the
// listener and returns once all connections have ended, or with an error if the
// context ends first. Requests that arrive meanwhile on open connections reach
// the handler. A listener without a file descriptor is closed at once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting(ctx)
	s.endHTTP1(ctx)
	return s.inner.Shutdown(ctx)
}

// stopAccepting closes the listener once its queue is empty and returns once all
// accepted connections are registered. The kernel resets the connections that
// wait in the queue of a listener that is closed.
func (s *Server) stopAccepting(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	l, served := s.listener, s.served
	s.mu.Unlock()
	if l != nil {
		s.awaitEmptyQueue(ctx, l, served)
		_ = l.Close()
		<-served
	}
}

// awaitEmptyQueue returns once no connection waits in the queue of the listener,
// if that takes too long, or if Serve or the context has ended. It counts ticks
// like endHTTP1.
func (s *Server) awaitEmptyQueue(ctx context.Context, l net.Listener, served <-chan struct{}) {
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for waited := time.Duration(0); hasQueued(l) && waited <= quietFactor*s.inner.ReadHeaderTimeout; waited += shutdownInterval {
		select {
		case <-ticker.C:
		case <-served:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hasQueued reports whether a connection waits in the queue of a listener. It
// returns false if that is not known.
func hasQueued(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds, 0)
		queued = errors.Is(pollErr, unix.EINTR) || pollErr == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && queued
}

// endHTTP1 returns once all HTTP/1.1 connections have ended, if none has
// delivered a request for long, or if the context ends. It counts ticks, so that
// a pause of the process does not end it.
func (s *Server) endHTTP1(ctx context.Context) {
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	var quiet time.Duration
	for {
		s.limiter.CloseIdle(time.Now(), settleTime, math.MaxInt)
		if s.openHTTP1() == 0 || quiet > quietFactor*s.inner.ReadHeaderTimeout {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		quiet += shutdownInterval
		if s.requests.Load() > 0 {
			quiet = 0
		}
	}
}

// openHTTP1 returns the number of connections that use HTTP/1.1 or are new.
func (s *Server) openHTTP1() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if !c.http2 {
			n++
		}
	}
	return n
}

// Close closes all connections at once.
func (s *Server) Close() error { return s.inner.Close() }
