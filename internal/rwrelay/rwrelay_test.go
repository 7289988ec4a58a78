package rwrelay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"redwingworks.example/internal/rwmemnetwork"
)

// patience bounds each wait of a test, so that a failure isn't a hang.
const patience = 20 * time.Second

// listen opens a listener on a socket of the loopback interface.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// answer returns the answer of a router that accepts a connection.
func answer() []byte { return append([]byte{accepted}, make([]byte, answerBytes-1)...) }

// newRelay returns a relay that passes every connection on to a router.
func newRelay(addr string) *Relay {
	r := New()
	r.ShouldPass = func() bool { return true }
	r.HasRoom = func() bool { return true }
	r.Peer = func(skip func(string) bool) (string, bool) { return addr, !skip(addr) }
	r.Dial = dialPatiently
	r.MaxOpen = 100
	r.Version = func() int64 { return 0 }
	return r
}

// patientConn has no read deadline.
type patientConn struct{ *net.TCPConn }

func (patientConn) SetReadDeadline(time.Time) error { return nil }

// dialPatiently is the Dial of a relay that waits for the answers of routers as long
// as it takes on a slow machine.
func dialPatiently(_ context.Context, network, addr string) (net.Conn, error) {
	c, err := net.Dial(network, addr)
	if err != nil {
		return nil, err
	}
	return patientConn{c.(*net.TCPConn)}, nil
}

// refusingAddr returns an address that refuses connections until the end of the
// test: its port is taken, and nothing listens.
func refusingAddr(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	addr, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(addr.(*unix.SockaddrInet4).Port))
}

