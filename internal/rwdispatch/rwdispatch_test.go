package rwdispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwsse"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

const requestID = "router-1-7"

// upstream is a test server that counts runs and cancellations.
type upstream struct {
	*httptest.Server
	mu        sync.Mutex
	runs      int
	cancelled []string
}

// serve starts a server on a network in memory and returns it with a dispatcher
// that is connected to this network.
func serve(t *testing.T, handle http.HandlerFunc) (*upstream, *Dispatcher) {
	var network rwmemnetwork.Network
	l, err := network.Listen("127.0.0.2:0")
	require.NoError(t, err)
	d := New()
	d.Dial = network.Dial
	return serveOn(t, l, handle), d
}

// serveOnSocket starts a server on a loopback address, for tests that reset a
// connection. The dispatcher has no limits of less than a minute, which a slow
// machine could miss.
func serveOnSocket(t *testing.T, handle http.HandlerFunc) (*upstream, *Dispatcher) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := New()
	d.Dial = new(net.Dialer).DialContext
	d.cancelTimeout = time.Minute
	return serveOn(t, l, handle), d
}

// serveOn starts a server that passes every request except cancellations to handle.
func serveOn(t *testing.T, l net.Listener, handle http.HandlerFunc) *upstream {
	u := &upstream{}
	u.Server = &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, ok := strings.CutPrefix(r.URL.Path, "/v1/requests/")
		if ok && r.Method == http.MethodDelete {
			u.mu.Lock()
			u.cancelled = append(u.cancelled, id)
			u.mu.Unlock()
			return
		}
		u.mu.Lock()
		u.runs++
		u.mu.Unlock()
		handle(w, r)
	})}}
	u.Start()
	t.Cleanup(u.Close)
	return u
}

func (u *upstream) counts() (runs, cancels int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs, len(u.cancelled)
}

func (u *upstream) record(engine bool) rwupstream.Upstream {
	return rwupstream.Upstream{Name: "u1", Addr: u.Listener.Addr().String(), Engine: engine}
}

func request(idempotent bool) *rwrequest.Request {
	return &rwrequest.Request{
		ID: requestID, Account: "a", Kind: "k", Method: http.MethodPost, Path: "/new",
		Idempotent: idempotent, IdempotencyKey: "key-1", Body: []byte(`{"model":"m"}`), Engine: true,
	}
}

func event(id string, index int, finish string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"index\":%d,\"text\":\"t%d \",\"finish\":%q}\n\n", id, index, index, finish)
}

// events returns the events from the first index to the last of a complete
// stream.
func events(first, last int) string {
	var b strings.Builder
	for i := first; i < last; i++ {
		b.WriteString(event(requestID, i, ""))
	}
	return b.String() + event(requestID, last, "stop")
}

const done = "data: [DONE]\n\n"

func write(w http.ResponseWriter, text string) {
	w.Header().Set("Redwing-Request", requestID)
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// respond writes the text as the complete body of the response.
func respond(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { write(w, text) }
}

// respondAndReset writes the text and resets the connection.
func respondAndReset(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if text != "" {
			write(w, text)
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
}

// respondAndStall writes the text and then waits until the client disconnects.
func respondAndStall(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if text != "" {
			write(w, text)
		}
		<-r.Context().Done()
	}
}

func respondStatus(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
	}
}

type engineCase struct {
	name    string
	serve   http.HandlerFunc
	code    rwcode.Code
	outcome rwoutcome.Outcome
	// chunks is how many chunks were emitted.
	chunks int
	// cancels is how many cancellations the engine received.
	cancels int
}

// openBody is the case that waits for bodyEndTimeout.
const openBody = "body not closed after the end marker"

