package rwfront

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwbroker"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwconn"
	"redwingworks.example/internal/rwconnlimit"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwinflight"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rworigin"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwretrywindow"
	"redwingworks.example/internal/rwrouteconfig"
)

// The heads of responses to the request r1.
const (
	sealedHead   = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n"
	unframedHead = sealedHead + "\r\n"
	chunkedHead  = sealedHead + "Transfer-Encoding: chunked\r\n\r\n"
	// routeTimeout leaves a slow machine time to reach the bounds of responses.
	routeTimeout  = 8 * time.Second
	socketTimeout = 10 * time.Second
)

// upstreamBehavior writes a response on a connection from which a request was
// read. It reports whether the connection is kept; otherwise it has ended it.
type upstreamBehavior func(conn *net.TCPConn) bool

// finAfter returns a behavior that writes bytes and closes the connection.
func finAfter(response string) upstreamBehavior {
	return func(conn *net.TCPConn) bool {
		_, _ = io.WriteString(conn, response)
		_ = conn.Close()
		return false
	}
}

// resetAfter returns a behavior that writes bytes and resets the connection once
// the router can have read them.
func resetAfter(response string) upstreamBehavior {
	return func(conn *net.TCPConn) bool {
		_, _ = io.WriteString(conn, response)
		time.Sleep(50 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return false
	}
}

// keepAfter returns a behavior that writes bytes and keeps the connection.
func keepAfter(response string) upstreamBehavior {
	return func(conn *net.TCPConn) bool {
		_, err := io.WriteString(conn, response)
		return err == nil
	}
}

// socketFleet is a handler in front of upstreams that write their responses
// themselves, on real sockets, where a reset can be told from an end.
type socketFleet struct {
	front *Handler
	addr  string
	// unreadAbove, if above 0, is the length from which upstreams respond to a body
	// without reading it.
	unreadAbove int64

	mu sync.Mutex
	// accepted and arrived count the connections and the requests of the
	// upstreams.
	accepted, arrived map[string]int
}

func (f *socketFleet) counts(id string) (accepted, arrived int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted[id], f.arrived[id]
}

// serveSockets starts a handler with one upstream for each behavior.
func serveSockets(t *testing.T, upstreams map[string]upstreamBehavior) *socketFleet {
	t.Helper()
	f := &socketFleet{accepted: map[string]int{}, arrived: map[string]int{}}
	var list []rwinstance.Instance
	for _, id := range []string{"a", "b", "m", "n"} {
		if upstreams[id] == nil {
			continue
		}
		service := "plain"
		if id >= "m" {
			service = "model"
		}
		list = append(list, rwinstance.Instance{ID: id, Service: service, Zone: "z", Slots: 6, Addr: f.listen(t, id, upstreams[id])})
	}
	services := []rwrouteconfig.Service{{Name: "plain"}, {Name: "model", Engine: &rwrouteconfig.Engine{Slots: 4}}}
	served := routes()
	for i := range served {
		served[i].Timeout = routeTimeout
	}
	config := rwrouteconfig.New(1, rwrouteconfig.Limits{}, served, services, map[string]rwrouteconfig.Account{"key": {Name: "acc"}})
	snapshot := rwconfigsnapshot.New(config, 1, time.Now(), list)
	f.front = &Handler{
		Dialect: dialect(), Published: func() *rwconfigsnapshot.Snapshot { return snapshot }, Pool: rwconn.New(dialect().Inspect),
		Begun: func(string, rworigin.Origin) {}, OriginUncertain: func(string) bool { return false },
		Acquire: func(_ context.Context, service string, r rwplacement.Request) (rwbroker.Grant, *rwfault.Fault) {
			for _, in := range snapshot.Usable(service) {
				avoid := false
				for _, id := range r.Avoid {
					avoid = avoid || id == in.ID
				}
				if !avoid {
					return rwbroker.Grant{Instance: in}, nil
				}
			}
			return rwbroker.Grant{}, rwfault.New(rwcode.NoUpstream, service)
		},
		RouterCount:      func() int { return 1 },
		NewBudget:        func() *rwretrywindow.Budget { return rwretrywindow.New(0.2, 50, 10*time.Second) },
		CloseConnections: func() bool { return false }, Draining: func(time.Time) bool { return false },
		CloseRefused: func() bool { return false }, Overloaded: func(context.Context, string) string { return "" },
		Lagging: func() bool { return false }, CallerClosed: func(context.Context) bool { return false },
		ResetOnClose: rwconnlimit.ResetOnClose,
		FlushDelay:   func() time.Duration { return 0 },
		Zone:         "z", Log: zerolog.Nop(), Metrics: rwmetric.New(), InFlight: new(rwinflight.Table),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limiter := rwconnlimit.New()
	s := &http.Server{
		Handler: f.front, ReadHeaderTimeout: socketTimeout, ConnState: limiter.ConnState, ConnContext: limiter.ConnContext,
	}
	go func() { _ = s.Serve(limiter.Listener(l, 100)) }()
	t.Cleanup(func() { _ = s.Close() })
	f.addr = l.Addr().String()
	return f
}

// listen starts an upstream and returns its address.
func (f *socketFleet) listen(t *testing.T, id string, behave upstreamBehavior) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.accepted[id]++
			f.mu.Unlock()
			go f.serveUpstream(id, conn.(*net.TCPConn), behave)
		}
	}()
	return l.Addr().String()
}

