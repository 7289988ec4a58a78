package rwgate

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

const callerKey = "caller-key"

func snapshot() *rwsnapshot.Snapshot {
	sum := sha256.Sum256([]byte(callerKey))
	return rwsnapshot.Empty().WithRev(1).
		WithAccounts([]rwaccount.Account{{Name: "plovdiv", Weight: 1000, Keys: []string{hex.EncodeToString(sum[:])}}}).
		WithKinds([]rwkind.Kind{
			{Name: "draft", Pool: "drafter", Idempotent: true},
			{Name: "sealed", Pool: "drafter"},
			{Name: "order", Pool: "orders"},
			{Name: "lost", Pool: "nowhere", Idempotent: true},
		}).
		WithUpstreams([]rwupstream.Upstream{
			{Name: "e1", Pools: []string{"drafter"}, Engine: true},
			{Name: "s1", Pools: []string{"orders"}},
		})
}

// harness is a gate on in-memory connections, which work with synctest's clock.
type harness struct {
	*Gate
	server *http.Server
	conns  chan net.Conn
	// accepted counts connections.
	accepted atomic.Int64
	closed   chan struct{}
	ran      atomic.Int64
	mu       sync.Mutex
	faults   []string
	last     *rwrequest.Request
}

func (h *harness) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

func (h *harness) Close() error {
	select {
	case <-h.closed:
	default:
		close(h.closed)
	}
	return nil
}

func (h *harness) Addr() net.Addr { return &net.TCPAddr{} }

func (h *harness) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	h.accepted.Add(1)
	select {
	case h.conns <- server:
		return client, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

func newHarness(t *testing.T) *harness {
	h := &harness{conns: make(chan net.Conn), closed: make(chan struct{})}
	h.Gate = &Gate{
		ID:       "r-1",
		Snapshot: snapshot,
		Ready:    func() bool { return true },
		Now:      time.Now,
		ReportFault: func(f *rwfault.Fault) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.faults = append(h.faults, f.Code.String())
		},
		IssueTicket: func() (string, error) { return "ticket-1", nil },
		RunInference: func(_ context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			h.record(q)
			return chunks(q, emit, 3)
		},
		RunCall: func(_ context.Context, q *rwrequest.Request) (*rwdispatch.Response, error) {
			h.record(q)
			return &rwdispatch.Response{Status: http.StatusCreated, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("made")}, nil
		},
	}
	t.Cleanup(func() { _ = h.Close() })
	return h
}

func (h *harness) record(q *rwrequest.Request) {
	h.ran.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = q
}

func chunks(q *rwrequest.Request, emit func(*rwstream.Chunk) error, n int) error {
	for i := range n {
		if err := emit(&rwstream.Chunk{ID: q.ID, Index: i, Text: "t"}); err != nil {
			return err
		}
	}
	return nil
}

// start serves until the server is closed.
func (h *harness) start() {
	h.server = h.Server()
	go func() { _ = h.server.Serve(h) }()
}

// client returns a client for HTTP/1.1 or for HTTP/2 without TLS.
func (h *harness) client(http2 bool) *http.Client {
	var p http.Protocols
	p.SetHTTP1(!http2)
	p.SetUnencryptedHTTP2(http2)
	return &http.Client{Transport: &http.Transport{DialContext: h.dial, Protocols: &p}}
}

// eachProtocol runs a test in a synctest bubble with a client of each protocol.
func eachProtocol(t *testing.T, test func(*testing.T, *harness, *http.Client)) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				c := h.client(http2)
				defer func() {
					c.CloseIdleConnections()
					_ = h.server.Close()
					// The server keeps some connections open for a while after Close.
					time.Sleep(time.Minute)
				}()
				test(t, h, c)
			})
		})
	}
}

const chatPath = "/v1/chat/completions"

func request(t *testing.T, method, path, kind, body string, headers ...string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://router"+path, reader)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	if kind != "" {
		r.Header.Set("Redwing-Kind", kind)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] == "" {
			r.Header.Del(headers[i])
			continue
		}
		r.Header.Add(headers[i], headers[i+1])
	}
	return r
}

type errorBody struct {
	Error struct {
		Code, Outcome, Message string
		Retry                  float64
	}
}