var engineCases = []engineCase{
	{"complete", respond(events(0, 2) + done), rwcode.None, 0, 3, 0},
	{"complete with comments and carriage returns", respond(": ping\r\n\r\n" + strings.ReplaceAll(events(0, 2)+done, "\n", "\r\n")), rwcode.None, 0, 3, 0},
	{"complete without a final line break", respond(events(0, 1) + "data: [DONE]"), rwcode.None, 0, 2, 0},
	{openBody, respondAndStall(events(0, 2) + done), rwcode.None, 0, 3, 0},
	{"truncated between chunks", respond(event(requestID, 0, "") + event(requestID, 1, "")), rwcode.UpstreamTruncated, rwoutcome.Unknown, 2, 1},
	{"truncated within a chunk", respond(event(requestID, 0, "") + `data: {"id":"router-1-7","ind`), rwcode.UpstreamTruncated, rwoutcome.Unknown, 1, 1},
	{"truncated before the end marker", respond(events(0, 2)), rwcode.UpstreamTruncated, rwoutcome.Unknown, 2, 1},
	{"end marker before the last chunk", respond(event(requestID, 0, "") + done), rwcode.UpstreamTruncated, rwoutcome.Unknown, 1, 1},
	{"empty body", respond(""), rwcode.UpstreamTruncated, rwoutcome.Unknown, 0, 1},
	{"malformed", respond(event(requestID, 0, "") + "data: {\"id\":\n\n"), rwcode.UpstreamMalformed, rwoutcome.Unknown, 1, 1},
	{"no index", respond("data: {\"id\":\"router-1-7\",\"text\":\"t\"}\n\n"), rwcode.UpstreamMalformed, rwoutcome.Unknown, 0, 1},
	{"line too long", respond("data: " + strings.Repeat("x", 70<<10)), rwcode.UpstreamMalformed, rwoutcome.Unknown, 0, 1},
	{"duplicated", respond(event(requestID, 0, "") + event(requestID, 0, "")), rwcode.UpstreamMalformed, rwoutcome.Unknown, 1, 1},
	{"reordered", respond(event(requestID, 0, "") + event(requestID, 2, "") + event(requestID, 1, "")), rwcode.UpstreamMalformed, rwoutcome.Unknown, 1, 1},
	{"starts in the middle", respond(events(1, 2) + done), rwcode.UpstreamMalformed, rwoutcome.Unknown, 0, 1},
	{"chunk after the last", respond(events(0, 1) + event(requestID, 2, "")), rwcode.UpstreamMalformed, rwoutcome.Unknown, 1, 1},
	{"chunk of another request", respond(event(requestID, 0, "") + event("router-1-8", 1, "")), rwcode.UpstreamMismatch, rwoutcome.Unknown, 1, 1},
	{"response to another request", respondStatus(http.StatusOK, "Redwing-Request", "router-1-8"), rwcode.UpstreamMismatch, rwoutcome.Unknown, 0, 1},
	{"leaving", respondStatus(http.StatusServiceUnavailable, "Redwing-State", "leaving"), rwcode.UpstreamLeaving, rwoutcome.NotRun, 0, 0},
	{"leaving, in a response to another request", respondStatus(http.StatusServiceUnavailable, "Redwing-State", "leaving", "Redwing-Request", "router-1-8"), rwcode.UpstreamRefused, rwoutcome.Unknown, 0, 1},
	{"status 500", respondStatus(http.StatusInternalServerError), rwcode.UpstreamRefused, rwoutcome.Unknown, 0, 1},
	{"status 503", respondStatus(http.StatusServiceUnavailable), rwcode.UpstreamRefused, rwoutcome.Unknown, 0, 1},
	{"status 400", respondStatus(http.StatusBadRequest), rwcode.BadRequest, rwoutcome.Unknown, 0, 1},
	{"redirect", respondStatus(http.StatusTemporaryRedirect, "Location", "/log"), rwcode.UpstreamRefused, rwoutcome.Unknown, 0, 1},
	{"stall before the headers", respondAndStall(""), rwcode.UpstreamTimeout, rwoutcome.Unknown, 0, 1},
	{"stall in the stream", respondAndStall(event(requestID, 0, "")), rwcode.UpstreamTimeout, rwoutcome.Unknown, 1, 1},
	{"stall before the end marker", respondAndStall(events(0, 1)), rwcode.UpstreamTimeout, rwoutcome.Unknown, 1, 1},
}

// engineResetCases need a TCP connection.
var engineResetCases = []engineCase{
	{"reset before the headers", respondAndReset(""), rwcode.UpstreamUnreachable, rwoutcome.Unknown, 0, 1},
	{"reset after the headers", respondAndReset(event(requestID, 0, "")), rwcode.UpstreamTruncated, rwoutcome.Unknown, 1, 1},
}

// Guards against a fault of an engine that is returned as a complete response,
// that has the outcome NotRun without proof, or that leaves the request running
// on the engine.
func TestEngineContract(t *testing.T) {
	for _, c := range engineCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u, d := serve(t, c.serve)
				start := time.Now()
				c.run(t, u, d)
				want := time.Duration(0)
				switch {
				case c.code == rwcode.UpstreamTimeout && c.chunks == 0:
					want = firstChunkTimeout
				case c.code == rwcode.UpstreamTimeout:
					want = stallTimeout
				case c.name == openBody:
					want = bodyEndTimeout
				}
				require.Equal(t, want, time.Since(start))
			})
		})
	}
	for _, c := range engineResetCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u, d := serveOnSocket(t, c.serve)
			c.run(t, u, d)
		})
	}
}

