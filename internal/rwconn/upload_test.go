package rwconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// longUpload is more than the buffers of two sockets hold, shortUpload is written
	// beside the reading of the response and fits into them.
	longUpload  = 32 << 20
	shortUpload = 64 << 10
	// unframedAnswer is a response that ends with its connection.
	unframedAnswer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"
	socketTimeout  = 10 * time.Second
)

// serveUnread starts an upstream that serves a first request, if the connection is to
// be kept, and reads only the head of the next one before answer writes the response.
func serveUnread(t *testing.T, kept bool, answer func(c *net.TCPConn, r *bufio.Reader)) *upstream {
	return serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		_ = c.SetDeadline(time.Now().Add(socketTimeout))
		if kept && u.next(r) {
			_, _ = io.WriteString(c, response("1", "hello"))
		}
		if _, err := http.ReadRequest(r); err == nil {
			answer(c.(*net.TCPConn), r)
		}
	})
}

// Guards against a response without a length or chunks that looks complete although
// its connection was reset: the reset may be reported to the writer of the request's
// body, so that the reader of the response sees the end of the connection alone.
func TestResetWhileTheBodyIsWrittenIsNoEnd(t *testing.T) {
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	answers := map[string]func(c *net.TCPConn, r *bufio.Reader){
		"reset": func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, unframedAnswer)
			time.Sleep(20 * time.Millisecond)
			reset(c)
		},
		"closed with a part unread": func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, unframedAnswer)
			time.Sleep(20 * time.Millisecond)
			_ = c.Close()
		},
		"end, then reset": func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, unframedAnswer)
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			reset(c)
		},
		"end, and the rest is not read": func(c *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, unframedAnswer)
			_ = c.CloseWrite()
			time.Sleep(2 * uploadEndTimeout)
		},
	}
	for name, answer := range answers {
		for _, size := range []int{shortUpload, longUpload} {
			if size == shortUpload && name[:3] == "end" {
				// The system of the upstream has the whole body, and the end came first.
				continue
			}
			for _, kept := range []bool{false, true} {
				for _, wait := range []time.Duration{0, 100 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/%d bytes/kept %t/read after %v", name, size, kept, wait), func(t *testing.T) {
						t.Parallel()
						u := serveUnread(t, kept, answer)
						p := newPool()
						if kept {
							require.Equal(t, "hello", body(t, p, u.request("1")))
						}
						req := u.request("1")
						req.Body = make([]byte, size)
						resp, err := p.Do(t.Context(), req)
						if err != nil {
							// The reset came before the head was read.
							return
						}
						defer resp.Close()
						require.True(t, resp.EndsWithConnection())
						time.Sleep(wait)
						data, err := io.ReadAll(resp.Body())
						require.Error(t, err, "the response looks complete: %q", data)
					})
				}
			}
		}
	}
}

// Guards against the loss of complete responses that an upstream writes before it
// reads the body, and against the reuse of connections on which it hasn't read all.
func TestEarlyResponsesAreComplete(t *testing.T) {
	readRest := func(c *net.TCPConn, r *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	}
	hold := func(*net.TCPConn, *bufio.Reader) { time.Sleep(100 * time.Millisecond) }
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for name, c := range map[string]struct {
		answer string
		then   func(*net.TCPConn, *bufio.Reader)
	}{
		"neither, the rest is read": {unframedAnswer, readRest},
		"length":                    {head + "Content-Length: 4\r\n\r\npart", hold},
		"chunks":                    {head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", hold},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept %t", name, kept), func(t *testing.T) {
				u := serveUnread(t, kept, func(conn *net.TCPConn, r *bufio.Reader) {
					_, _ = io.WriteString(conn, c.answer)
					c.then(conn, r)
				})
				p := newPool()
				if kept {
					require.Equal(t, "hello", body(t, p, u.request("1")))
				}
				req := u.request("1")
				req.Body = make([]byte, longUpload)
				require.Equal(t, "part", body(t, p, req))
				require.Empty(t, p.idle[req.Key], "the connection is reused")
			})
		}
	}
}

// Guards against a response that looks complete although the upstream's system hasn't
// acknowledged the whole body and may still reset the connection: the body fits into
// the router's send buffer, and the upstream reads none of it.
func TestEndBeforeTheBodyIsAcknowledgedIsNoEnd(t *testing.T) {
	const (
		receiveBuffer = 4 << 10
		body          = 1 << 20
	)
	u := serve(t, func(_ *upstream, c net.Conn, r *bufio.Reader) {
		socket := c.(*net.TCPConn)
		_ = socket.SetReadBuffer(receiveBuffer)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(socket, unframedAnswer)
		_ = socket.CloseWrite()
		time.Sleep(uploadEndTimeout / 2)
		_ = socket.SetLinger(0)
		_ = socket.Close()
	})
	req := u.request("1")
	req.Body = make([]byte, body)
	p := newPool()
	dial := p.Dial
	p.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(2 * body)
		}
		return c, err
	}
	resp, err := p.Do(t.Context(), req)
	require.NoError(t, err)
	defer resp.Close()
	data, err := io.ReadAll(resp.Body())
	require.Error(t, err, "the response looks complete: %q", data)
}
