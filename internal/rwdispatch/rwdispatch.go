// Package rwdispatch sends requests to upstreams and reads their responses. It
// distinguishes failures before the first byte was sent from those after it. The
// latter have the outcome NotRun only if the upstream refused the request because
// it is leaving or because the fencing token is stale.
package rwdispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"redwingworks.example/internal/rwbody"
	"redwingworks.example/internal/rwbudget"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwretryafter"
	"redwingworks.example/internal/rwsse"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

const maxResponseBytes = 8 << 20

// UncountedBytes is the size up to which a response takes no memory of the budget. It is
// about what the buffers of its connections take in any case.
const UncountedBytes = 4 << 10

// maxStatus is the highest status of HTTP (RFC 9110, section 15). The lowest is 100;
// net/http accepts any three digits.
const maxStatus = 599

const (
	dialTimeout             = 500 * time.Millisecond
	idleTimeout             = 30 * time.Second
	maxIdleConnsPerUpstream = 64
	// firstChunkTimeout bounds the wait for the headers and the first chunk.
	// The request may be queued inside the engine during this time.
	firstChunkTimeout = 60 * time.Second
	// stallTimeout bounds the wait for each later chunk. The target for the time
	// between chunks is 60 ms, so an engine that is this late has stalled.
	stallTimeout = 10 * time.Second
	// responseTimeout bounds the time of a call to a plain service.
	responseTimeout = 60 * time.Second
	// bodyEndTimeout bounds the wait for the end of the body after the end
	// marker. The response is complete by then, but a connection can be reused
	// only after the body was read to its end.
	bodyEndTimeout = 50 * time.Millisecond
	// cancelTimeout bounds a call that cancels a request. A retry waits for it,
	// so that it can't cancel the retry on the same engine.
	cancelTimeout = 500 * time.Millisecond
	// memoryWait bounds the wait for memory for the response to a non-idempotent call,
	// which can't be sent again. Callers that don't read have lost theirs by then.
	memoryWait = 2 * rwbudget.StallTime
)

// Dispatcher sends requests to upstreams.
type Dispatcher struct {
	// Dial opens a connection to an upstream. It must be set before the first
	// request; New sets it to the DialContext of a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Memory bounds the memory of the responses of plain services; nil for no bound. It
	// must be set before the first request.
	Memory *rwbudget.Budget

	// pooled reuses connections. Idempotent requests use it, and the calls that
	// cancel requests.
	pooled *http.Client
	// unpooled opens a connection for each request. On a reused connection that
	// breaks, the transport of net/http resends a request with an
	// Idempotency-Key by itself, which could run a non-idempotent call twice.
	unpooled *http.Client

	// cancelTimeout is the constant of this name; tests on sockets set a longer one.
	cancelTimeout time.Duration
	readers       sync.Pool
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Memory is what Body takes of the dispatcher's budget. It is pinned; who has the
	// response must close it. It is nil if the body doesn't count.
	Memory *rwbudget.Claim
	// RetryAfter is for how long the service wants no requests, or zero.
	RetryAfter time.Duration
}

// New returns a dispatcher.
func New() *Dispatcher {
	d := &Dispatcher{
		Dial:          (&net.Dialer{Timeout: dialTimeout}).DialContext,
		cancelTimeout: cancelTimeout,
		readers:       sync.Pool{New: func() any { return rwsse.New(nil) }},
	}
	d.pooled, d.unpooled = d.newClient(false), d.newClient(true)
	return d
}

// beforeSendKey is the context key of a request's BeforeSend function.
type beforeSendKey struct{}

