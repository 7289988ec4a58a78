package rwproxy_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwdirection"
	"redwingworks.example/test/rwlink"
	"redwingworks.example/test/rwproxy"
)

// echo starts a server that sends back each byte.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// byLine uses the first line as the source.
func byLine(first []byte) (string, bool) {
	name, _, ok := strings.Cut(string(first), "\n")
	return name, ok
}

func start(t *testing.T, identify rwproxy.Identify) *rwproxy.Proxy {
	p, err := rwproxy.New(echo(t), identify)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

type client struct {
	t *testing.T
	net.Conn
}

func dial(t *testing.T, p *rwproxy.Proxy) client {
	c, err := net.Dial("tcp", p.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return client{t, c}
}

// exchange sends a text and returns what is received within the time limit.
func (c client) exchange(text string, limit time.Duration) (string, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	return c.receive(len(text), limit)
}

func (c client) receive(n int, limit time.Duration) (string, error) {
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(limit)))
	got := make([]byte, n)
	k, err := io.ReadFull(c, got)
	return string(got[:k]), err
}

const (
	stallTimeout  = 150 * time.Millisecond
	answerTimeout = 5 * time.Second
)

// Guards against lost or changed bytes, also in large transfers, and against an
// end of stream that is not forwarded.
func TestForwards(t *testing.T) {
	p := start(t, nil)
	c := dial(t, p)
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() {
		_, _ = c.Write(data)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
	}()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(answerTimeout)))
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.True(t, bytes.Equal(data, got))
}

// Guards against a stalled direction that forwards bytes or loses them when the
// stall ends, and against stalling both directions instead of one.
func TestStall(t *testing.T) {
	for name, link := range map[string]rwlink.Link{
		"up":   {Up: rwdirection.Direction{Stall: true}},
		"down": {Down: rwdirection.Direction{Stall: true}},
	} {
		t.Run(name, func(t *testing.T) {
			p := start(t, nil)
			c := dial(t, p)
			got, err := c.exchange("a", answerTimeout)
			require.NoError(t, err)
			require.Equal(t, "a", got)
			p.Set("", link)
			_, err = c.exchange("b", stallTimeout)
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			p.Set("", rwlink.Link{})
			got, err = c.receive(1, answerTimeout)
			require.NoError(t, err)
			require.Equal(t, "b", got)
		})
	}
}

// Guards against a one-way fault that also stops responses that are already on
// their way, which would make it a fault in both directions.
func TestStallUpKeepsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	p, err := rwproxy.New(l.Addr().String(), nil)
	require.NoError(t, err)
	defer p.Close()
	c := dial(t, p)
	server, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	p.Set("", rwlink.Link{Up: rwdirection.Direction{Stall: true}})
	_, err = io.WriteString(server, "x")
	require.NoError(t, err)
	got, err := c.receive(1, answerTimeout)
	require.NoError(t, err)
	require.Equal(t, "x", got)
}

// Guards against a delay that is not applied in each direction, or that adds up
// over the chunks of a transfer.
func TestDelay(t *testing.T) {
	p := start(t, nil)
	const delay = 40 * time.Millisecond
	p.Set("", rwlink.Link{Up: rwdirection.Direction{Delay: delay}, Down: rwdirection.Direction{Delay: delay}})
	c := dial(t, p)
	begin := time.Now()
	go func() {
		for range 20 {
			_, _ = io.WriteString(c, "x")
			time.Sleep(5 * time.Millisecond)
		}
	}()
	_, err := c.receive(1, answerTimeout)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(begin), 2*delay)
	_, err = c.receive(19, answerTimeout)
	require.NoError(t, err)
	require.Less(t, time.Since(begin), 10*delay)
}

// Guards against existing connections that survive Refuse and new ones that get
// through.
func TestRefuse(t *testing.T) {
	p := start(t, nil)
	c := dial(t, p)
	_, err := c.exchange("a", answerTimeout)
	require.NoError(t, err)
	p.Set("", rwlink.Link{Refuse: true})
	_, err = c.exchange("b", answerTimeout)
	require.True(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
	// The reset may arrive while the connection is still being opened.
	conn, err := net.Dial("tcp", p.Addr())
	if err == nil {
		_, err = client{t, conn}.exchange("c", answerTimeout)
		_ = conn.Close()
	}
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	p.Set("", rwlink.Link{})
	_, err = dial(t, p).exchange("d", answerTimeout)
	require.NoError(t, err)
}

// Guards against a hanging connection that is answered or refused.
func TestHang(t *testing.T) {
	p := start(t, nil)
	p.Set("", rwlink.Link{Hang: true})
	_, err := dial(t, p).exchange("a", stallTimeout)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against throttling that forwards faster than configured.
func TestThrottle(t *testing.T) {
	p := start(t, nil)
	p.Set("", rwlink.Link{Down: rwdirection.Direction{ThrottleBytes: 2, ThrottleInterval: 20 * time.Millisecond}})
	c := dial(t, p)
	begin := time.Now()
	got, err := c.exchange("0123456789", answerTimeout)
	require.NoError(t, err)
	require.Equal(t, "0123456789", got)
	require.GreaterOrEqual(t, time.Since(begin), 80*time.Millisecond)
}

// Guards against a reset that comes too early, too late or as an orderly end.
func TestResetAfter(t *testing.T) {
	p := start(t, nil)
	p.Set("", rwlink.Link{Down: rwdirection.Direction{ResetAfter: 4}})
	c := dial(t, p)
	got, err := c.exchange("0123456789", answerTimeout)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	// The kernel may drop received bytes when the reset arrives.
	require.LessOrEqual(t, len(got), 4)
}

// Guards against a fault that affects the connections of other sources.
func TestSources(t *testing.T) {
	p := start(t, byLine)
	p.Set("bad", rwlink.Link{Up: rwdirection.Direction{Stall: true}})
	good, bad := dial(t, p), dial(t, p)
	got, err := good.exchange("good\nx", answerTimeout)
	require.NoError(t, err)
	require.Equal(t, "good\nx", got)
	_, err = bad.exchange("bad\nx", stallTimeout)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	p.Set("bad", rwlink.Link{})
	got, err = bad.receive(5, answerTimeout)
	require.NoError(t, err)
	require.Equal(t, "bad\nx", got)
}

// Guards against connection attempts that accumulate during a stall and all
// arrive when it ends.
func TestAbandonedDuringStall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	p, err := rwproxy.New(l.Addr().String(), nil)
	require.NoError(t, err)
	defer p.Close()
	p.Set("", rwlink.Link{Up: rwdirection.Direction{Stall: true}})
	c := dial(t, p)
	_, _ = io.WriteString(c, "late")
	server, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	require.NoError(t, c.Close())
	require.NoError(t, server.SetReadDeadline(time.Now().Add(answerTimeout)))
	got, err := io.ReadAll(server)
	require.Empty(t, got)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against connections or goroutines that outlive the proxy.
func TestCloseEndsStalledConnections(t *testing.T) {
	p := start(t, nil)
	c := dial(t, p)
	_, err := c.exchange("a", answerTimeout)
	require.NoError(t, err)
	p.Set("", rwlink.Link{Up: rwdirection.Direction{Stall: true}, Down: rwdirection.Direction{Stall: true}})
	_, _ = io.WriteString(c, "b")
	ended := make(chan struct{})
	go func() {
		p.Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(answerTimeout):
		require.Fail(t, "the proxy doesn't end")
	}
}