func (f *socketFleet) serveUpstream(id string, conn *net.TCPConn, behave upstreamBehavior) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(socketTimeout))
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if f.unreadAbove == 0 || r.ContentLength < f.unreadAbove {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		f.mu.Lock()
		f.arrived[id]++
		f.mu.Unlock()
		if !behave(conn) {
			return
		}
	}
}

// dial opens a caller's connection.
func (f *socketFleet) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(socketTimeout)))
	return conn
}

func requestText(method, path, fields string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\n" + fields
	if method == http.MethodPost {
		text += "Content-Length: 5\r\n\r\norder"
	} else {
		text += "\r\n"
	}
	return text
}

// callerView is what a caller sees that reads raw bytes.
type callerView struct {
	status int
	header http.Header
	body   string
	// framed is whether the response has a length or chunks.
	framed bool
	// whole is whether the response looks complete: its frame has ended or,
	// without a frame, its connection ended without a reset.
	whole bool
	// err is the error at which reading ended, nil at the end of the connection.
	err error
}

// success reports whether the caller takes the response for an upstream's
// complete success.
func (v callerView) success() bool { return v.status == http.StatusOK && v.whole }

// call sends a POST request on a new connection and reads until its end.
func (f *socketFleet) call(t *testing.T, path string) callerView {
	t.Helper()
	return f.callWith(t, path, "")
}

// callWith is call with further header fields.
func (f *socketFleet) callWith(t *testing.T, path, fields string) callerView {
	t.Helper()
	conn := f.dial(t)
	_, err := io.WriteString(conn, requestText(http.MethodPost, path, "Connection: close\r\n"+fields))
	require.NoError(t, err)
	raw, err := io.ReadAll(conn)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the caller's connection didn't end")
	v := callerView{err: err}
	resp, headErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), &http.Request{Method: http.MethodPost})
	if headErr != nil {
		return v
	}
	body, bodyErr := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	v.status, v.header, v.body = resp.StatusCode, resp.Header, string(body)
	v.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	v.whole = bodyErr == nil && (v.framed || err == nil)
	return v
}

// Guards against a response without a length or chunks that gets a frame on its way
// to the caller, although nothing proves that its upstream had written all of it.
func TestUnprovenEndGetsNoFrame(t *testing.T) {
	for name, c := range map[string]struct{ path, body string }{
		"plain":        {"/unsafe/x", "hello"},
		"plain empty":  {"/unsafe/x", ""},
		"stream":       {"/once/x", streamText(3)},
		"stream empty": {"/once/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			behave := finAfter(unframedHead + c.body)
			f := serveSockets(t, map[string]upstreamBehavior{"a": behave, "m": behave})
			v := f.call(t, c.path)
			require.False(t, v.status == http.StatusOK && v.framed, "the router framed the response: %v", v.header)
			if c.body != "" {
				require.Equal(t, http.StatusOK, v.status)
				require.Equal(t, c.body, v.body)
				require.NoError(t, v.err, "the end of the response is not that of the upstream")
			}
		})
	}
}

// requireBroken sends a request to an upstream that breaks its response off, and
// checks that the caller can tell. Without a frame, only a reset tells.
func requireBroken(t *testing.T, path string, behave upstreamBehavior) {
	t.Helper()
	f := serveSockets(t, map[string]upstreamBehavior{"a": behave, "m": behave})
	v := f.call(t, path)
	require.False(t, v.success(), "framed=%t err=%v body=%q", v.framed, v.err, v.body)
	if v.status == http.StatusOK && !v.framed {
		require.ErrorIs(t, v.err, syscall.ECONNRESET)
	}
}