// dial opens a connection and then calls the BeforeSend function in the context,
// so that it is the last step before the first byte is sent.
func (d *Dispatcher) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.Dial(ctx, network, addr)
	beforeSend, _ := ctx.Value(beforeSendKey{}).(func() error)
	if err != nil || beforeSend == nil {
		return conn, err
	}
	if err := beforeSend(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (d *Dispatcher) newClient(disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         d.dial,
			DisableKeepAlives:   disableKeepAlives,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send returns the response, or a fault whose outcome says whether the request
// may have run: as soon as it has a connection, bytes may have been sent.
func (d *Dispatcher) send(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, req *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.GetBody = nil
	client := d.pooled
	if !q.Idempotent {
		client = d.unpooled
		req = req.WithContext(context.WithValue(req.Context(), beforeSendKey{}, q.BeforeSend))
	}
	resp, err := client.Do(req)
	if err == nil {
		if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
			_ = resp.Body.Close()
			return nil, rwfault.New(rwcode.UpstreamMalformed, u.Name+": status "+resp.Status).WithOutcome(rwoutcome.Unknown)
		}
		return resp, nil
	}
	var beforeSendFault *rwfault.Fault // by BeforeSend
	if !sent.Load() && errors.As(err, &beforeSendFault) {
		return nil, beforeSendFault
	}
	f := interruptedFault(ctx, rwcode.UpstreamUnreachable, err).WithDetail(u.Name).WithOutcome(rwoutcome.NotRun)
	if sent.Load() {
		f = f.WithOutcome(rwoutcome.Unknown)
	}
	return nil, f
}

// interruptedFault returns the cause of the context's end or, if it has not
// ended, wraps err in a fault with the code. The outcome is Unknown.
func interruptedFault(ctx context.Context, code rwcode.Code, err error) *rwfault.Fault {
	f := rwfault.FromContext(ctx)
	if f == nil {
		f = rwfault.Wrap(code, err)
	}
	return f.WithOutcome(rwoutcome.Unknown)
}

// newRequest builds a request to the upstream's address. The path comes from the
// caller. It is appended and not resolved as a URL reference, since a path such
// as "//host/" would then lead to another address.
func newRequest(u rwupstream.Upstream, q *rwrequest.Request, method, path string) (*http.Request, error) {
	s := sling.New().Base("http://"+u.Addr+"/").
		Set("Redwing-Request", q.ID).
		Set("Redwing-Account", q.Account).
		Set("Redwing-Kind", q.Kind).
		Body(bytes.NewReader(q.Body))
	if q.IdempotencyKey != "" {
		s.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if q.FencingToken > 0 && u.ChecksFence {
		s.Set("Redwing-Fence", strconv.FormatInt(q.FencingToken, 10))
	}
	if q.ContentType != "" {
		s.Set("Content-Type", q.ContentType)
	}
	req, err := s.Request()
	if err != nil {
		return nil, rwfault.Wrap(rwcode.Internal, err)
	}
	to, err := url.Parse("http://" + u.Addr + path)
	if err != nil || to.Host != u.Addr {
		return nil, rwfault.New(rwcode.BadRequest, "invalid path "+path)
	}
	req.URL = to
	req.Method = method
	return req, nil
}

// Call runs a request on a plain service. The outcome of a fault says whether the
// request may have run. A response whose end isn't proved by a length or chunks
// fails with UpstreamTruncated.
func (d *Dispatcher) Call(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request) (*Response, error) {
	method := q.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := newRequest(u, q, method, q.Path)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	timer := time.AfterFunc(responseTimeout, func() { stop(rwfault.New(rwcode.UpstreamTimeout, u.Name)) })
	defer timer.Stop()
	resp, err := d.send(ctx, u, q, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if refusedAsLeaving(resp, q) {
		return nil, rwfault.New(rwcode.UpstreamLeaving, u.Name)
	}
	if q.FencingToken > 0 && u.ChecksFence && resp.StatusCode == http.StatusPreconditionFailed {
		return nil, rwfault.New(rwcode.FenceStale, u.Name)
	}
	if resp.Header.Get("Redwing-Request") != q.ID {
		return nil, rwfault.New(rwcode.UpstreamMismatch, u.Name).WithOutcome(rwoutcome.Unknown).WithRetryAfter(retryAfter(resp, q))
	}
	memory := d.Memory.Open(time.Now(), "responses", UncountedBytes, nil)
	// The caller can't be expected to read before the response is complete.
	memory.Pin()
	body, err := readBody(ctx, q, resp, memory)
	if err == nil && endsWithConnection(resp) {
		err = rwfault.New(rwcode.UpstreamTruncated, u.Name+": the connection ended, and the response has neither a length nor chunks").
			WithOutcome(rwoutcome.Unknown)
	}
	if err != nil {
		memory.Close()
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Memory: memory, RetryAfter: retryAfter(resp, q)}, nil
}

// readBody reads the body of a plain service's response. It takes the memory before it
// reads: the whole length if it is announced, otherwise segment by segment.
func readBody(ctx context.Context, q *rwrequest.Request, resp *http.Response, memory *rwbudget.Claim) ([]byte, error) {
	tooLarge := rwfault.New(rwcode.UpstreamMalformed, "response too large").WithOutcome(rwoutcome.Ran)
	if resp.ContentLength > maxResponseBytes {
		return nil, tooLarge
	}
	wait := memoryWait
	if q.Idempotent {
		wait = 0
	}
	body, err := rwbody.ReadWaiting(ctx, io.LimitReader(resp.Body, maxResponseBytes+1), resp.ContentLength, memory, wait)
	switch {
	case errors.Is(err, rwbody.ErrNoMemory) && ctx.Err() == nil:
		return nil, NoMemory(resp.StatusCode)
	case err != nil:
		return nil, interruptedFault(ctx, rwcode.UpstreamTruncated, err)
	case len(body) > maxResponseBytes:
		return nil, tooLarge
	}
	return body, nil
}

// NoMemory returns the fault of a call whose response, with a status, finds no memory. The
// call ran if the status says so. Another status doesn't show whether it ran.
func NoMemory(status int) *rwfault.Fault {
	outcome := rwoutcome.Unknown
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		outcome = rwoutcome.Ran
	}
	return rwfault.New(rwcode.TooManyRequests, "memory for responses is short").WithOutcome(outcome)
}

// endsWithConnection reports whether the body has neither a length nor chunks, so
// that it ends where the upstream closes the connection. Such an end doesn't show
// whether the body is complete: an upstream that crashes closes it too.
func endsWithConnection(resp *http.Response) bool {
	// The length that net/http gives for status 101 is 0, but Body is the rest of
	// the connection.
	return resp.StatusCode == http.StatusSwitchingProtocols ||
		resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// refusedAsLeaving reports whether the upstream refused the request because it
// is leaving. The state in a response to another request is ignored.
func refusedAsLeaving(resp *http.Response, q *rwrequest.Request) bool {
	id := resp.Header.Get("Redwing-Request")
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get("Redwing-State") == "leaving" &&
		(id == "" || id == q.ID)
}

// retryAfter returns for how long the upstream wants no requests, or zero. The time in a
// response to another request is ignored.
func retryAfter(resp *http.Response, q *rwrequest.Request) time.Duration {
	id := resp.Header.Get("Redwing-Request")
	if resp.StatusCode != http.StatusServiceUnavailable || id != "" && id != q.ID {
		return 0
	}
	return rwretryafter.Parse(resp.Header.Get("Retry-After"))
}

// Stream runs a request on an engine from the given offset and calls emit for
// each chunk in order. It returns nil only after a complete stream. An engine
// that can't resume starts from the first chunk; emit then gets the chunks before
// the offset too. The last chunk is emitted only after the end marker was read,
// so that a stream that breaks between them can be resumed at the last chunk.
func (d *Dispatcher) Stream(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, offset int, emit func(*rwstream.Chunk) error) error {
	req, err := newRequest(u, q, http.MethodPost, "/v1/chat/completions")
	if err != nil {
		return err
	}
	if offset > 0 {
		req.Header.Set("Redwing-Resume", strconv.Itoa(offset))
	}
	run, stop := context.WithCancelCause(ctx)
	timer := time.AfterFunc(firstChunkTimeout, func() { stop(rwfault.New(rwcode.UpstreamTimeout, u.Name)) })
	err = d.runStream(run, u, q, req, offset, func(c *rwstream.Chunk) error {
		// The time that a slow caller takes doesn't count as a stall.
		timer.Stop()
		err := emit(c)
		if c.Finish == "" {
			timer.Reset(stallTimeout)
		} else {
			timer.Reset(bodyEndTimeout)
		}
		return err
	})
	timer.Stop()
	stop(nil)
	if err != nil && rwfault.From(err).Outcome != rwoutcome.NotRun {
		d.cancel(ctx, u, q)
	}
	return err
}

func (d *Dispatcher) runStream(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, req *http.Request, offset int, emit func(*rwstream.Chunk) error) error {
	resp, err := d.send(ctx, u, q, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusFault(u, q, resp)
	}
	if resp.Header.Get("Redwing-Request") != q.ID {
		return rwfault.New(rwcode.UpstreamMismatch, u.Name).WithOutcome(rwoutcome.Unknown)
	}
	decoder := rwstream.New(q.ID, offset)
	if q.Stream {
		decoder.SkipText()
	}
	reader := d.readers.Get().(*rwsse.Reader)
	defer d.readers.Put(reader)
	defer reader.Reset(nil)
	reader.Reset(resp.Body)
	return readStream(ctx, reader, decoder, emit)
}

// cancel asks an engine to stop a request, so that it doesn't continue to
// generate output that nobody reads. If the context has ended, there will be no
// retry, and cancel doesn't wait for the engine.
func (d *Dispatcher) cancel(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request) {
	if ctx.Err() != nil {
		go d.sendCancel(u, q)
		return
	}
	d.sendCancel(u, q)
}

func (d *Dispatcher) sendCancel(u rwupstream.Upstream, q *rwrequest.Request) {
	ctx, stop := context.WithTimeout(context.Background(), d.cancelTimeout)
	defer stop()
	to := "http://" + u.Addr + "/v1/requests/" + url.PathEscape(q.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, to, nil)
	if err != nil {
		return
	}
	resp, err := d.pooled.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// statusFault returns the fault for a status other than 200. The outcome is
// NotRun only if the engine refused the request because it is leaving. RetryAfter is for
// how long the engine wants no requests.
func statusFault(u rwupstream.Upstream, q *rwrequest.Request, resp *http.Response) error {
	if refusedAsLeaving(resp, q) {
		return rwfault.New(rwcode.UpstreamLeaving, u.Name)
	}
	code := rwcode.UpstreamRefused
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		code = rwcode.BadRequest
	}
	return rwfault.New(code, u.Name+": "+resp.Status).WithOutcome(rwoutcome.Unknown).WithRetryAfter(retryAfter(resp, q))
}

// readStream decodes events and emits their chunks up to the end of the stream.
func readStream(ctx context.Context, reader *rwsse.Reader, decoder *rwstream.Decoder, emit func(*rwstream.Chunk) error) error {
	var last *rwstream.Chunk
	for {
		data, err := reader.Next()
		if errors.Is(err, io.EOF) {
			err = decoder.Close()
			if err == nil {
				return nil
			}
		}
		if err != nil {
			return streamFault(ctx, err)
		}
		c, err := decoder.Decode(data)
		switch {
		case err != nil:
			return streamFault(ctx, err)
		case c == nil:
			return finishStream(reader, last, emit)
		case c.Finish != "":
			last = cloneChunk(c)
			continue
		}
		if err := emit(c); err != nil {
			return rwfault.From(err).WithOutcome(rwoutcome.Unknown)
		}
	}
}

// finishStream emits the last chunk and reads the body to its end. It is called
// after the end marker was read, so the response is complete and what follows
// doesn't matter.
func finishStream(reader *rwsse.Reader, last *rwstream.Chunk, emit func(*rwstream.Chunk) error) error {
	if err := emit(last); err != nil {
		return rwfault.From(err).WithOutcome(rwoutcome.Unknown)
	}
	_, _ = reader.Next()
	return nil
}

// cloneChunk copies a chunk that is used after the next read.
func cloneChunk(c *rwstream.Chunk) *rwstream.Chunk {
	k := *c
	k.Raw = bytes.Clone(c.Raw)
	return &k
}

// streamFault returns the cause of the context's end or, if it has not ended, the
// fault inside err. The outcome is Unknown.
func streamFault(ctx context.Context, err error) *rwfault.Fault {
	if f := rwfault.FromContext(ctx); f != nil {
		return f.WithOutcome(rwoutcome.Unknown)
	}
	return rwfault.From(err).WithOutcome(rwoutcome.Unknown)
}
