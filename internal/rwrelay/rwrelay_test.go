package rwrelay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
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
	"redwingworks.example/internal/rwmux"
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

// accepting is the greet of a router that accepts each connection, with version 0 of
// the configuration.
func accepting() ([]byte, bool) { return make([]byte, 8), true }

// newRelay returns a relay that passes every connection on to a router.
func newRelay(addr string) *Relay {
	r := New()
	r.ShouldPass = func() bool { return true }
	r.HasRoom = func() bool { return true }
	r.Peers = func() []Peer { return []Peer{{Addr: addr}} }
	r.Dial = new(net.Dialer).DialContext
	r.MaxOpen = 100
	r.Version = func() int64 { return 0 }
	// The answers of routers are waited for longer, as on a slow machine.
	r.idleAt.Store(0)
	r.acceptAt.Store(0)
	return r
}

// streams accepts the connections that a relay passes on to a listener, as another
// router does, until the end of the test.
func streams(t *testing.T, l net.Listener, greet func() ([]byte, bool)) <-chan *rwmux.Stream {
	taken := make(chan *rwmux.Stream, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m := rwmux.NewServer(c, greet)
			t.Cleanup(m.Shutdown)
			go func() {
				for {
					s, err := m.Accept()
					if err != nil {
						return
					}
					taken <- s
				}
			}()
		}
	}()
	return taken
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

// take returns the next relayed connection as another router gets it.
func take(t *testing.T, taken <-chan *rwmux.Stream) *rwmux.Stream {
	select {
	case s := <-taken:
		require.NoError(t, s.SetDeadline(time.Now().Add(patience)))
		t.Cleanup(func() { _ = s.Close() })
		return s
	case <-time.After(patience):
		require.Fail(t, "no relayed connection")
		return nil
	}
}

// connected returns a relay and both ends of a connection that it passes on.
func connected(t *testing.T) (r *Relay, caller *net.TCPConn, peer *rwmux.Stream) {
	other := listen(t)
	taken := streams(t, other, accepting)
	r = newRelay(other.Addr().String())
	caller = dial(t, front(t, r))
	peer = take(t, taken)
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
		// Another program may have the port, or a router of the release before, which
		// answers at once.
		"wrong answer":   closing("HTTP/1.1 400 Bad Request\r\n\r\n"),
		"release before": closing("a\x00\x00\x00\x00\x00\x00\x00\x01"),
		"isn't there":    refusingAddr,
		// The listen queue takes the connection.
		"doesn't answer": func(t *testing.T) string { return listen(t).Addr().String() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRelay(other(t))
			l := front(t, r)
			caller := dial(t, l)
			write(t, caller, "request")
			served := accept(t, l)
			require.Equal(t, "request", read(t, served, 7))
			write(t, served, "response")
			require.Equal(t, "response", read(t, caller, 8))
			require.Zero(t, r.Open())
			cause := Stats{Returned: 1, NoPeer: 1}
			require.Equal(t, cause, r.Stats())
		})
	}
}

// Guards against a connection that is served here although the second router that
// is asked would take it.
func TestAsksAnotherRouter(t *testing.T) {
	for name, first := range map[string]func(*testing.T) string{
		"refuses": refusingAddr,
		"declines": func(t *testing.T) string {
			l := listen(t)
			streams(t, l, func() ([]byte, bool) { return nil, false })
			return l.Addr().String()
		},
		"has an older configuration": func(t *testing.T) string {
			l := listen(t)
			streams(t, l, accepting)
			return l.Addr().String()
		},
	} {
		t.Run(name, func(t *testing.T) {
			gone, other := first(t), listen(t)
			taken := streams(t, other, func() ([]byte, bool) { return []byte{0, 0, 0, 0, 0, 0, 0, 1}, true })
			r := newRelay("")
			r.Version = func() int64 { return 1 }
			r.Peers = func() []Peer { return []Peer{{Addr: gone, Near: true}, {Addr: other.Addr().String()}} }
			caller := dial(t, front(t, r))
			write(t, caller, "request")
			require.Equal(t, "request", read(t, take(t, taken), 7))
			require.Equal(t, Stats{Passed: 1}, r.Stats())
		})
	}
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
			require.False(t, r.pass(caller, func() {}))
		}
		pass()
		require.Equal(t, 1, dials)
		time.Sleep(unreachableTime - time.Nanosecond)
		pass()
		require.Equal(t, 1, dials)
		time.Sleep(time.Nanosecond)
		pass()
		require.Equal(t, 2, dials)
		require.EqualValues(t, 3, r.Stats().Returned)
	})
}

