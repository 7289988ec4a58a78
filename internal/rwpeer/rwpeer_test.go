package rwpeer_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
)

const (
	key   = "0123456789abcdef"
	limit = 5 * time.Second
)

type end struct {
	peers   *rwpeer.Peers
	metrics *rwmetric.Metrics
	addr    string
}

func serve(t *testing.T, name, key string) end {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := rwmetric.New()
	p := rwpeer.New(rwidentity.Identity{Name: name, Inc: 7}, key, nil, zerolog.Nop(), m)
	p.Handle("echo", func(_ context.Context, from rwidentity.Identity, params json.RawMessage) (any, error) {
		return from.Name + string(params), nil
	})
	p.Handle("fail", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) {
		return nil, rwfault.New(rwcode.KeyHeld, "")
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = p.Serve(ctx, l)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return end{p, m, l.Addr().String()}
}

func call(t *testing.T, from, to end, method string, params any) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var out string
	err := from.peers.Call(ctx, to.addr, method, params, &out)
	return out, err
}

// Guards against a call that loses the caller's identity or the code of a
// failure.
func TestCallCarriesIdentityAndCode(t *testing.T) {
	a, b := serve(t, "a", key), serve(t, "b", key)
	out, err := call(t, a, b, "echo", 5)
	require.NoError(t, err)
	require.Equal(t, "a5", out)
	_, err = call(t, a, b, "fail", nil)
	require.True(t, rwfault.Is(err, rwcode.KeyHeld), "%v", err)
}

// Guards against a router that closes its links while it writes a result, since
// it doesn't know that the result is not written yet.
func TestWrittenIsCalledAfterReply(t *testing.T) {
	a, b := serve(t, "a", key), serve(t, "b", key)
	written := make(chan struct{})
	b.peers.Handle("tracked", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) {
		return rwpeer.Reply{Result: result{written: written}, Written: func() { close(written) }}, nil
	})
	out, err := call(t, a, b, "tracked", nil)
	require.NoError(t, err)
	require.Equal(t, "open", out)
	select {
	case <-written:
	case <-time.After(limit):
		require.Fail(t, "Written was not called")
	}
}

// result tells whether a channel was closed at the time at which it is encoded.
type result struct{ written chan struct{} }

// MarshalJSON implements json.Marshaler.
func (r result) MarshalJSON() ([]byte, error) {
	select {
	case <-r.written:
		return json.Marshal("closed")
	default:
		return json.Marshal("open")
	}
}

// Guards against a peer that is accepted without the fleet's key.
func TestWrongKeyIsRejected(t *testing.T) {
	a, b := serve(t, "a", "another-key-of-16"), serve(t, "b", key)
	_, err := call(t, a, b, "echo", 5)
	require.Error(t, err)
	require.Equal(t, "1", a.metrics.Refusals.Get(rwcode.PeerKey.String()).String())
}

// Guards against a peer that skips the handshake or sends a malformed or endless
// first message, and against the memory that such a message would take.
func TestBadFirstMessages(t *testing.T) {
	b := serve(t, "b", key)
	for _, text := range []string{
		`{"jsonrpc":"2.0","id":1,"method":"echo","params":5}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"ver":99}}` + "\n",
		"not json\n",
		strings.Repeat("x", 2<<20),
	} {
		conn, err := net.Dial("tcp", b.addr)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(limit)))
		_, _ = conn.Write([]byte(text))
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err, "the connection must be closed without an answer")
		require.NotErrorIs(t, err, context.DeadlineExceeded)
		require.NoError(t, conn.Close())
	}
}

// Guards against a closed connection that is not opened again.
func TestLinkReopens(t *testing.T) {
	a, b := serve(t, "a", key), serve(t, "b", key)
	_, err := call(t, a, b, "echo", 1)
	require.NoError(t, err)
	a.peers.CloseControl(b.addr)
	require.Eventually(t, func() bool {
		_, err := call(t, a, b, "echo", 1)
		return err == nil
	}, limit, 10*time.Millisecond)
}

// Guards against a call on the data connection that waits for its timeout
// although the peer has ended, and against the abort of calls to a later
// incarnation of that peer.
func TestCloseIncarnationEndsCalls(t *testing.T) {
	a, b := serve(t, "a", key), serve(t, "b", key)
	began, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	b.peers.Handle("wait", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) {
		close(began)
		<-release
		return nil, nil
	})
	ended := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() { ended <- a.peers.CallData(ctx, b.addr, "wait", nil, nil) }()
	<-began
	gone := rwidentity.Identity{Name: "b", Addr: b.addr, Inc: b.peers.Self().Inc - 1}
	a.peers.CloseIncarnation(gone)
	select {
	case err := <-ended:
		require.Fail(t, "the call to the later incarnation ended", "%v", err)
	case <-time.After(50 * time.Millisecond):
	}
	gone.Inc++
	a.peers.CloseIncarnation(gone)
	require.True(t, rwfault.Is(<-ended, rwcode.PeerUnreachable))
	require.NoError(t, ctx.Err(), "the call ended by its timeout")
}