// reply is the status and the headers of a response.
type reply struct {
	StatusCode int
	Header     http.Header
}

func (h *harness) do(t *testing.T, c *http.Client, r *http.Request) (reply, string) {
	resp, err := c.Do(r)
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	require.NoError(t, err)
	return reply{resp.StatusCode, resp.Header}, string(data)
}

func requireError(t *testing.T, resp reply, text string, status int, code rwcode.Code, outcome rwoutcome.Outcome) {
	t.Helper()
	var e errorBody
	require.NoError(t, json.Unmarshal([]byte(text), &e), text)
	require.Equal(t, code.String(), e.Error.Code, text)
	require.Equal(t, outcome.String(), e.Error.Outcome, text)
	require.Equal(t, status, resp.StatusCode, text)
	retry := resp.Header.Get("Retry-After")
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		require.NotEmpty(t, retry, text)
		require.Positive(t, e.Error.Retry, text)
	} else {
		require.Empty(t, retry, text)
	}
}

const (
	goodBody   = `{"model":"drafter","messages":[{"role":"user","content":"x"}]}`
	streamBody = `{"model":"drafter","messages":[{"role":"user","content":"x"}],"stream":true}`
)

type badInput struct {
	name, method, path, kind, body string
	headers                        []string
	status                         int
	code                           rwcode.Code
}

var badInputs = []badInput{
	{"no key", "POST", chatPath, "draft", goodBody, []string{"Authorization", ""}, 401, rwcode.Unauthorized},
	{"unknown key", "POST", chatPath, "draft", goodBody, []string{"Authorization", "", "Authorization", "Bearer other"}, 401, rwcode.Unauthorized},
	{"key without scheme", "POST", chatPath, "draft", goodBody, []string{"Authorization", "", "Authorization", callerKey}, 401, rwcode.Unauthorized},
	{"two keys", "POST", chatPath, "draft", goodBody, []string{"Authorization", "Bearer other"}, 400, rwcode.BadRequest},
	{"no kind", "POST", chatPath, "", goodBody, nil, 404, rwcode.UnknownKind},
	{"unknown kind", "POST", chatPath, "other", goodBody, nil, 404, rwcode.UnknownKind},
	{"two kinds", "POST", chatPath, "draft", goodBody, []string{"Redwing-Kind", "sealed"}, 400, rwcode.BadRequest},
	{"model of another pool", "POST", chatPath, "draft", strings.Replace(goodBody, "drafter", "other", 1), nil, 404, rwcode.UnknownPool},
	{"no model", "POST", chatPath, "draft", `{"messages":[{}]}`, nil, 400, rwcode.BadRequest},
	{"no messages", "POST", chatPath, "draft", `{"model":"drafter"}`, nil, 400, rwcode.BadRequest},
	{"max_tokens of zero", "POST", chatPath, "draft", `{"model":"drafter","messages":[{}],"max_tokens":0}`, nil, 400, rwcode.BadRequest},
	{"no JSON", "POST", chatPath, "draft", `{"model":`, nil, 400, rwcode.BadRequest},
	{"text after the JSON", "POST", chatPath, "draft", goodBody + "x", nil, 400, rwcode.BadRequest},
	{"empty body", "POST", chatPath, "draft", "", nil, 400, rwcode.BadRequest},
	{"body too large", "POST", chatPath, "draft", strings.Repeat("x", maxBodyBytes+1), nil, 413, rwcode.BodyTooLarge},
	{"header too large", "POST", chatPath, "draft", goodBody, []string{"X-Filler", strings.Repeat("x", maxHeaderBytes)}, 431, rwcode.HeaderTooLarge},
	{"idempotency key too long", "POST", "/v1/call/orders/new", "order", "x", []string{"Idempotency-Key", strings.Repeat("x", maxKeyBytes+1)}, 400, rwcode.BadRequest},
	{"two idempotency keys", "POST", "/v1/call/orders/new", "order", "x", []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, 400, rwcode.BadRequest},
	{"idempotency key that could not be checked", "POST", chatPath, "sealed", goodBody, []string{"Idempotency-Key", "a"}, 400, rwcode.BadRequest},
	{"deadline is no number", "POST", chatPath, "draft", goodBody, []string{"Redwing-Deadline", "soon"}, 400, rwcode.BadRequest},
	{"deadline of zero", "POST", chatPath, "draft", goodBody, []string{"Redwing-Deadline", "0"}, 400, rwcode.BadRequest},
	{"deadline that overflows", "POST", chatPath, "draft", goodBody, []string{"Redwing-Deadline", "9223372036854775807"}, 400, rwcode.BadRequest},
	{"hint is no number", "POST", chatPath, "draft", goodBody, []string{"Redwing-Hint", "NaN"}, 400, rwcode.BadRequest},
	{"negative hint", "POST", chatPath, "draft", goodBody, []string{"Redwing-Hint", "-1"}, 400, rwcode.BadRequest},
	{"infinite hint", "POST", chatPath, "draft", goodBody, []string{"Redwing-Hint", "Inf"}, 400, rwcode.BadRequest},
	{"pool of another kind", "POST", "/v1/call/drafter/x", "order", "x", nil, 404, rwcode.UnknownPool},
	{"engine kind on the service path", "POST", "/v1/call/drafter/x", "draft", "x", nil, 400, rwcode.BadRequest},
	{"service kind on the engine path", "POST", chatPath, "order", strings.Replace(goodBody, "drafter", "orders", 1), nil, 400, rwcode.BadRequest},
	{"pool without upstreams", "POST", chatPath, "lost", strings.Replace(goodBody, "drafter", "nowhere", 1), nil, 503, rwcode.NoUpstream},
	{"method", "OPTIONS", "/v1/call/orders/x", "order", "", nil, 400, rwcode.BadRequest},
	{"path", "POST", "/v1/other", "order", "x", nil, 404, rwcode.UnknownPath},
	{"method of a known path", "GET", chatPath, "draft", "", nil, 404, rwcode.UnknownPath},
}

