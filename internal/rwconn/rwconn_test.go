package rwconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdialect"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwoutcome"
)

func inspect(r *http.Response) rwdialect.ResponseInfo {
	return rwdialect.ResponseInfo{RequestID: r.Header.Get("X-Id"), KeepAlive: 10 * time.Second}
}

// upstream is a listener whose connections are handled by a script.
type upstream struct {
	addr string
	mu   sync.Mutex
	// opened counts connections; requests holds the heads and bodies received.
	opened   int
	requests []string
}

// newPool returns a pool without dialTimeout, which a slow machine could miss on
// the loopback addresses of the tests.
func newPool() *Pool {
	p := New(inspect)
	p.Dial = newDialer(0).DialContext
	return p
}

// serve starts an upstream on a loopback address: the check of an idle connection
// before its reuse needs a socket.
func serve(t *testing.T, script func(u *upstream, c net.Conn, r *bufio.Reader)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveOn(t, l, script)
}

func serveOn(t *testing.T, l net.Listener, script func(u *upstream, c net.Conn, r *bufio.Reader)) *upstream {
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.opened++
			u.mu.Unlock()
			go func() {
				defer func() { _ = c.Close() }()
				script(u, c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

// next reads and records a request.
func (u *upstream) next(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, req.Method+" "+req.RequestURI+" "+string(body))
	return true
}

func (u *upstream) count() (opened, requests int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.opened, len(u.requests)
}

func (u *upstream) request(id string) Request {
	return Request{
		Key: Key{ID: "u", Addr: u.addr}, Method: "POST", Target: "/a//b?x=%2f", Host: "h", Header: http.Header{},
		Body: []byte("body"), ID: id,
	}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func body(t *testing.T, p *Pool, req Request) string {
	resp, err := p.Do(t.Context(), req)
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body())
	require.NoError(t, err)
	resp.Close()
	return string(data)
}

// Guards against "not run" for a request that runs, because the upstream has written
// an earlier refusal once more on a kept connection.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	for name, c := range map[string]struct {
		again string
		code  rwcode.Code
	}{
		"without an id":       {refusal + "\r\n", rwcode.UpstreamMismatch},
		"with the earlier id": {refusal + "X-Id: r1\r\n\r\n", rwcode.None},
	} {
		u := serve(t, func(u *upstream, nc net.Conn, r *bufio.Reader) {
			first := refusal + "X-Id: r1\r\n\r\n"
			for u.next(r) {
				_, _ = io.WriteString(nc, first)
				first = c.again + response("r2", "ran")
			}
		})
		p := newPool()
		p.Inspect = func(r *http.Response) rwdialect.ResponseInfo {
			info := inspect(r)
			info.NotRun = r.Header.Get("X-Not-Run") != ""
			return info
		}
		resp, err := p.Do(t.Context(), u.request("r1"))
		require.NoError(t, err, name)
		require.True(t, resp.Info.NotRun, name)
		_, err = io.ReadAll(resp.Body())
		require.NoError(t, err)
		resp.Close()
		resp, err = p.Do(t.Context(), u.request("r2"))
		if c.code != rwcode.None {
			require.True(t, rwfault.Is(err, c.code), "%s: %v", name, err)
			require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
			continue
		}
		require.NoError(t, err, name)
		require.False(t, resp.Info.NotRun, name)
		resp.Close()
	}
}

// Guards against opening a connection for each request, and against changing
// the path.
func TestConnectionsAreKept(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		for u.next(r) {
			_, _ = io.WriteString(c, response("1", "hello"))
		}
	})
	p := newPool()
	for range 3 {
		require.Equal(t, "hello", body(t, p, u.request("1")))
	}
	opened, _ := u.count()
	require.Equal(t, 1, opened)
	require.Equal(t, "POST /a//b?x=%2f body", u.requests[0])
}

// Guards against passing a late response to an earlier request to the caller of
// the next one.
func TestStrayAnswerIsPassedOver(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		for u.next(r) {
			_, n := u.count()
			if n == 2 {
				_, _ = io.WriteString(c, response("1", "stray"))
			}
			_, _ = io.WriteString(c, response(itoa(n)[1:], "right"))
		}
	})
	p := newPool()
	require.Equal(t, "right", body(t, p, u.request("1")))
	require.Equal(t, "right", body(t, p, u.request("2")))
}