// flaky is a listener whose first calls of Accept fail.
type flaky struct {
	net.Listener
	failures atomic.Int32
}

func (f *flaky) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// Guards against a router that stops because it has no file descriptors left for
// a moment.
func TestServeSurvivesFailedAccepts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &flaky{Listener: l}
	f.failures.Store(2)
	p := rwpeer.New(rwidentity.Identity{Name: "a", Addr: l.Addr().String()}, key, nil, zerolog.Nop(), rwmetric.New())
	p.Handle("echo", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) { return 7, nil })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Serve(ctx, f) }()
	q := rwpeer.New(rwidentity.Identity{Name: "b"}, key, nil, zerolog.Nop(), rwmetric.New())
	var n int
	require.NoError(t, q.Call(t.Context(), l.Addr().String(), "echo", nil, &n))
	require.Equal(t, 7, n)
	cancel()
	require.NoError(t, <-done)
}

// Guards against a malformed message that reaches its handler and against
// parameters that are lost in decoding.
func TestTyped(t *testing.T) {
	var got []int
	h := rwpeer.Typed(func(_ context.Context, _ rwidentity.Identity, n int) (any, error) {
		got = append(got, n)
		return n + 1, nil
	})
	answer, err := h(t.Context(), rwidentity.Identity{}, json.RawMessage(`4`))
	require.NoError(t, err)
	require.Equal(t, 5, answer)
	for _, bad := range []string{``, `"x"`, `{`} {
		_, err = h(t.Context(), rwidentity.Identity{}, json.RawMessage(bad))
		require.True(t, rwfault.Is(err, rwcode.PeerMalformed), bad)
	}
	require.Equal(t, []int{4}, got)
}

// Guards against notifications that arrive in another order, and against
// goroutines that a stopped router leaves behind: the bubble ends with the last.
func TestNotificationsArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network rwmemnetwork.Network
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := func(name string) *rwpeer.Peers {
			l, err := network.Listen(name)
			require.NoError(t, err)
			p := rwpeer.New(rwidentity.Identity{Name: name, Inc: 7}, key, nil, zerolog.Nop(), rwmetric.New())
			p.Dial = network.Dial
			go func() { _ = p.Serve(ctx, l) }()
			return p
		}
		const sender, receiver = "127.0.0.1:1", "127.0.0.1:2"
		from, to := start(sender), start(receiver)
		var got []string
		to.Handle("note", func(_ context.Context, _ rwidentity.Identity, params json.RawMessage) (any, error) {
			got = append(got, string(params))
			return nil, nil
		})
		var want []string
		for i := range 100 {
			want = append(want, strconv.Itoa(i))
			from.Notify(receiver, "note", i)
			if i%10 == 0 {
				synctest.Wait()
			}
		}
		synctest.Wait()
		require.Equal(t, want, got)
	})
}

// lateListener accepts its connection when it is closed.
type lateListener struct {
	net.Listener
	conn   net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	return l.conn, nil
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

// Guards against a connection that a stopping router accepts and then leaves open:
// its peer waits for an answer until the handshake times out.
func TestConnectionAcceptedAtTheEndIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		ctx, cancel := context.WithCancel(t.Context())
		p := rwpeer.New(rwidentity.Identity{Name: "a"}, key, nil, zerolog.Nop(), rwmetric.New())
		require.NoError(t, near.SetDeadline(time.Now().Add(time.Second)))
		served := make(chan error, 1)
		go func() { served <- p.Serve(ctx, &lateListener{conn: far, closed: make(chan struct{})}) }()
		synctest.Wait()
		cancel()
		require.NoError(t, <-served)
		_, err := near.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against a call that waits longer than its time limit because another one
// opens the link: requests then waited for owners that didn't answer.
func TestCallDoesNotWaitForALinkThatOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := rwpeer.New(rwidentity.Identity{Name: "a"}, key, nil, zerolog.Nop(), rwmetric.New())
		p.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		call := func(wait time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			require.True(t, rwfault.Is(p.Call(ctx, "10.0.0.1:1", "echo", 1, nil), rwcode.PeerUnreachable))
		}
		go call(time.Minute)
		synctest.Wait()
		start := time.Now()
		call(50 * time.Millisecond)
		require.Equal(t, 50*time.Millisecond, time.Since(start))
		time.Sleep(time.Minute)
	})
}