// Guards against invalid requests that run, that get an error response with a
// wrong code or outcome, or that affect later requests.
func TestBadInput(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.start()
		for i, b := range badInputs {
			resp, text := h.do(t, c, request(t, b.method, b.path, b.kind, b.body, b.headers...))
			require.Contains(t, h.faults, b.code.String(), b.name)
			require.Len(t, h.faults, i+1, b.name)
			requireError(t, resp, text, b.status, b.code, rwoutcome.NotRun)
			require.Zero(t, h.ran.Load(), b.name)
		}
		resp, _ := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Zero(t, h.heldBytes("bodies"))
		require.Zero(t, h.requests.InUse())
	})
}

// Guards against requests that are changed before they reach RunInference or
// RunCall, above all against a non-idempotent kind that is run as idempotent.
func TestAcceptedRequest(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.start()
		_, text := h.do(t, c, request(t, "POST", chatPath, "sealed", goodBody, "Redwing-Deadline", "500", "Redwing-Hint", "12.5"))
		require.JSONEq(t, `{"id":"`+h.last.ID+`","text":"ttt","usage":3}`, text)
		require.False(t, h.last.Idempotent)
		require.True(t, h.last.Engine)
		require.Equal(t, goodBody, string(h.last.Body))
		require.Equal(t, 500*time.Millisecond, h.last.Deadline.Sub(h.last.Arrived))
		require.InDelta(t, 12.5, h.last.Hint, 0)

		resp, text := h.do(t, c, request(t, "PUT", "/v1/call/orders/a%2Fb/c?x=1", "order", "body", "Idempotency-Key", "k"))
		require.Equal(t, "made", text)
		require.Equal(t, http.StatusCreated, resp.StatusCode)
		require.Equal(t, "text/plain", resp.Header.Get("Content-Type"))
		require.Equal(t, "PUT /a%2Fb/c?x=1 k", h.last.Method+" "+h.last.Path+" "+h.last.IdempotencyKey)
		require.Equal(t, h.last.ID, resp.Header.Get("Redwing-Request"))

		_, text = h.do(t, c, request(t, "POST", "/v1/tickets", "", ""))
		require.JSONEq(t, `{"key":"ticket-1"}`, text)
		require.Zero(t, h.heldBytes("bodies"))
	})
}