// Guards against a stream without a length or chunks that ends inside an event and
// is passed on as if it were complete.
func TestStreamThatEndsInsideAnEventDoesNotLookComplete(t *testing.T) {
	for name, body := range map[string]string{
		"in a line":             streamText(2) + "id: 3\nda",
		"before the empty line": strings.TrimSuffix(streamText(3), "\n"),
		"in the first event":    "id: 1\nda",
	} {
		t.Run(name, func(t *testing.T) { requireBroken(t, "/once/x", finAfter(unframedHead+body)) })
	}
}

// Guards against a response without a length or chunks that is reset, or ends in
// its head, and looks complete to its caller.
func TestResetResponseDoesNotLookComplete(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		behave upstreamBehavior
	}{
		"plain":                       {"/unsafe/x", resetAfter(unframedHead + "hel")},
		"plain before the body":       {"/unsafe/x", resetAfter(unframedHead)},
		"plain in the head":           {"/unsafe/x", resetAfter(sealedHead)},
		"plain ends in the head":      {"/unsafe/x", finAfter(sealedHead)},
		"stream inside an event":      {"/once/x", resetAfter(unframedHead + streamText(2) + "id: 3\nda")},
		"stream between events":       {"/once/x", resetAfter(unframedHead + streamText(3))},
		"stream before its first one": {"/once/x", resetAfter(unframedHead)},
	} {
		t.Run(name, func(t *testing.T) { requireBroken(t, c.path, c.behave) })
	}
}

// Guards against a resumed stream that ends with a final chunk because its second
// upstream, whose response has no frame, closed the connection.
func TestUnprovenEndOfResumedStream(t *testing.T) {
	first := "id: 1\ndata: x\n\n"
	f := serveSockets(t, map[string]upstreamBehavior{
		"m": finAfter(chunkedHead + fmt.Sprintf("%x\r\n%s\r\n", len(first), first)),
		"n": finAfter(unframedHead + "id: 2\ndata: x\n\n"),
	})
	v := f.call(t, "/stream/x")
	require.Equal(t, streamText(2), v.body)
	require.False(t, v.framed && v.whole, "the stream ends with a final chunk")
}

// Guards against a resumed stream that looks complete although it broke off at its
// second upstream, and against one that isn't resumed because its first response
// had no frame.
func TestResumedStreamThatBreaksAgain(t *testing.T) {
	f := serveSockets(t, map[string]upstreamBehavior{
		"m": finAfter(unframedHead + streamText(1) + "id: 2\nda"),
		"n": finAfter(unframedHead + "id: 2\ndata: x\n\nid: 3\nda"),
	})
	v := f.call(t, "/stream/x")
	_, arrived := f.counts("n")
	require.Equal(t, 1, arrived, "the stream was not resumed")
	require.False(t, v.success(), "framed=%t err=%v body=%q", v.framed, v.err, v.body)
}

// Guards against a response above maxResponseBytes that is cut there and looks
// complete to its caller.
func TestLargeResponseIsNotCut(t *testing.T) {
	const size = maxResponseBytes + 1
	body := strings.Repeat("x", size)
	for name, response := range map[string]string{
		"length":   sealedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + body,
		"chunked":  chunkedHead + fmt.Sprintf("%x\r\n", size) + body + "\r\n0\r\n\r\n",
		"unframed": unframedHead + body,
	} {
		t.Run(name, func(t *testing.T) {
			f := serveSockets(t, map[string]upstreamBehavior{"a": finAfter(response)})
			v := f.call(t, "/unsafe/x")
			require.False(t, v.success() && len(v.body) != size, "%d of %d bytes look complete", len(v.body), size)
		})
	}
}

