package rwedge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwmemnetwork"
)

// testNetwork is a network in memory for the tests that run in virtual time.
type testNetwork struct{ rwmemnetwork.Network }

// newTestNetwork returns a network without listeners. It must be called before
// anything else registers a cleanup, so that its own runs last.
func newTestNetwork(t *testing.T) *testNetwork {
	// Lets requests and connections in progress end, which have timeouts.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	return &testNetwork{}
}

// listen opens a listener at an unused address.
func (n *testNetwork) listen(t *testing.T) net.Listener {
	l, err := n.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func (n *testNetwork) dial(t *testing.T, l net.Listener) net.Conn {
	conn, err := n.Dial(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// serveUpstream serves an upstream until the end of the test and returns its
// address.
func (n *testNetwork) serveUpstream(t *testing.T, h http.HandlerFunc) string {
	l := n.listen(t)
	upstream := &http.Server{Handler: h}
	go func() { _ = upstream.Serve(l) }()
	t.Cleanup(func() { _ = upstream.Close() })
	return l.Addr().String()
}

// serveRouter serves a router until the end of the test.
func (n *testNetwork) serveRouter(t *testing.T, e *Edge) net.Listener {
	l := n.listen(t)
	go func() { _ = serve(t.Context(), e.server, e.connLimiter.Listener(l, 100)) }()
	return l
}

func (n *testNetwork) connect(t *testing.T, l net.Listener) *caller {
	conn := n.dial(t, l)
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	return &caller{t, conn, bufio.NewReader(receive(conn))}
}

// receiveBuffer is the receive buffer that connections in memory lack: without
// one, the router's writes wait until the test reads.
type receiveBuffer struct {
	mu      sync.Mutex
	arrived *sync.Cond
	data    bytes.Buffer
	// err is what ended the connection.
	err error
}

// receive reads all that arrives on a connection into a buffer.
func receive(conn net.Conn) *receiveBuffer {
	b := &receiveBuffer{}
	b.arrived = sync.NewCond(&b.mu)
	go func() {
		_, err := io.Copy(b, conn)
		if err == nil {
			err = io.EOF
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.err = err
		b.arrived.Broadcast()
	}()
	return b
}

// Write implements io.Writer.
func (b *receiveBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived.Broadcast()
	return b.data.Write(p)
}

// Read implements io.Reader.
func (b *receiveBuffer) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.data.Len() == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.arrived.Wait()
	}
	return b.data.Read(p)
}