// Guards against a router without configuration that refuses a valid key as
// unknown.
func TestNoConfigurationYet(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.Snapshot = rwsnapshot.Empty
		h.start()
		resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
		requireError(t, resp, text, 503, rwcode.NotReady, rwoutcome.NotRun)
	})
}

// Guards against callers whose chunked bodies stop short and keep all others out until
// their timeout, each with the reservation of the largest body.
func TestStalledBodiesGiveWay(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		const stalled = 2
		h.MaxTotalBodyBytes = stalled * maxBodyBytes
		h.Memory = rwbudget.New(maxBodyBytes)
		h.start()
		var ended sync.WaitGroup
		for range stalled {
			body, end := io.Pipe()
			defer func() { _ = end.Close() }()
			r := request(t, "POST", chatPath, "draft", "x")
			r.Body, r.ContentLength = body, -1
			ended.Go(func() {
				if resp, err := c.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		time.Sleep(2 * rwbudget.StallTime)
		start := time.Now()
		served := false
		for !served && time.Since(start) < 2*time.Second {
			resp, _ := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
			served = resp.StatusCode == http.StatusOK
			time.Sleep(100 * time.Millisecond)
		}
		require.True(t, served)
		ended.Wait()
		require.Zero(t, h.heldBytes("bodies"))
	})
}

// Guards against waiting without a limit for a caller that doesn't finish its
// body.
func TestSlowBody(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.start()
		body, end := io.Pipe()
		defer func() { _ = end.Close() }()
		r := request(t, "POST", chatPath, "draft", "x")
		r.Body, r.ContentLength = body, 100
		start := time.Now()
		resp, text := h.do(t, c, r)
		requireError(t, resp, text, 408, rwcode.SlowBody, rwoutcome.NotRun)
		require.Equal(t, defaultBodyTimeout, time.Since(start))
		require.Zero(t, h.ran.Load())
		require.Zero(t, h.heldBytes("bodies"))
	})
}

// Guards against a caller that holds a connection, and a shutdown that waits for
// it, without bound, because its request is refused before its body, which never
// arrives, is read.
func TestRefusedRequestWithUnfinishedBodyEndsTheConnection(t *testing.T) {
	for name, draining := range map[string]bool{"unknown path": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.Draining = func() bool { return draining }
				h.start()
				defer func() { _ = h.server.Close() }()
				conn, err := h.dial(t.Context(), "", "")
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
				_, err = io.WriteString(conn, "POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
				require.NoError(t, err)
				responses := bufio.NewReader(conn)
				resp, err := http.ReadResponse(responses, nil)
				require.NoError(t, err, "no response")
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				_, err = responses.ReadByte()
				require.ErrorIs(t, err, io.EOF, "the connection is still open")
			})
		})
	}
}

// Guards against an error response that is lost because the connection is reset
// while the caller still sends a body that is too large.
func TestLargeBodyGetsErrorResponse(t *testing.T) {
	for name, header := range map[string]string{
		"length known": fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*maxBodyBytes),
		"chunked":      fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 4*maxBodyBytes),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.start()
				conn, err := h.dial(t.Context(), "", "")
				require.NoError(t, err)
				status := make(chan int, 1)
				sent := make(chan error, 1)
				go func() {
					_, err := io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer "+
						callerKey+"\r\nRedwing-Kind: draft\r\n"+header)
					for i := 0; err == nil && i < 4; i++ {
						time.Sleep(time.Second)
						_, err = conn.Write(make([]byte, maxBodyBytes))
					}
					sent <- err
				}()
				go func() {
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err == nil {
						_ = resp.Body.Close()
						status <- resp.StatusCode
					}
				}()
				require.NoError(t, <-sent, "the connection was closed while the caller sent the body")
				require.Equal(t, http.StatusRequestEntityTooLarge, <-status)
				_ = conn.Close()
				_ = h.server.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against unbounded memory use by the bodies of many callers.
func TestTotalBodySizeIsBounded(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.MaxTotalBodyBytes = len(goodBody) - 1
		h.start()
		resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
		requireError(t, resp, text, 503, rwcode.TooManyRequests, rwoutcome.NotRun)
		require.Zero(t, h.heldBytes("bodies"))
	})
}