// requireBounded sends a request to an upstream whose response begins with the
// given bytes and repeats others without end. It checks that the router soon closes
// the connection and that the response doesn't look complete.
func requireBounded(t *testing.T, path, begin, repeat string) {
	t.Helper()
	// The upstream's writes may run ahead of the router's reads by the buffers of
	// both sockets, for which 12 MiB are allowed.
	const most, enough = maxResponseBytes + 12<<20, 64 << 20
	var written atomic.Int64
	ended := make(chan struct{})
	endless := func(conn *net.TCPConn) bool {
		defer close(ended)
		_, _ = io.WriteString(conn, begin)
		block := []byte(strings.Repeat(repeat, 64<<10/len(repeat)))
		for written.Load() < enough {
			n, err := conn.Write(block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
		// The router closes first, unless it waits for more.
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	f := serveSockets(t, map[string]upstreamBehavior{"a": endless, "m": endless})
	v := f.call(t, path)
	<-ended
	require.LessOrEqual(t, written.Load(), int64(most), "the router went on reading")
	require.NotEqual(t, http.StatusGatewayTimeout, v.status, "the router read until the deadline")
	require.False(t, v.success(), "%d bytes look complete", len(v.body))
}

// Guards against a head without end that the router reads, and keeps in memory,
// until the deadline of the request.
func TestEndlessHeadIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ begin, repeat string }{
		"no response":   {"", "garbage "},
		"status line":   {"HTTP/1.1 200 ", "O"},
		"header line":   {sealedHead + "X-Long: ", "x"},
		"header lines":  {sealedHead, "X-More: xxxxxxxxxxxxxxxx\r\n"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) { requireBounded(t, "/unsafe/x", c.begin, c.repeat) })
	}
}

// Guards against a body without end that is cut and looks complete to its caller.
func TestEndlessBodyDoesNotLookComplete(t *testing.T) {
	for name, c := range map[string]struct{ begin, repeat string }{
		"unframed": {unframedHead, "x"},
		"chunked":  {chunkedHead, "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) { requireBounded(t, "/unsafe/x", c.begin, c.repeat) })
	}
}

// Guards against an event, a trailer or the body of a refusal without end that the
// router reads until the deadline of the request.
func TestEndlessPartIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ path, begin, repeat string }{
		"trailer":        {"/unsafe/x", chunkedHead + "0\r\n", "X-More: x\r\n"},
		"line":           {"/once/x", unframedHead + "data: ", "x"},
		"lines of event": {"/once/x", unframedHead, "data: x\n"},
		"refusal":        {"/unsafe/x", "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Notrun: 1\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) { requireBounded(t, c.path, c.begin, c.repeat) })
	}
}

// requireKept sends requests on one connection to an upstream whose responses have
// no body, and checks that both connections are kept and that the caller sees the
// length that the upstream stated, if any.
func requireKept(t *testing.T, method, response, length string) {
	t.Helper()
	f := serveSockets(t, map[string]upstreamBehavior{"a": keepAfter(response)})
	conn := f.dial(t)
	br := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, requestText(method, "/safe/x", ""))
		require.NoError(t, err)
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "s", resp.Header.Get("X-Seal"))
		require.False(t, resp.Close)
		require.Equal(t, length, resp.Header.Get("Content-Length"), "the router states another length than the upstream")
	}
	accepted, arrived := f.counts("a")
	require.Equal(t, 3, arrived)
	require.Equal(t, 1, accepted)
}

// Guards against a connection that ends because a response that never has a body
// also has no length.
func TestStatusWithoutBodyKeepsConnections(t *testing.T) {
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		t.Run(status[:3], func(t *testing.T) {
			requireKept(t, http.MethodGet, "HTTP/1.1 "+status+"\r\nX-Id: r1\r\nX-Seal: s\r\n\r\n", "")
		})
	}
}

// Guards against a response to HEAD that states the length of the body that it
// doesn't have, and against a connection that ends with it.
func TestResponseToHeadKeepsLengthAndConnections(t *testing.T) {
	for name, c := range map[string]struct{ field, length string }{
		"unknown": {"", ""},
		"known":   {"Content-Length: 5\r\n", "5"},
	} {
		t.Run(name, func(t *testing.T) { requireKept(t, http.MethodHead, sealedHead+c.field+"\r\n", c.length) })
	}
}

// Guards against a request on a connection whose last response had no frame: the
// rest of that response would be taken for the next one.
func TestConnectionEndsWithItsUnframedResponse(t *testing.T) {
	// The upstream goes on reading after it has ended its response.
	behave := func(conn *net.TCPConn) bool {
		_, _ = io.WriteString(conn, unframedHead+streamText(1))
		_ = conn.CloseWrite()
		return true
	}
	f := serveSockets(t, map[string]upstreamBehavior{"a": behave, "m": behave})
	for i := range 3 {
		for id, path := range map[string]string{"a": "/unsafe/x", "m": "/once/x"} {
			require.Equal(t, streamText(1), f.call(t, path).body)
			accepted, arrived := f.counts(id)
			require.Equal(t, i+1, arrived)
			require.Equal(t, i+1, accepted)
		}
	}
}