// front returns the wrapped listener of a relay.
func front(t *testing.T, r *Relay) net.Listener {
	l := r.Listener(listen(t))
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// dial opens a caller's connection.
func dial(t *testing.T, l net.Listener) *net.TCPConn {
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	return prepare(t, c)
}

func prepare(t *testing.T, c net.Conn) *net.TCPConn {
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	return c.(*net.TCPConn)
}

// accept accepts a connection to be served here.
func accept(t *testing.T, l net.Listener) *net.TCPConn {
	type result struct {
		net.Conn
		err error
	}
	accepted := make(chan result, 1)
	go func() {
		c, err := l.Accept()
		accepted <- result{c, err}
	}()
	select {
	case got := <-accepted:
		require.NoError(t, got.err)
		return prepare(t, got.Conn)
	case <-time.After(patience):
		require.Fail(t, "no connection to serve here")
		return nil
	}
}

// take accepts a relayed connection as another router does.
func take(t *testing.T, l net.Listener) *net.TCPConn {
	c, err := l.Accept()
	require.NoError(t, err)
	_, err = c.Write(answer())
	require.NoError(t, err)
	return prepare(t, c)
}

// connected returns a relay and both ends of a connection that it passes on.
func connected(t *testing.T) (r *Relay, caller, peer *net.TCPConn) {
	other := listen(t)
	r = newRelay(other.Addr().String())
	caller = dial(t, front(t, r))
	peer = take(t, other)
	waitOpen(t, r, 1)
	return r, caller, peer
}

// waitOpen waits until a number of relayed connections are open.
func waitOpen(t *testing.T, r *Relay, n int) {
	require.Eventually(t, func() bool { return r.Open() == n }, patience, time.Millisecond)
}

func write(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// read returns the next n bytes of a connection.
func read(t *testing.T, c net.Conn, n int) string {
	buf := make([]byte, n)
	_, err := io.ReadFull(c, buf)
	require.NoError(t, err)
	return string(buf)
}

// ending returns the error with which reading ends.
func ending(c net.Conn) error {
	_, err := c.Read(make([]byte, 1))
	return err
}

// Guards against bytes that are lost, changed or swapped between the directions,
// in bodies larger than all buffers, and against an end that is not passed on.
func TestPassesBytesBothWays(t *testing.T) {
	r, caller, peer := connected(t)
	const size = 8 << 20
	fill := rand.NewChaCha8([32]byte{1})
	body, response := make([]byte, size), make([]byte, size)
	_, _ = fill.Read(body)
	_, _ = fill.Read(response)
	go func() {
		_, err := caller.Write(body)
		assert.NoError(t, err)
		assert.NoError(t, caller.CloseWrite())
	}()
	sent := make(chan error, 1)
	go func() {
		_, err := peer.Write(response)
		sent <- err
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		data, err := io.ReadAll(peer)
		assert.NoError(t, err)
		assert.True(t, bytes.Equal(body, data), "the request differs")
		assert.NoError(t, <-sent)
		assert.NoError(t, peer.Close())
	}()
	data, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.True(t, bytes.Equal(response, data), "the response differs")
	<-done
	waitOpen(t, r, 0)
	require.Equal(t, Stats{Passed: 1}, r.Stats())
}

// Guards against a request whose end reaches the other router as the end of the
// connection, so that it can't respond any more.
func TestRequestMayEndBeforeResponse(t *testing.T) {
	_, caller, peer := connected(t)
	write(t, caller, "request")
	// A caller whose end comes right behind its request counts as gone.
	require.Equal(t, "request", read(t, peer, 7))
	require.NoError(t, caller.CloseWrite())
	require.ErrorIs(t, ending(peer), io.EOF)
	write(t, peer, "response")
	require.Equal(t, "response", read(t, caller, 8))
	require.NoError(t, peer.Close())
	require.ErrorIs(t, ending(caller), io.EOF)
}

// Guards against a response without a length whose end the caller takes for a
// failure.
func TestEndOfResponse(t *testing.T) {
	r, caller, peer := connected(t)
	write(t, peer, "response")
	require.NoError(t, peer.Close())
	data, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.Equal(t, "response", string(data))
	require.NoError(t, caller.Close())
	waitOpen(t, r, 0)
}

// Guards against a response that broke off and that the caller takes for a complete
// one.
func TestResetOfResponse(t *testing.T) {
	r, caller, peer := connected(t)
	write(t, peer, "part")
	require.Equal(t, "part", read(t, caller, 4))
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.ErrorIs(t, ending(caller), syscall.ECONNRESET)
	waitOpen(t, r, 0)
}

// Guards against requests of callers that have left, which the other router goes on
// to serve.
func TestCallerLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(*net.TCPConn) error
		end   error
	}{
		"end":   {(*net.TCPConn).Close, io.EOF},
		"reset": {func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			r, caller, peer := connected(t)
			write(t, caller, "request")
			require.Equal(t, "request", read(t, peer, 7))
			require.NoError(t, c.leave(caller))
			require.ErrorIs(t, ending(peer), c.end)
			require.NoError(t, peer.Close())
			waitOpen(t, r, 0)
		})
	}
}

// Guards against a response without an end to a caller that has left, for which the
// connection to the other router stays open.
func TestCallerLeavesDuringResponse(t *testing.T) {
	r, caller, peer := connected(t)
	write(t, peer, "part")
	require.Equal(t, "part", read(t, caller, 4))
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool {
		_, err := io.WriteString(peer, "more")
		return err != nil
	}, patience, time.Millisecond)
	waitOpen(t, r, 0)
}