// Guards against BodyTimeout ending a request whose body was read in time but
// whose response takes longer.
func TestBodyTimeoutDoesNotEndTheRequest(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.RunInference = func(ctx context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			select {
			case <-time.After(2 * defaultBodyTimeout):
				return chunks(q, emit, 1)
			case <-ctx.Done():
				return rwfault.FromContext(ctx)
			}
		}
		h.start()
		resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
		require.Equal(t, http.StatusOK, resp.StatusCode, text)
	})
}

// Guards against more concurrent requests than the limit.
func TestTooManyRequests(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.MaxRequests = 1
		finish := make(chan struct{})
		h.RunInference = func(_ context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			<-finish
			return chunks(q, emit, 1)
		}
		h.start()
		first := make(chan int, 1)
		r := request(t, "POST", chatPath, "draft", goodBody)
		go func() {
			resp, err := c.Do(r)
			if err == nil {
				_ = resp.Body.Close()
				first <- resp.StatusCode
			}
		}()
		synctest.Wait()
		resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
		requireError(t, resp, text, 503, rwcode.TooManyRequests, rwoutcome.NotRun)
		close(finish)
		require.Equal(t, http.StatusOK, <-first)
	})
}

// Guards against requests that are served on connections above the limit instead
// of getting an error response, and against connections that still count after
// they were closed.
func TestTooManyConnections(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, first *http.Client) {
		h.MaxConns = 1
		h.start()
		resp, _ := h.do(t, first, request(t, "POST", chatPath, "draft", goodBody))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		second := h.client(strings.HasSuffix(t.Name(), "2"))
		resp, text := h.do(t, second, request(t, "POST", chatPath, "draft", goodBody))
		requireError(t, resp, text, 503, rwcode.TooManyConnections, rwoutcome.NotRun)
		second.CloseIdleConnections()
		first.CloseIdleConnections()
		synctest.Wait()
		require.Zero(t, h.Gate.conns.InUse())
		resp, _ = h.do(t, second, request(t, "POST", chatPath, "draft", goodBody))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		second.CloseIdleConnections()
	})
}

// Guards against a request that is not ended at its deadline, that gets the
// outcome NotRun after it was sent, or whose first byte is written too late.
func TestDeadline(t *testing.T) {
	for name, body := range map[string]string{"complete": goodBody, "stream": streamBody} {
		t.Run(name, func(t *testing.T) {
			eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
				outcome := rwoutcome.NotRun
				h.RunInference = func(ctx context.Context, _ *rwrequest.Request, _ func(*rwstream.Chunk) error) error {
					<-ctx.Done()
					return rwfault.FromContext(ctx).WithOutcome(outcome)
				}
				h.start()
				for _, outcome = range []rwoutcome.Outcome{rwoutcome.NotRun, rwoutcome.Unknown} {
					start := time.Now()
					resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", body, "Redwing-Deadline", "700"))
					requireError(t, resp, text, 504, rwcode.DeadlineExceeded, outcome)
					require.Equal(t, 700*time.Millisecond, time.Since(start))
				}
			})
		})
	}
}

// Guards against a deadline that ends a response whose first byte was in time.
func TestDeadlineEndsWithTheFirstByte(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.RunInference = func(ctx context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			for i := range 3 {
				if err := emit(&rwstream.Chunk{ID: q.ID, Index: i}); err != nil {
					return err
				}
				select {
				case <-time.After(time.Second):
				case <-ctx.Done():
					return rwfault.FromContext(ctx)
				}
			}
			return nil
		}
		h.start()
		_, text := h.do(t, c, request(t, "POST", chatPath, "draft", streamBody, "Redwing-Deadline", "500"))
		require.Equal(t, 4, strings.Count(text, "data: "))
		require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"))
	})
}