// Guards against reading extra bytes after a response as the next one.
func TestExtraBytesEndTheConnection(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		for u.next(r) {
			_, _ = io.WriteString(c, response("1", "hello")+response("1", "again"))
		}
	})
	p := newPool()
	for range 3 {
		require.Equal(t, "hello", body(t, p, u.request("1")))
	}
	opened, _ := u.count()
	require.Equal(t, 3, opened)
}

// Guards against sending a request on a connection that the upstream has
// closed: it would not be known whether it ran.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		if u.next(r) {
			_, _ = io.WriteString(c, response("1", "hello"))
		}
	})
	p := newPool()
	require.Equal(t, "hello", body(t, p, u.request("1")))
	idle := p.idle[u.request("1").Key]
	require.Len(t, idle, 1)
	// Waits until the end of the connection has arrived. A further read finds it
	// again.
	_, err := idle[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, "hello", body(t, p, u.request("1")))
	_, requests := u.count()
	require.Equal(t, 2, requests)
}

// Guards against reporting "not run" after a byte of the request was sent, and
// "may have run" for one that never reached an upstream.
func TestOutcomes(t *testing.T) {
	mute := serve(t, func(u *upstream, _ net.Conn, r *bufio.Reader) { u.next(r) })
	_, err := newPool().Do(t.Context(), mute.request("1"))
	require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
	require.True(t, rwfault.Is(err, rwcode.UpstreamTruncated))

	garbled := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		u.next(r)
		_, _ = io.WriteString(c, "what is this\r\n\r\n")
	})
	_, err = newPool().Do(t.Context(), garbled.request("1"))
	require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = newPool().Do(t.Context(), Request{Key: Key{Addr: l.Addr().String()}, Method: "GET", Target: "/", Header: http.Header{}})
	require.Equal(t, rwoutcome.NotRun, rwfault.From(err).Outcome)
	require.True(t, rwfault.Is(err, rwcode.UpstreamUnreachable))
}

// Guards against treating a truncated response as complete.
func TestTruncatedAnswer(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		u.next(r)
		_, _ = io.WriteString(c, strings.Replace(response("1", "hello"), "Length: 05", "Length: 50", 1))
	})
	resp, err := newPool().Do(t.Context(), u.request("1"))
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body())
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	resp.Close()
}

// Guards against a body whose rest is read as the start of the next request
// because the upstream responded before it read all of it.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	// received gets a value for each response that the caller has received.
	received := make(chan struct{}, 2)
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.requests = append(u.requests, req.Method)
		u.mu.Unlock()
		_, _ = io.WriteString(c, response("1", "early"))
		<-received
		_, _ = io.Copy(io.Discard, r)
	})
	p := newPool()
	o := u.request("1")
	o.Body = make([]byte, 32<<20)
	for range 2 {
		require.Equal(t, "early", body(t, p, o))
		received <- struct{}{}
	}
	opened, _ := u.count()
	require.Equal(t, 2, opened)
}

// Guards against an upstream that keeps working for a caller that has
// disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network rwmemnetwork.Network
		l, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		closed := false
		u := serveOn(t, l, func(u *upstream, _ net.Conn, r *bufio.Reader) {
			u.next(r)
			_, _ = r.ReadByte()
			closed = true
		})
		p := New(inspect)
		p.Dial = network.Dial
		const limit = 50 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		start := time.Now()
		_, err = p.Do(ctx, u.request("1"))
		require.True(t, rwfault.Is(err, rwcode.DeadlineExceeded))
		require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
		synctest.Wait()
		require.True(t, closed, "the upstream still waits")
		require.Equal(t, limit, time.Since(start))
	})
}

// Guards against keeping connections to an upstream that was removed: its
// address may belong to another one.
func TestSweep(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		for u.next(r) {
			_, _ = io.WriteString(c, response("1", "hello"))
		}
	})
	p := newPool()
	body(t, p, u.request("1"))
	p.Sweep(time.Now(), func(Key) bool { return false })
	require.Empty(t, p.idle)
}

// Guards against an answer of no request that is taken for the answer of the next one
// on a kept connection: the request runs, and nobody reads its own answer.
func TestAnswerWithoutAnIDOnKeptConnection(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "421 Misdirected Request", "200 OK", "500 Internal Server Error", "404 Not Found"} {
		u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
			extra := ""
			for u.next(r) {
				_, _ = io.WriteString(c, extra+response("1", "hello"))
				extra = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"
			}
		})
		p := newPool()
		require.Equal(t, "hello", body(t, p, u.request("1")))
		_, err := p.Do(t.Context(), u.request("1"))
		require.True(t, rwfault.Is(err, rwcode.UpstreamMismatch), "%s: %v", status, err)
		require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome, status)
		require.Equal(t, "hello", body(t, p, u.request("1")), status)
		opened, _ := u.count()
		require.Equal(t, 2, opened, "%s: the connection was used again", status)
	}
}