// Guards against a connection that no router takes and that is lost, or is served
// here without the bytes that the caller has sent.
func TestServedHereIfNoRouterTakesIt(t *testing.T) {
	closing := func(answer string) func(*testing.T) string {
		return func(t *testing.T) string {
			l := listen(t)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, answer)
					_ = c.Close()
				}
			}()
			return l.Addr().String()
		}
	}
	for name, other := range map[string]func(*testing.T) string{
		"declines": closing(""),
		// Another program may have the port.
		"wrong answer": closing("HTTP/1.1 400 Bad Request\r\n\r\n"),
		"isn't there":  refusingAddr,
		// The listen queue takes the connection.
		"doesn't answer": func(t *testing.T) string { return listen(t).Addr().String() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRelay(other(t))
			r.Dial = new(net.Dialer).DialContext
			l := front(t, r)
			caller := dial(t, l)
			write(t, caller, "request")
			served := accept(t, l)
			require.Equal(t, "request", read(t, served, 7))
			write(t, served, "response")
			require.Equal(t, "response", read(t, caller, 8))
			require.Zero(t, r.Open())
			cause := Stats{Returned: 1, RefusedByPeer: 1}
			if name == "doesn't answer" {
				cause = Stats{Returned: 1, Unanswered: 1}
			}
			require.Equal(t, cause, r.Stats())
		})
	}
}

// Guards against a connection that is served here although the second router that
// is asked would take it.
func TestAsksAnotherRouter(t *testing.T) {
	gone, other := refusingAddr(t), listen(t)
	r := newRelay("")
	r.Peer = func(skip func(string) bool) (string, bool) {
		for _, addr := range []string{gone, other.Addr().String()} {
			if !skip(addr) {
				return addr, true
			}
		}
		return "", false
	}
	caller := dial(t, front(t, r))
	write(t, caller, "request")
	require.Equal(t, "request", read(t, take(t, other), 7))
	require.Equal(t, Stats{Passed: 1}, r.Stats())
}

// Guards against a router that declined and is asked again for every connection,
// and against one that isn't asked any more after it had no room once.
func TestDeclinedRouterIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network rwmemnetwork.Network
		r := newRelay("127.0.0.1:1")
		dials := 0
		r.Dial = func(ctx context.Context, kind, addr string) (net.Conn, error) {
			dials++
			return network.Dial(ctx, kind, addr)
		}
		pass := func() {
			caller, end := net.Pipe()
			defer func() { _, _ = caller.Close(), end.Close() }()
			require.False(t, r.pass(caller))
		}
		pass()
		require.Equal(t, 1, dials)
		time.Sleep(declinedTime - time.Nanosecond)
		pass()
		require.Equal(t, 1, dials)
		time.Sleep(time.Nanosecond)
		pass()
		require.Equal(t, 2, dials)
		require.EqualValues(t, 3, r.Stats().Returned)
	})
}

// Guards against a caller that waits for a router twice as long as passTimeout
// because connecting to it and its answer are bounded each on their own.
func TestAcceptTimeoutBoundsBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay("")
		r.Dial = func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(passTimeout * 3 / 4)
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			return near, nil
		}
		start := time.Now()
		_, err := r.connect("127.0.0.1:1", start.Add(passTimeout))
		require.ErrorIs(t, err, errDeclined)
		require.Equal(t, passTimeout, time.Since(start))
	})
}

// Guards against work of another router for a caller that gave up while its
// connection waited here.
func TestCallerThatHasLeftIsNotPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		linger int
		// state is the state of the socket here, which shows that it arrived.
		state uint8
	}{"end": {-1, unix.BPF_TCP_CLOSE_WAIT}, "reset": {0, unix.BPF_TCP_CLOSE}} {
		t.Run(name, func(t *testing.T) {
			r := newRelay("")
			r.Peer = func(func(string) bool) (string, bool) {
				assert.Fail(t, "a router was asked for")
				return "", false
			}
			inner := listen(t)
			caller := dial(t, inner)
			require.NoError(t, caller.SetLinger(c.linger))
			require.NoError(t, caller.Close())
			served := accept(t, inner)
			require.Eventually(t, func() bool { return socketState(t, served) == c.state }, patience, time.Millisecond)
			require.True(t, r.pass(served), "it isn't served here either")
			require.ErrorIs(t, served.SetDeadline(time.Time{}), net.ErrClosed)
			require.Equal(t, Stats{Gone: 1}, r.Stats())
		})
	}
}