// Guards against a router that declined and is asked again at once for every
// connection, and against one that isn't asked again as soon as it may have room: with
// few routers in the zone, those that declined were passed over for longer than it took
// all of them to decline, and nothing was passed on.
func TestRouterThatDeclinedIsAskedAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay("127.0.0.1:1")
		asked := 0
		var m *rwmux.Mux
		r.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			m = rwmux.NewServer(far, func() ([]byte, bool) {
				asked++
				return nil, false
			})
			return near, nil
		}
		pass := func() {
			caller, end := net.Pipe()
			defer func() { _, _ = caller.Close(), end.Close() }()
			require.False(t, r.pass(caller, func() {}))
		}
		pass()
		pass()
		require.Equal(t, 1, asked)
		time.Sleep(declinedTime)
		pass()
		require.Equal(t, 2, asked)
		r.links.close()
		m.Shutdown()
	})
}

// Guards against a caller that waits for a router twice as long as passTimeout
// because opening a link to it and its answer are bounded each on their own.
func TestAcceptTimeoutBoundsBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelay("127.0.0.1:1")
		r.idleAt.Store(time.Now().UnixNano())
		r.Dial = func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(passTimeout * 3 / 4)
			near, far := net.Pipe()
			m := rwmux.NewServer(far, func() ([]byte, bool) {
				time.Sleep(time.Second)
				return nil, false
			})
			t.Cleanup(m.Shutdown)
			return near, nil
		}
		t.Cleanup(r.links.close)
		start := time.Now()
		_, err := r.ask()
		require.Error(t, err)
		require.Equal(t, passTimeout, time.Since(start))
		// Lets the other router's answer pass.
		time.Sleep(2 * time.Second)
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
			r.Peers = func() []Peer {
				assert.Fail(t, "a router was asked for")
				return nil
			}
			inner := listen(t)
			caller := dial(t, inner)
			require.NoError(t, caller.SetLinger(c.linger))
			require.NoError(t, caller.Close())
			served := accept(t, inner)
			require.Eventually(t, func() bool { return socketState(t, served) == c.state }, patience, time.Millisecond)
			require.True(t, r.pass(served, func() {}), "it isn't served here either")
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
		answer := make(chan struct{}, 10)
		taken := streams(t, other, func() ([]byte, bool) {
			<-answer
			return accepting()
		})
		l := r.Listener(inner)
		var ends []net.Conn
		t.Cleanup(func() {
			close(answer)
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
		synctest.Wait()
		call("3")
		require.Equal(t, "3", read(t, accept(l), 1), "served here while two others wait for an answer")
		answer <- struct{}{}
		answer <- struct{}{}
		first := <-taken
		<-taken
		synctest.Wait()
		require.Equal(t, 2, r.Open())
		call("4")
		require.Equal(t, "4", read(t, accept(l), 1), "served here while two others are open")
		require.NoError(t, first.Close())
		time.Sleep(lingerTime)
		synctest.Wait()
		require.Equal(t, 1, r.Open())
		answer <- struct{}{}
		call("5")
		require.Equal(t, "5", read(t, <-taken, 1))
	})
}