// Guards against an error response that is delayed, or that has no Retry-After
// header although the request may be retried.
func TestFaultIsReturnedAtOnce(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		var f *rwfault.Fault
		h.RunInference = func(context.Context, *rwrequest.Request, func(*rwstream.Chunk) error) error { return f }
		h.start()
		for _, k := range []struct {
			fault  *rwfault.Fault
			status int
			retry  string
		}{
			{rwfault.New(rwcode.QueueFull, "").WithRetryAfter(2500 * time.Millisecond), 429, "3"},
			{rwfault.New(rwcode.DeadlineUnreachable, ""), 503, "1"},
			{rwfault.New(rwcode.UpstreamUnreachable, ""), 503, "1"},
			{rwfault.New(rwcode.UpstreamUnreachable, "").WithOutcome(rwoutcome.Unknown), 502, ""},
			{rwfault.New(rwcode.UpstreamTimeout, "").WithOutcome(rwoutcome.Unknown), 504, "1"},
		} {
			f = k.fault
			start := time.Now()
			resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", streamBody, "Redwing-Deadline", "60000"))
			requireError(t, resp, text, k.status, f.Code, f.Outcome)
			require.Equal(t, k.retry, resp.Header.Get("Retry-After"))
			require.Zero(t, time.Since(start))
		}
	})
}

// Guards against the outcome NotRun for an unexpected error.
func TestErrorWithoutFaultIsUnknown(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.RunCall = func(context.Context, *rwrequest.Request) (*rwdispatch.Response, error) { return nil, io.ErrNoProgress }
		h.start()
		resp, text := h.do(t, c, request(t, "POST", "/v1/call/orders/x", "order", "x"))
		requireError(t, resp, text, 500, rwcode.Internal, rwoutcome.Unknown)
	})
}

// Guards against a broken stream that looks complete: it must have an error
// event, no end marker, and no regular end of the body.
func TestBrokenStreamNeverLooksWhole(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.RunInference = func(_ context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			if err := chunks(q, emit, 2); err != nil {
				return err
			}
			return rwfault.New(rwcode.UpstreamTruncated, "u1").WithOutcome(rwoutcome.Unknown)
		}
		h.start()
		resp, err := c.Do(request(t, "POST", chatPath, "draft", streamBody))
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.Error(t, err, "the body ended as if it were complete")
		text := string(data)
		require.Equal(t, 1, strings.Count(text, "event: error\ndata: {\"error\":{\"code\":\"upstream_truncated\",\"outcome\":\"unknown\""), text)
		require.NotContains(t, text, "[DONE]")
		require.Equal(t, []string{"upstream_truncated"}, h.faults)
		require.Zero(t, h.requests.InUse())
	})
}

// Guards against a response without chunks that looks like a complete stream.
func TestEmptyStreamIsAnError(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.RunInference = func(context.Context, *rwrequest.Request, func(*rwstream.Chunk) error) error { return nil }
		h.start()
		resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", streamBody))
		requireError(t, resp, text, 502, rwcode.UpstreamTruncated, rwoutcome.Unknown)
	})
}

// Guards against unbounded memory use by an engine that never ends its response.
func TestResponseSizeIsBounded(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		text := strings.Repeat("x", 1<<20)
		h.RunInference = func(_ context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			var err error
			for i := 0; err == nil; i++ {
				err = emit(&rwstream.Chunk{ID: q.ID, Index: i, Text: text})
			}
			return err
		}
		h.start()
		resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
		requireError(t, resp, text, 502, rwcode.UpstreamMalformed, rwoutcome.Unknown)
	})
}

// Guards against a request that continues after its caller disconnected during
// the stream.
func TestCallerDisconnects(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		ended := make(chan rwcode.Code, 1)
		h.RunInference = func(ctx context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			if err := chunks(q, emit, 1); err != nil {
				return err
			}
			<-ctx.Done()
			f := rwfault.FromContext(ctx)
			ended <- f.Code
			return f
		}
		h.start()
		ctx, disconnect := context.WithCancel(t.Context())
		resp, err := c.Do(request(t, "POST", chatPath, "draft", streamBody).WithContext(ctx))
		require.NoError(t, err)
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		require.NoError(t, err)
		disconnect()
		_ = resp.Body.Close()
		require.Equal(t, rwcode.CallerGone, <-ended)
	})
}