// socketState returns the TCP state of a socket.
func socketState(t *testing.T, c *net.TCPConn) (state uint8) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if assert.NoError(t, err) {
			state = info.State
		}
	}))
	return state
}

// Guards against a caller that sends its request and ends its direction, and is
// taken for one that has left.
func TestCallerThatOnlyEndedItsRequestIsPassedOn(t *testing.T) {
	inner := listen(t)
	caller := dial(t, inner)
	write(t, caller, "request")
	require.NoError(t, caller.CloseWrite())
	served := accept(t, inner)
	require.False(t, hasLeft(served))
	require.Equal(t, "request", read(t, served, 7))
	require.ErrorIs(t, ending(served), io.EOF)
}

// Guards against more relayed connections than the memory and the file descriptors
// of the machine take, also while routers haven't answered yet.
func TestMaxOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network rwmemnetwork.Network
		other, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		inner, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		r := newRelay(other.Addr().String())
		r.Dial = network.Dial
		r.MaxOpen = 2
		l := r.Listener(inner)
		var ends []net.Conn
		t.Cleanup(func() {
			_, _ = l.Close(), other.Close()
			for _, c := range ends {
				_ = c.Close()
			}
		})
		call := func(text string) {
			c, err := network.Dial(t.Context(), "tcp", inner.Addr().String())
			require.NoError(t, err)
			ends = append(ends, c)
			go func() { _, _ = io.WriteString(c, text) }()
		}
		accept := func(l net.Listener) net.Conn {
			c, err := l.Accept()
			require.NoError(t, err)
			ends = append(ends, c)
			return c
		}
		call("1")
		call("2")
		first, second := accept(other), accept(other)
		call("3")
		require.Equal(t, "3", read(t, accept(l), 1), "served here while two others wait for an answer")
		for _, c := range []net.Conn{first, second} {
			write(t, c, string(answer()))
		}
		synctest.Wait()
		require.Equal(t, 2, r.Open())
		call("4")
		require.Equal(t, "4", read(t, accept(l), 1), "served here while two others are open")
		require.NoError(t, first.Close())
		synctest.Wait()
		require.Equal(t, 1, r.Open())
		call("5")
		third := accept(other)
		write(t, third, string(answer()))
		require.Equal(t, "5", read(t, third, 1))
	})
}

// Guards against a router that is told to stop and still passes connections on or
// accepts relayed ones, and against one that cuts those it has passed on.
func TestStop(t *testing.T) {
	other := listen(t)
	r := newRelay(other.Addr().String())
	l := front(t, r)
	caller := dial(t, l)
	peer := take(t, other)
	waitOpen(t, r, 1)
	waiting := dial(t, l)
	asked, err := other.Accept()
	require.NoError(t, err)
	prepare(t, asked)
	r.Stop()
	write(t, asked, string(answer()))
	require.Equal(t, waiting.LocalAddr(), accept(t, l).RemoteAddr(), "a router was asked when it stopped")
	require.ErrorIs(t, ending(asked), io.EOF)
	later := dial(t, l)
	require.Equal(t, later.LocalAddr(), accept(t, l).RemoteAddr())

	relayed := r.PeerListener(listen(t))
	done := make(chan error, 1)
	go func() {
		_, err := relayed.Accept()
		done <- err
	}()
	require.ErrorIs(t, ending(dial(t, relayed)), io.EOF)
	require.NoError(t, relayed.Close())
	require.ErrorIs(t, <-done, net.ErrClosed, "a relayed connection was accepted")
	require.Equal(t, Stats{Passed: 1, Returned: 1, Declined: 1}, r.Stats())

	require.Equal(t, 1, r.Open())
	write(t, caller, "request")
	require.Equal(t, "request", read(t, peer, 7))
	write(t, peer, "response")
	require.Equal(t, "response", read(t, caller, 8))
}