// Guards against the reuse of a connection on which answers can't be told apart.
func TestAnswerWithoutAnIDEndsTheConnection(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		for u.next(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
		}
	})
	p := newPool()
	require.Equal(t, "hello", body(t, p, u.request("1")))
	require.Equal(t, "hello", body(t, p, u.request("2")))
	opened, _ := u.count()
	require.Equal(t, 2, opened)
}

// Guards against bytes that an upstream sends before it has any request and that are
// taken for the answer of the first one.
func TestBytesBeforeTheRequestAreNoAnswer(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		u.next(r)
	})
	p := newPool()
	dial := p.Dial
	p.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil {
			require.Eventually(t, func() bool { quiet, _ := (&conn{Conn: c}).isQuiet(); return !quiet }, 10*time.Second, time.Millisecond)
		}
		return c, err
	}
	_, err := p.Do(t.Context(), u.request("1"))
	require.True(t, rwfault.Is(err, rwcode.UpstreamUnreachable), "%v", err)
	require.Equal(t, rwoutcome.NotRun, rwfault.From(err).Outcome)
	_, requests := u.count()
	require.Zero(t, requests, "the request was sent")
}

// Guards against statuses that no answer has, which make net/http panic or reach
// callers as they are.
func TestStatusThatNoAnswerHas(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999"} {
		for _, kept := range []bool{false, true} {
			u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
				if kept && u.next(r) {
					_, _ = io.WriteString(c, response("1", "hello"))
				}
				u.next(r)
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
				u.next(r)
			})
			p := newPool()
			if kept {
				require.Equal(t, "hello", body(t, p, u.request("1")))
			}
			_, err := p.Do(t.Context(), u.request("1"))
			require.True(t, rwfault.Is(err, rwcode.UpstreamMalformed), "%s kept %t: %v", status, kept, err)
			require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
		}
	}
}

// Guards against a request that is sent after the right to send it has ended, because
// its connection took long to open.
func TestExpiredRequestIsNotSent(t *testing.T) {
	u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
		for u.next(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
		}
	})
	p := newPool()
	dial := p.Dial
	p.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(50 * time.Millisecond)
		return dial(ctx, network, addr)
	}
	late := u.request("1")
	late.NotAfter = time.Now().Add(20 * time.Millisecond)
	_, err := p.Do(t.Context(), late)
	require.True(t, rwfault.Is(err, rwcode.GrantExpired))
	require.Equal(t, rwoutcome.NotRun, rwfault.From(err).Outcome)
	late.NotAfter = time.Now().Add(time.Minute)
	resp, err := p.Do(t.Context(), late)
	require.NoError(t, err)
	resp.Close()
	conns, requests := u.count()
	require.Equal(t, 1, conns, "the connection is kept")
	require.Equal(t, 1, requests)
}

// Guards against a response that is read from the bytes of another protocol, and
// against a wait for one: no request asks to switch protocols. Other informational
// responses are skipped.
func TestInformationalResponses(t *testing.T) {
	for status, code := range map[string]rwcode.Code{
		"100 Continue": rwcode.None, "103 Early Hints": rwcode.None, "101 Switching Protocols": rwcode.UpstreamMalformed,
	} {
		for _, kept := range []bool{false, true} {
			t.Run(status+"/kept "+strconv.FormatBool(kept), func(t *testing.T) {
				u := serve(t, func(u *upstream, c net.Conn, r *bufio.Reader) {
					if kept && u.next(r) {
						_, _ = io.WriteString(c, response("1", "hello"))
					}
					if u.next(r) {
						_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n\r\n"+response("2", "hello"))
					}
				})
				p := newPool()
				if kept {
					require.Equal(t, "hello", body(t, p, u.request("1")))
				}
				if code == rwcode.None {
					require.Equal(t, "hello", body(t, p, u.request("2")))
					return
				}
				_, err := p.Do(t.Context(), u.request("2"))
				require.True(t, rwfault.Is(err, code), "%v", err)
				require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
			})
		}
	}
}