func (c engineCase) run(t *testing.T, u *upstream, d *Dispatcher) {
	got := 0
	err := d.Stream(t.Context(), u.record(true), request(true), 0, func(k *rwstream.Chunk) error {
		require.Equal(t, got, k.Index)
		require.Equal(t, "t"+strconv.Itoa(k.Index)+" ", k.Text)
		got++
		return nil
	})
	requireFault(t, c.code, c.outcome, err)
	require.Equal(t, c.chunks, got)
	runs, cancels := u.counts()
	require.Equal(t, 1, runs)
	require.Equal(t, c.cancels, cancels)
}

func requireFault(t *testing.T, code rwcode.Code, outcome rwoutcome.Outcome, err error) {
	t.Helper()
	if code == rwcode.None {
		require.NoError(t, err)
		return
	}
	require.Error(t, err)
	f := rwfault.From(err)
	require.Equal(t, code.String(), f.Code.String(), f.Error())
	require.Equal(t, outcome.String(), f.Outcome.String(), f.Error())
}

type serviceCase struct {
	name    string
	serve   http.HandlerFunc
	code    rwcode.Code
	outcome rwoutcome.Outcome
}

var serviceCases = []serviceCase{
	{"complete", respond("ok"), rwcode.None, 0},
	{"error of the service", respondStatus(http.StatusInternalServerError, "Redwing-Request", requestID), rwcode.None, 0},
	{"truncated", respondTruncated, rwcode.UpstreamTruncated, rwoutcome.Unknown},
	{"malformed", respondMalformed, rwcode.UpstreamUnreachable, rwoutcome.Unknown},
	{"response to another request", respondStatus(http.StatusOK, "Redwing-Request", "router-1-8"), rwcode.UpstreamMismatch, rwoutcome.Unknown},
	{"no echo of the request", respondStatus(http.StatusOK), rwcode.UpstreamMismatch, rwoutcome.Unknown},
	{"leaving", respondStatus(http.StatusServiceUnavailable, "Redwing-State", "leaving"), rwcode.UpstreamLeaving, rwoutcome.NotRun},
	{"leaving, in a response to another request", respondStatus(http.StatusServiceUnavailable, "Redwing-State", "leaving", "Redwing-Request", "router-1-8"), rwcode.UpstreamMismatch, rwoutcome.Unknown},
	{"response too large", respond(strings.Repeat("x", maxResponseBytes+1)), rwcode.UpstreamMalformed, rwoutcome.Ran},
	{"stall before the headers", respondAndStall(""), rwcode.UpstreamTimeout, rwoutcome.Unknown},
	{"stall in the response", respondAndStall("part"), rwcode.UpstreamTimeout, rwoutcome.Unknown},
	{"HTTP/1.0 with a length", respondRaw("HTTP/1.0 200 OK", "Content-Length: 3", "hel"), rwcode.None, 0},
	{"chunks on a connection that closes", respondRaw("HTTP/1.1 200 OK", "Connection: close\r\nTransfer-Encoding: chunked", "3\r\nhel\r\n0\r\n\r\n"), rwcode.None, 0},
	{"chunks without the last one", respondRaw("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "3\r\nhel\r\n"), rwcode.UpstreamTruncated, rwoutcome.Unknown},
	{"status 204 without a length", respondRaw("HTTP/1.1 204 No Content", "Connection: close", ""), rwcode.None, 0},
	{"status 304 without a length", respondRaw("HTTP/1.1 304 Not Modified", "Connection: close", ""), rwcode.None, 0},
}

// unframedCases are responses with neither a length nor chunks, which end where
// the service closes the connection.
var unframedCases = []serviceCase{
	{"part of a body", respondRaw("HTTP/1.1 200 OK", "Content-Type: text/plain", "hel"), rwcode.UpstreamTruncated, rwoutcome.Unknown},
	{"no body", respondRaw("HTTP/1.1 200 OK", "Content-Type: text/plain", ""), rwcode.UpstreamTruncated, rwoutcome.Unknown},
	{"announced end of the connection", respondRaw("HTTP/1.1 200 OK", "Connection: close", "hel"), rwcode.UpstreamTruncated, rwoutcome.Unknown},
	{"status 500", respondRaw("HTTP/1.1 500 Internal Server Error", "Content-Type: text/plain", "hel"), rwcode.UpstreamTruncated, rwoutcome.Unknown},
	{"HTTP/1.0", respondRaw("HTTP/1.0 200 OK", "Content-Type: text/plain", "hel"), rwcode.UpstreamTruncated, rwoutcome.Unknown},
	{"HTTP/1.0, which has no chunks", respondRaw("HTTP/1.0 200 OK", "Transfer-Encoding: chunked", "3\r\nhel\r\n"), rwcode.UpstreamTruncated, rwoutcome.Unknown},
	{"change of the protocol", respondRaw("HTTP/1.1 101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x", "hel"), rwcode.UpstreamTruncated, rwoutcome.Unknown},
}

// serviceResetCases need a TCP connection.
var serviceResetCases = []serviceCase{
	{"reset before the headers", respondAndReset(""), rwcode.UpstreamUnreachable, rwoutcome.Unknown},
	{"reset after the headers", respondAndReset("part"), rwcode.UpstreamTruncated, rwoutcome.Unknown},
}

func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	write(w, "part")
}

// respondRaw writes a response with the echo of the request and closes the
// connection.
func respondRaw(status, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, status+"\r\nRedwing-Request: "+requestID+"\r\n"+header+"\r\n\r\n"+body)
			_ = conn.Close()
		}
	}
}