// Guards against a drain whose end leaves relayed connections open, or ends them so
// that a caller takes a response that broke off for a complete one.
func TestCut(t *testing.T) {
	r, caller, peer := connected(t)
	r.Cut()
	require.ErrorIs(t, ending(caller), syscall.ECONNRESET)
	require.ErrorIs(t, ending(peer), syscall.ECONNRESET)
	waitOpen(t, r, 0)
}

// Guards against goroutines that stay after the listener is closed, with a
// connection that waits to be accepted or with one that no router takes later.
func TestClosingListenerEndsAccept(t *testing.T) {
	for name, pass := range map[string]bool{"served here": false, "passed on": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// A goroutine that stays fails the test as a deadlock.
				var network rwmemnetwork.Network
				r := newRelay("")
				r.ShouldPass = func() bool { return pass }
				var far net.Conn
				r.Peer = func(func(string) bool) (string, bool) { return "127.0.0.1:1", far == nil }
				r.Dial = func(context.Context, string, string) (near net.Conn, _ error) {
					near, far = net.Pipe()
					return near, nil
				}
				inner, err := network.Listen("127.0.0.1:0")
				require.NoError(t, err)
				l := r.Listener(inner)
				caller, err := network.Dial(t.Context(), "tcp", inner.Addr().String())
				require.NoError(t, err)
				synctest.Wait()
				require.NoError(t, l.Close())
				_, err = l.Accept()
				require.ErrorIs(t, err, net.ErrClosed)
				// No router has taken it when this returns.
				require.ErrorIs(t, ending(caller), io.EOF)
				if far != nil {
					require.NoError(t, far.Close())
				}
			})
		})
	}
}

// Guards against an error of the inner listener that its server doesn't see.
func TestAcceptReturnsErrors(t *testing.T) {
	inner := listen(t)
	l := newRelay("").Listener(inner)
	require.NoError(t, inner.Close())
	_, err := l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	require.ErrorIs(t, l.Close(), net.ErrClosed)
}

// Guards against two relays that don't understand each other, and against a router
// that takes connections for which it has no room.
func TestBetweenTwoRelays(t *testing.T) {
	var room atomic.Bool
	room.Store(true)
	second := newRelay("")
	second.HasRoom = room.Load
	relayed := second.PeerListener(listen(t))
	first := newRelay(relayed.Addr().String())
	l := front(t, first)
	caller := dial(t, l)
	write(t, caller, "request")
	peer := accept(t, relayed)
	require.Equal(t, "request", read(t, peer, 7))
	write(t, peer, "response")
	require.NoError(t, peer.Close())
	data, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.Equal(t, "response", string(data))

	room.Store(false)
	done := make(chan error, 1)
	go func() {
		_, err := relayed.Accept()
		done <- err
	}()
	dial(t, l)
	accept(t, l)
	require.NoError(t, relayed.Close())
	require.ErrorIs(t, <-done, net.ErrClosed, "accepted without room")
	require.Equal(t, Stats{Passed: 1, Returned: 1, RefusedByPeer: 1}, first.Stats())
	require.Equal(t, Stats{Accepted: 1, Declined: 1}, second.Stats())
}

const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Guards against a refusal that is lost because its caller still sends the body
// when the other router ends the connection, as net/http does, or resets it.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"end then reset": func(c *net.TCPConn) error {
			err := c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			return errors.Join(err, c.Close())
		},
		// Unread bytes make it a reset.
		"reset": (*net.TCPConn).Close,
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				_, caller, peer := connected(t)
				go func() { _, _ = caller.Write(make([]byte, 16<<20)) }()
				read(t, peer, 100)
				write(t, peer, refusal)
				require.NoError(t, end(peer))
				got := make([]byte, len(refusal))
				_, err := io.ReadFull(caller, got)
				require.NoError(t, err, "the response is lost")
				require.Equal(t, refusal, string(got))
				require.NoError(t, caller.Close())
			}
		})
	}
}

// halfCloser is a connection in memory that can end one direction and be reset.
type halfCloser struct {
	net.Conn
	ended, reset atomic.Bool
}

