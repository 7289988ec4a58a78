// Package rwdispatch sends requests to upstreams and reads their answers. It
// tells failures before the first byte was sent from those after it, because
// only the first kind may be called "not run".
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

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwsse"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

const maxAnswerBytes = 8 << 20

const (
	dialTimeout  = 500 * time.Millisecond
	idleTimeout  = 30 * time.Second
	maxIdlePerVM = 64
	// firstTimeout bounds the wait for the headers and for the first chunk,
	// which may queue inside the engine.
	firstTimeout = 60 * time.Second
	// stallTimeout bounds the wait for each later chunk. The target between
	// chunks is 60 ms, so an engine this late has stopped.
	stallTimeout = 10 * time.Second
	// answerTimeout bounds the wait for the rest of a plain service's answer.
	answerTimeout = 60 * time.Second
	// closeTimeout bounds the wait for the end of the body after the end
	// marker. The answer is whole by then; a connection whose body was not
	// read to the end can't be used again.
	closeTimeout = 50 * time.Millisecond
	// cancelTimeout bounds an order to cancel a request. A retry waits for
	// it, so that the order can't hit the retry on the same engine.
	cancelTimeout = 500 * time.Millisecond
)

// Dispatcher calls upstreams.
type Dispatcher struct {
	// shared keeps connections and serves idempotent requests only.
	shared *http.Client
	// fresh opens a connection for each request. The transport of net/http
	// sends a request with an Idempotency-Key again by itself when a kept
	// connection breaks, which would run a non-idempotent call twice.
	fresh *http.Client

	first, stall, answer time.Duration
	readers              sync.Pool
}

// Response is the whole answer of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns a dispatcher.
func New() *Dispatcher {
	return &Dispatcher{
		shared:  client(false),
		fresh:   client(true),
		first:   firstTimeout,
		stall:   stallTimeout,
		answer:  answerTimeout,
		readers: sync.Pool{New: func() any { return rwsse.New(nil) }},
	}
}

// checkKey is the context key of a request's Check.
type checkKey struct{}

// dial opens a connection and then calls the Check in the context, so that
// the check is the last step before the first byte.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	check, _ := ctx.Value(checkKey{}).(func() error)
	if err != nil || check == nil {
		return conn, err
	}
	if err := check(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func client(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerVM,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send returns the response, or a fault that says whether anything can have
// run: from the moment the request has a connection, bytes may be on the way.
func (d *Dispatcher) send(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, req *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.GetBody = nil
	client := d.shared
	if !q.Idempotent {
		client = d.fresh
		req = req.WithContext(context.WithValue(req.Context(), checkKey{}, q.BeforeSend))
	}
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	var stopped *rwfault.Fault
	if !sent.Load() && errors.As(err, &stopped) {
		return nil, stopped
	}
	f := broken(ctx, rwcode.UpstreamUnreachable, err).WithDetail(u.Name).WithOutcome(rwoutcome.NotRun)
	if sent.Load() {
		f = f.WithOutcome(rwoutcome.Unknown)
	}
	return nil, f
}

// broken returns the reason why the context ended, or a fault with the code
// around err. The outcome is unknown.
func broken(ctx context.Context, code rwcode.Code, err error) *rwfault.Fault {
	f := rwfault.FromContext(ctx)
	if f == nil {
		f = rwfault.Wrap(code, err)
	}
	return f.WithOutcome(rwoutcome.Unknown)
}

// newRequest builds a request to exactly the upstream's address. The path is
// the caller's: joined by reference resolution, one like "//host/" would lead
// to another address.
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
		return nil, rwfault.New(rwcode.BadRequest, "path "+path)
	}
	req.URL = to
	req.Method = method
	return req, nil
}