// Guards against a caller that stops reading and thereby occupies a slot of an
// engine.
func TestCallerStopsReading(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		ended := make(chan error, 1)
		h.RunInference = func(_ context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			var err error
			for i := 0; err == nil; i++ {
				err = emit(&rwstream.Chunk{ID: q.ID, Index: i, Text: strings.Repeat("x", 32<<10)})
			}
			ended <- err
			return err
		}
		h.start()
		start := time.Now()
		resp, err := c.Do(request(t, "POST", chatPath, "draft", streamBody))
		require.NoError(t, err)
		require.True(t, rwfault.Is(<-ended, rwcode.CallerGone))
		require.LessOrEqual(t, time.Since(start), writeTimeout+writeDeadlineInterval)
		_ = resp.Body.Close()
	})
}

// Guards against a write deadline that is not reset after its request and breaks a
// later response on the same connection.
func TestReusedConnectionHasNoOldDeadline(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.start()
		for _, path := range []string{chatPath, "/healthz", "/v1/other", chatPath} {
			method, body := "POST", streamBody
			if path == "/healthz" {
				method, body = "GET", ""
			}
			resp, _ := h.do(t, c, request(t, method, path, "draft", body))
			require.NotZero(t, resp.StatusCode)
			time.Sleep(writeTimeout + time.Second)
		}
		require.Equal(t, int64(1), h.accepted.Load())
	})
}

// Guards against a shutdown that interrupts a request in progress, and against new
// requests that are accepted on open connections during the shutdown.
func TestDraining(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		var draining atomic.Bool
		h.Draining = draining.Load
		resume := make(chan struct{})
		h.RunInference = func(_ context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			if err := emit(&rwstream.Chunk{ID: q.ID, Index: 0}); err != nil {
				return err
			}
			<-resume
			return emit(&rwstream.Chunk{ID: q.ID, Index: 1, Finish: "stop"})
		}
		h.start()
		resp, _ := h.do(t, c, request(t, "GET", "/readyz", "", ""))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		running, err := c.Do(request(t, "POST", chatPath, "draft", streamBody))
		require.NoError(t, err)
		draining.Store(true)
		resp, text := h.do(t, c, request(t, "POST", chatPath, "draft", streamBody))
		requireError(t, resp, text, 503, rwcode.Draining, rwoutcome.NotRun)
		resp, _ = h.do(t, c, request(t, "GET", "/readyz", "", ""))
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		stopped := make(chan error, 1)
		go func() { stopped <- h.server.Shutdown(context.Background()) }()
		synctest.Wait()
		close(resume)
		data, err := io.ReadAll(running.Body)
		_ = running.Body.Close()
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(string(data), "data: [DONE]\n\n"), string(data))
		c.CloseIdleConnections()
		require.NoError(t, <-stopped)
	})
}

// Guards against callers who keep their connections open, and send requests on
// them, because a response during a shutdown does not tell them to close.
func TestDrainingClosesConnections(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		var draining atomic.Bool
		h.Draining = draining.Load
		run := h.RunInference
		h.RunInference = func(ctx context.Context, q *rwrequest.Request, emit func(*rwstream.Chunk) error) error {
			draining.Store(true)
			return run(ctx, q, emit)
		}
		h.start()
		for _, body := range []string{goodBody, streamBody} {
			draining.Store(false)
			resp, _ := h.do(t, c, request(t, "POST", chatPath, "draft", body))
			require.Equal(t, http.StatusOK, resp.StatusCode)
			synctest.Wait()
		}
		resp, _ := h.do(t, c, request(t, "GET", "/healthz", "", ""))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		synctest.Wait()
		draining.Store(false)
		resp, _ = h.do(t, c, request(t, "GET", "/healthz", "", ""))
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, int64(4), h.accepted.Load(), "each connection is closed after its response")
	})
}

// Guards against two requests with the same identifier.
func TestIdentifiersAreUnique(t *testing.T) {
	eachProtocol(t, func(t *testing.T, h *harness, c *http.Client) {
		h.start()
		seen := map[string]bool{}
		for range 5 {
			resp, _ := h.do(t, c, request(t, "POST", chatPath, "draft", goodBody))
			seen[resp.Header.Get("Redwing-Request")] = true
		}
		require.Len(t, seen, 5, fmt.Sprint(seen))
	})
}