func respondMalformed(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = io.WriteString(conn, "no HTTP at all\r\n\r\n")
		_ = conn.Close()
	}
}

// Guards against a call to a plain service that runs twice after any fault, and
// against the outcome NotRun without proof.
func TestServiceContract(t *testing.T) {
	for _, c := range serviceCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u, d := serve(t, c.serve)
				start := time.Now()
				c.run(t, u, d)
				want := time.Duration(0)
				if c.code == rwcode.UpstreamTimeout {
					want = responseTimeout
				}
				require.Equal(t, want, time.Since(start))
			})
		})
	}
	for _, c := range serviceResetCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u, d := serveOnSocket(t, c.serve)
			c.run(t, u, d)
		})
	}
}

// Guards against a response that is returned as complete although nothing proves
// its end: a service that crashes closes its connections too.
func TestUnframedResponseIsTruncated(t *testing.T) {
	for _, c := range unframedCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u, d := serve(t, c.serve)
				c.run(t, u, d)
			})
		})
	}
}

func (c serviceCase) run(t *testing.T, u *upstream, d *Dispatcher) {
	response, err := d.Call(t.Context(), u.record(false), request(false))
	requireFault(t, c.code, c.outcome, err)
	require.Equal(t, c.code == rwcode.None, response != nil)
	runs, _ := u.counts()
	require.Equal(t, 1, runs)
}

// Guards against a complete response that is held until the engine closes the
// body.
func TestEndMarkerEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, d := serve(t, respondAndStall(events(0, 2)+done))
		start := time.Now()
		require.NoError(t, d.Stream(t.Context(), u.record(true), request(true), 0, func(*rwstream.Chunk) error { return nil }))
		require.Equal(t, bodyEndTimeout, time.Since(start))
	})
}

// Guards against a timeout of the engine that is caused by a slow caller.
func TestSlowCallerIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		emitted := make(chan struct{})
		u, d := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			write(w, event(requestID, 0, "")+event(requestID, 1, ""))
			<-emitted
			write(w, events(2, 3)+done)
		})
		err := d.Stream(t.Context(), u.record(true), request(true), 0, func(c *rwstream.Chunk) error {
			if c.Index == 1 {
				time.Sleep(stallTimeout + stallTimeout/4)
				close(emitted)
			}
			return nil
		})
		require.NoError(t, err)
	})
}

// lineReader returns one line per read, as if each came in its own packet.
type lineReader struct{ lines []string }

func (r *lineReader) Read(p []byte) (int, error) {
	if len(r.lines) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.lines[0])
	r.lines = r.lines[1:]
	return n, nil
}

// Guards against a last chunk whose memory is overwritten when the end marker
// is read: the caller would receive corrupted data.
func TestLastChunkOutlivesTheNextRead(t *testing.T) {
	lines := &lineReader{strings.SplitAfter(events(0, 1)+done, "\n")}
	var raw []string
	err := readStream(t.Context(), rwsse.New(lines), rwstream.New(requestID, 0), func(c *rwstream.Chunk) error {
		raw = append(raw, "data: "+string(c.Raw)+"\n\n")
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, events(0, 1), strings.Join(raw, ""))
}

// Guards against the outcome Unknown if the connection to the upstream failed.
func TestConnectionRefusedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := rwupstream.Upstream{Name: "u1", Addr: l.Addr().String()}
	require.NoError(t, l.Close())
	_, err = New().Call(t.Context(), u, request(false))
	requireFault(t, rwcode.UpstreamUnreachable, rwoutcome.NotRun, err)
	err = New().Stream(t.Context(), u, request(true), 0, nil)
	requireFault(t, rwcode.UpstreamUnreachable, rwoutcome.NotRun, err)
}

