package rwrelay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwmux"
)

// Guards against the relaying of requests whose callers have left before the relay
// looks: the end of the connection comes behind the unread request, so that peeking at
// the next byte doesn't show it.
func TestNothingIsRelayedForACallerWhoHadLeft(t *testing.T) {
	callers, peers := listen(t), listen(t)
	c := dial(t, callers)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	time.Sleep(50 * time.Millisecond)
	r := newRelay(peers.Addr().String())
	served := r.Listener(callers)
	t.Cleanup(func() { _ = served.Close() })
	select {
	case peer := <-streams(t, peers, accepting):
		require.NoError(t, peer.SetReadDeadline(time.Now().Add(time.Second)))
		got, _ := io.ReadAll(peer)
		require.Empty(t, string(got))
	case <-time.After(500 * time.Millisecond):
	}
}

// Guards against a request that reaches another router although its caller left
// while that router was asked.
func TestNothingIsRelayedForACallerWhoLeft(t *testing.T) {
	callers, peers := listen(t), listen(t)
	r := newRelay(peers.Addr().String())
	served := r.Listener(callers)
	t.Cleanup(func() { _ = served.Close() })
	asked, answer := make(chan struct{}), make(chan struct{})
	taken := streams(t, peers, func() ([]byte, bool) {
		close(asked)
		<-answer
		return accepting()
	})
	c := dial(t, callers)
	<-asked
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	time.Sleep(100 * time.Millisecond)
	close(answer)
	peer := <-taken
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(time.Second)))
	got, _ := io.ReadAll(peer)
	require.Empty(t, string(got))
}

// Guards against a flood of new connections that takes all descriptors while other
// routers don't answer: connections that are being passed on count too.
func TestConnectionsBeingPassedOnAreBounded(t *testing.T) {
	callers, peers := listen(t), listen(t)
	r := newRelay(peers.Addr().String())
	r.MaxOpen = 3
	var dials atomic.Int64
	r.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		dials.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	served := r.Listener(callers)
	t.Cleanup(func() { _ = served.Close() })
	for range 50 {
		dial(t, callers)
	}
	passing := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.passing
	}
	require.Eventually(t, func() bool { return passing() == r.MaxOpen }, patience, time.Millisecond)
	for range 50 - r.MaxOpen {
		accept(t, served)
		require.LessOrEqual(t, passing(), r.MaxOpen)
	}
	require.LessOrEqual(t, dials.Load(), int64(r.MaxOpen))
}

// Guards against a caller that loses the response because the relay resets its
// connection while it still sends its body.
func TestCallerThatStillSendsIsNotReset(t *testing.T) {
	callers, peers := listen(t), listen(t)
	r := newRelay(peers.Addr().String())
	served := r.Listener(callers)
	t.Cleanup(func() { _ = served.Close() })
	taken := streams(t, peers, accepting)
	c := dial(t, callers)
	peer := <-taken
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	require.NoError(t, err)
	_, err = peer.Read(make([]byte, 1024))
	require.NoError(t, err)
	_, err = io.WriteString(peer, "HTTP/1.1 413 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, peer.Close())
	for range 10 {
		time.Sleep(20 * time.Millisecond)
		_, err = c.Write(make([]byte, 1000))
		require.NoError(t, err, "the caller's connection was reset within lingerTime")
	}
}

// onceListener accepts one connection.
type onceListener struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l *onceListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *onceListener) Close() error   { close(l.closed); return nil }
func (l *onceListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against relayed connections that stay open, and keep a drain waiting,
// because their callers don't read.
func TestCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay("p:1")
		r.Dial = func(context.Context, string, string) (net.Conn, error) {
			mine, theirs := net.Pipe()
			m := rwmux.NewServer(theirs, accepting)
			go func() {
				defer m.Shutdown()
				s, err := m.Accept()
				if err == nil {
					_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\n\r\n")
					_ = s.Close()
				}
				<-m.Ended()
			}()
			return mine, nil
		}
		l := &onceListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
		served := r.Listener(l)
		caller, conn := net.Pipe()
		l.conn <- conn
		time.Sleep(5 * time.Minute)
		open := r.Open()
		_ = caller.Close()
		_ = served.Close()
		time.Sleep(time.Minute)
		require.Zero(t, open)
	})
}

// Guards against callers that give up, and deadlines that are passed on too late,
// because other routers that don't answer hold connections up: callers whose deadline
// is 600 ms give a request up that isn't read within a third of it.
func TestRoutersThatDoNotAnswerHoldNoConnectionUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay("")
		r.idleAt.Store(time.Now().UnixNano())
		asked := 0
		r.Peers = func() []Peer { asked++; return []Peer{{Addr: string(rune('a'+asked)) + ":1"}} }
		var mu sync.Mutex
		var ends []net.Conn
		r.Dial = func(context.Context, string, string) (net.Conn, error) {
			mine, theirs := net.Pipe()
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, theirs)
			return mine, nil
		}
		l := &onceListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
		served := r.Listener(l)
		caller, conn := net.Pipe()
		start := time.Now()
		l.conn <- conn
		got, err := served.Accept()
		took := time.Since(start)
		_ = served.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range append(ends, caller) {
			_ = c.Close()
		}
		require.NoError(t, err)
		_ = got.Close()
		require.Less(t, took, 200*time.Millisecond)
	})
}