func (c *halfCloser) SetLinger(sec int) error {
	c.reset.Store(sec == 0)
	return nil
}

func (c *halfCloser) CloseWrite() error {
	c.ended.Store(true)
	return nil
}

// Guards against a relay that stops reading the caller's bytes as the other router
// has ended the connection: unread bytes make the end a reset, which can overtake
// the response. Guards also against one that reads them without an end.
func TestReadsOnAfterResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		callerEnd, end := net.Pipe()
		near, peer := net.Pipe()
		t.Cleanup(func() { _ = end.Close() })
		caller := &halfCloser{Conn: callerEnd}
		start := time.Now()
		took := make(chan time.Duration, 1)
		go func() {
			newRelay("").join(&pair{caller: caller, peer: near})
			took <- time.Since(start)
		}()
		require.NoError(t, peer.Close())
		synctest.Wait()
		require.True(t, caller.ended.Load())
		for {
			if _, err := io.WriteString(end, "body"); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		require.Equal(t, lingerTime, <-took)
	})
}

// resetConn is a connection that was reset, as the kernel reports it: the first
// write fails, and reads then look like the regular end.
type resetConn struct {
	net.Conn
	written chan struct{}
}

func (c *resetConn) Write([]byte) (int, error) {
	close(c.written)
	// The reader may run first.
	time.Sleep(time.Millisecond)
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read([]byte) (int, error) {
	<-c.written
	return 0, io.EOF
}

// Guards against a response that broke off while its caller still sent, and that
// the caller takes for a complete one because the reset was reported to the writer.
func TestResetThatAWriteReports(t *testing.T) {
	callerEnd, end := net.Pipe()
	near, peer := net.Pipe()
	t.Cleanup(func() { _, _ = end.Close(), peer.Close() })
	caller := &halfCloser{Conn: callerEnd}
	go func() { _, _ = io.WriteString(end, "body") }()
	newRelay("").join(&pair{caller: caller, peer: &resetConn{near, make(chan struct{})}})
	require.True(t, caller.reset.Load())
	require.False(t, caller.ended.Load(), "the end of the response was passed on")
}

// eventSource is a connection on which an event arrives each millisecond.
type eventSource struct {
	net.Conn
	start          time.Time
	events, number int
}

const event = "data: x\n\n"

func (s *eventSource) Read(p []byte) (int, error) {
	if s.number == s.events {
		return 0, io.EOF
	}
	time.Sleep(time.Until(s.start.Add(time.Duration(s.number+1) * time.Millisecond)))
	arrived := min(int(time.Since(s.start)/time.Millisecond), s.events) - s.number
	arrived = min(arrived, len(p)/len(event))
	s.number += arrived
	return copy(p, strings.Repeat(event, arrived)), nil
}

// recorder is a connection that records what is written.
type recorder struct {
	net.Conn
	data   bytes.Buffer
	writes int
}

// SetWriteDeadline implements net.Conn.
func (r *recorder) SetWriteDeadline(time.Time) error { return nil }

func (r *recorder) Write(p []byte) (int, error) {
	r.writes++
	return r.data.Write(p)
}

// Guards against events that are lost, or that are written one by one, while a
// router collects what another one sends to save CPU time, and against events that
// wait without it.
func TestGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events, delay = 300, 30 * time.Millisecond
		for _, c := range []struct {
			gather time.Duration
			writes int
		}{{0, events}, {delay, events/30 + 1}} {
			start := time.Now()
			var to recorder
			p := &pair{caller: &to, peer: &eventSource{start: start, events: events}}
			err := copyResponse(p, func() time.Duration { return c.gather })
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, strings.Repeat(event, events), to.data.String())
			require.Equal(t, c.writes, to.writes)
			require.LessOrEqual(t, time.Since(start), (events+1)*time.Millisecond+c.gather)
		}
	})
}