// Guards against a router that is told to stop and still passes connections on or
// accepts relayed ones, and against one that cuts those it has passed on.
func TestStop(t *testing.T) {
	other := listen(t)
	asked, answer := make(chan struct{}, 2), make(chan struct{}, 2)
	taken := streams(t, other, func() ([]byte, bool) {
		asked <- struct{}{}
		<-answer
		return accepting()
	})
	r := newRelay(other.Addr().String())
	l := front(t, r)
	caller := dial(t, l)
	answer <- struct{}{}
	peer := take(t, taken)
	waitOpen(t, r, 1)
	<-asked
	waiting := dial(t, l)
	<-asked
	r.Stop()
	answer <- struct{}{}
	require.Equal(t, waiting.LocalAddr(), accept(t, l).RemoteAddr(), "a router was asked when it stopped")
	require.ErrorIs(t, ending(take(t, taken)), syscall.ECONNRESET)
	later := dial(t, l)
	require.Equal(t, later.LocalAddr(), accept(t, l).RemoteAddr())

	relayed := r.PeerListener(listen(t))
	done := make(chan error, 1)
	go func() {
		_, err := relayed.Accept()
		done <- err
	}()
	m := rwmux.NewClient(dial(t, relayed))
	t.Cleanup(m.Shutdown)
	_, _, err := m.Open(t.Context())
	require.ErrorIs(t, err, rwmux.ErrDeclined)
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
				r.Peers = func() []Peer { return []Peer{{Addr: "127.0.0.1:1"}} }
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
	peer, err := relayed.Accept()
	require.NoError(t, err)
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
	for name, end := range map[string]func(*rwmux.Stream) error{
		"end, then close": func(s *rwmux.Stream) error {
			err := s.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			return errors.Join(err, s.Close())
		},
		"close with unread bytes": (*rwmux.Stream).Close,
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
			newRelay("").join(&pair{caller: caller, peer: &readConn{near}})
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

// readConn is a connection to another router without a mux.
type readConn struct{ net.Conn }

func (c *readConn) Next() ([]byte, error) {
	buf := make([]byte, 1024)
	n, err := c.Read(buf)
	return buf[:n], err
}

func (c *readConn) ResetsOnClose() bool { return false }

// Guards against a response that broke off while its caller still sent, and that
// the caller takes for a complete one because the reset was reported to the writer.
func TestResetThatAWriteReports(t *testing.T) {
	_, caller, peer := connected(t)
	written := make(chan error, 1)
	go func() {
		_, err := caller.Write(make([]byte, 16<<20))
		written <- err
	}()
	read(t, peer, 100)
	write(t, peer, "part")
	require.Equal(t, "part", read(t, caller, 4))
	// The kernel reports a reset once, to a write or to a read.
	require.NoError(t, caller.SetWriteDeadline(time.Now()))
	require.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.ErrorIs(t, ending(caller), syscall.ECONNRESET)
}

// Guards against a response that ends with its connection and that its caller takes
// for a complete one because the process that relays it has ended, and against a
// complete one that is reset.
func TestUnframedResponseResetsItsCaller(t *testing.T) {
	for name, complete := range map[string]bool{"complete": true, "broken off": false} {
		t.Run(name, func(t *testing.T) {
			r, caller, peer := connected(t)
			require.NoError(t, peer.SetLinger(0))
			write(t, peer, "part")
			require.Equal(t, "part", read(t, caller, 4))
			if complete {
				require.NoError(t, peer.SetLinger(-1))
				require.NoError(t, peer.Close())
				require.ErrorIs(t, ending(caller), io.EOF)
				return
			}
			// As the end of the process does.
			r.mu.Lock()
			for p := range r.open {
				require.NoError(t, p.caller.Close())
			}
			r.mu.Unlock()
			require.ErrorIs(t, ending(caller), syscall.ECONNRESET)
		})
	}
}

// eventSource is a connection on which an event arrives each millisecond.
type eventSource struct {
	net.Conn
	start          time.Time
	events, number int
}

const event = "data: x\n\n"

func (s *eventSource) Next() ([]byte, error) {
	if s.number == s.events {
		return nil, io.EOF
	}
	time.Sleep(time.Until(s.start.Add(time.Duration(s.number+1) * time.Millisecond)))
	arrived := min(int(time.Since(s.start)/time.Millisecond), s.events) - s.number
	s.number += arrived
	return []byte(strings.Repeat(event, arrived)), nil
}

func (s *eventSource) ResetsOnClose() bool { return false }

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