// Call runs a request on a plain service. The outcome of its faults says
// whether the request may have run.
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
	timer := time.AfterFunc(d.answer, func() { stop(rwfault.New(rwcode.UpstreamTimeout, u.Name)) })
	defer timer.Stop()
	resp, err := d.send(ctx, u, q, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if leaving(resp, q) {
		return nil, rwfault.New(rwcode.UpstreamLeaving, u.Name)
	}
	if q.FencingToken > 0 && u.ChecksFence && resp.StatusCode == http.StatusPreconditionFailed {
		return nil, rwfault.New(rwcode.FenceStale, u.Name)
	}
	if resp.Header.Get("Redwing-Request") != q.ID {
		return nil, rwfault.New(rwcode.UpstreamMismatch, u.Name).WithOutcome(rwoutcome.Unknown)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, broken(ctx, rwcode.UpstreamTruncated, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, rwfault.New(rwcode.UpstreamMalformed, "answer too large").WithOutcome(rwoutcome.Ran)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// leaving reports whether the upstream refused the request because it leaves.
// The refusal of another request says nothing about this one.
func leaving(resp *http.Response, q *rwrequest.Request) bool {
	id := resp.Header.Get("Redwing-Request")
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get("Redwing-State") == "leaving" &&
		(id == "" || id == q.ID)
}

// Stream runs a request on an engine from the given offset and calls emit for
// each chunk in order. It returns nil only after a whole stream. An engine
// that can't resume starts again; then emit gets the chunks before the offset
// too. The last chunk is emitted when the end marker has arrived, so that a
// stream that breaks between them can be resumed at the last chunk.
func (d *Dispatcher) Stream(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, offset int, emit func(*rwstream.Chunk) error) error {
	req, err := newRequest(u, q, http.MethodPost, "/v1/chat/completions")
	if err != nil {
		return err
	}
	if offset > 0 {
		req.Header.Set("Redwing-Resume", strconv.Itoa(offset))
	}
	run, stop := context.WithCancelCause(ctx)
	timer := time.AfterFunc(d.first, func() { stop(rwfault.New(rwcode.UpstreamTimeout, u.Name)) })
	err = d.stream(run, u, q, req, offset, func(c *rwstream.Chunk) error {
		// A slow caller is no stall of the engine.
		timer.Stop()
		err := emit(c)
		if c.Finish == "" {
			timer.Reset(d.stall)
		} else {
			timer.Reset(closeTimeout)
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

func (d *Dispatcher) stream(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, req *http.Request, offset int, emit func(*rwstream.Chunk) error) error {
	resp, err := d.send(ctx, u, q, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused(u, q, resp)
	}
	if resp.Header.Get("Redwing-Request") != q.ID {
		return rwfault.New(rwcode.UpstreamMismatch, u.Name).WithOutcome(rwoutcome.Unknown)
	}
	check := rwstream.New(q.ID, offset)
	if q.Stream {
		check.SkipText()
	}
	lines := d.readers.Get().(*rwsse.Reader)
	defer d.readers.Put(lines)
	defer lines.Reset(nil)
	lines.Reset(resp.Body)
	return read(ctx, lines, check, emit)
}

// cancel tells an engine to stop a request, so that it does not go on with an
// answer that nobody reads. When the caller is gone or got its final answer,
// nothing waits for the order.
func (d *Dispatcher) cancel(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request) {
	if ctx.Err() != nil {
		go d.delete(u, q)
		return
	}
	d.delete(u, q)
}

func (d *Dispatcher) delete(u rwupstream.Upstream, q *rwrequest.Request) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	to := "http://" + u.Addr + "/v1/requests/" + url.PathEscape(q.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, to, nil)
	if err != nil {
		return
	}
	resp, err := d.shared.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// refused reads the meaning of a status other than 200. Only the refusal of a
// leaving engine says that nothing ran.
func refused(u rwupstream.Upstream, q *rwrequest.Request, resp *http.Response) error {
	if leaving(resp, q) {
		return rwfault.New(rwcode.UpstreamLeaving, u.Name)
	}
	code := rwcode.UpstreamRefused
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		code = rwcode.BadRequest
	}
	return rwfault.New(code, u.Name+": "+resp.Status).WithOutcome(rwoutcome.Unknown)
}

func read(ctx context.Context, lines *rwsse.Reader, s *rwstream.Decoder, emit func(*rwstream.Chunk) error) error {
	var last *rwstream.Chunk
	for {
		data, err := lines.Next()
		if errors.Is(err, io.EOF) {
			err = s.Close()
			if err == nil {
				return nil
			}
		}
		if err != nil {
			return ended(ctx, err)
		}
		c, err := s.Decode(data)
		switch {
		case err != nil:
			return ended(ctx, err)
		case c == nil:
			return finish(lines, last, emit)
		case c.Finish != "":
			last = keep(c)
			continue
		}
		if err := emit(c); err != nil {
			return rwfault.From(err).WithOutcome(rwoutcome.Unknown)
		}
	}
}

// finish emits the last chunk once the end marker was read, and then reads on
// to the end of the body. What comes after the marker does not matter: the
// answer is whole.
func finish(lines *rwsse.Reader, last *rwstream.Chunk, emit func(*rwstream.Chunk) error) error {
	if err := emit(last); err != nil {
		return rwfault.From(err).WithOutcome(rwoutcome.Unknown)
	}
	_, _ = lines.Next()
	return nil
}

// keep copies a chunk that must outlive the next read.
func keep(c *rwstream.Chunk) *rwstream.Chunk {
	k := *c
	k.Raw = bytes.Clone(c.Raw)
	return &k
}

func ended(ctx context.Context, err error) *rwfault.Fault {
	if f := rwfault.FromContext(ctx); f != nil {
		return f.WithOutcome(rwoutcome.Unknown)
	}
	return rwfault.From(err).WithOutcome(rwoutcome.Unknown)
}