// Guards against a request that continues to run on the engine after the caller
// disconnected or its deadline passed, and against the outcome NotRun for a
// request that was sent.
func TestEndOfContextCancelsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, d := serve(t, respondAndStall(event(requestID, 0, "")))
		ctx, stop := context.WithCancelCause(t.Context())
		err := d.Stream(ctx, u.record(true), request(true), 0, func(*rwstream.Chunk) error {
			stop(rwfault.New(rwcode.DeadlineExceeded, ""))
			return nil
		})
		requireFault(t, rwcode.DeadlineExceeded, rwoutcome.Unknown, err)
		synctest.Wait()
		require.Equal(t, []string{requestID}, u.cancelled)
	})
}

// breakingServer responds to the first request on each connection and closes the
// connection after it has read a second one.
type breakingServer struct {
	net.Listener
	mu   sync.Mutex
	keys []string
}

func (b *breakingServer) run() {
	for {
		conn, err := b.Accept()
		if err != nil {
			return
		}
		go b.connection(conn)
	}
}

func (b *breakingServer) connection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := range 2 {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.keys = append(b.keys, r.Header.Get("Idempotency-Key"))
		b.mu.Unlock()
		if n == 0 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRedwing-Request: %s\r\nContent-Length: 0\r\n\r\n", requestID)
		}
	}
}

// Guards against retries by the transport of net/http: on a reused connection
// that breaks, it resends a request with an Idempotency-Key and no body by
// itself. The second part shows that the test detects this if non-idempotent
// requests use pooled connections.
func TestTransportDoesNotSendAgain(t *testing.T) {
	runs := func(t *testing.T, d *Dispatcher) (resent int) {
		var network rwmemnetwork.Network
		l, err := network.Listen("127.0.0.2:0")
		require.NoError(t, err)
		d.Dial = network.Dial
		b := &breakingServer{Listener: l}
		go b.run()
		defer func() { _ = l.Close() }()
		defer d.pooled.CloseIdleConnections()
		defer d.unpooled.CloseIdleConnections()
		u := rwupstream.Upstream{Name: "u1", Addr: l.Addr().String()}
		for i := range 4 {
			q := request(false)
			q.IdempotencyKey, q.Body = "key-"+strconv.Itoa(i), nil
			_, _ = d.Call(t.Context(), u, q)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		seen := map[string]bool{}
		for _, k := range b.keys {
			if seen[k] {
				resent++
			}
			seen[k] = true
		}
		require.Len(t, seen, 4)
		return resent
	}
	synctest.Test(t, func(t *testing.T) {
		require.Zero(t, runs(t, New()))
		reusing := New()
		reusing.unpooled = reusing.pooled
		require.Positive(t, runs(t, reusing))
	})
}

// Guards against a path that sends a call to another address, or that is changed
// on the way to the upstream.
func TestPathStaysAtTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paths := make(chan string, 1)
		u, d := serve(t, func(w http.ResponseWriter, r *http.Request) {
			paths <- r.Method + " " + r.RequestURI
			write(w, "ok")
		})
		for _, path := range []string{"//127.0.0.1:1/x", "/http://127.0.0.1:1/", "/a%2Fb?x=1&y=%20", "/", "/@127.0.0.1:1/"} {
			q := request(false)
			q.Method, q.Path = http.MethodPatch, path
			_, err := d.Call(t.Context(), u.record(false), q)
			require.NoError(t, err, path)
			require.Equal(t, "PATCH "+path, <-paths)
		}
		for _, path := range []string{"@127.0.0.1:1/", ".example/", "1/x"} {
			q := request(false)
			q.Path = path
			_, err := d.Call(t.Context(), u.record(false), q)
			requireFault(t, rwcode.BadRequest, rwoutcome.NotRun, err)
		}
	})
}

// Guards against a new connection for each request to an engine: a connection can
// be reused only if the body was read to its end.
func TestStreamsReuseTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, d := serve(t, respond(events(0, 2)+done))
		var opened atomic.Int64
		dial := d.Dial
		d.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			opened.Add(1)
			return dial(ctx, network, addr)
		}
		for range 5 {
			require.NoError(t, d.Stream(t.Context(), u.record(true), request(true), 0, func(*rwstream.Chunk) error { return nil }))
		}
		require.Equal(t, int64(1), opened.Load())
	})
}
