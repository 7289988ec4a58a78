// Package rwdispatch sends requests to upstreams and reads their answers. It
// tells failures before the first byte was sent from those after it, because
// only the first kind may be called "not run".
package rwdispatch

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

// Limits of an upstream's answer.
const (
	maxEventBytes  = 64 << 10
	maxAnswerBytes = 8 << 20
)

const (
	dialTimeout   = 500 * time.Millisecond
	idleTimeout   = 30 * time.Second
	maxIdlePerVM  = 64
	headerTimeout = 60 * time.Second
)

// Dispatcher calls upstreams.
type Dispatcher struct {
	// shared keeps connections and serves idempotent requests only.
	shared *http.Client
	// fresh opens a connection for each request. The transport of net/http
	// sends a request with an Idempotency-Key again by itself when a kept
	// connection breaks, which would run a non-idempotent call twice.
	fresh *http.Client
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns a dispatcher.
func New() *Dispatcher {
	return &Dispatcher{shared: client(false), fresh: client(true)}
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
			DialContext:           dial,
			DisableKeepAlives:     fresh,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   maxIdlePerVM,
			IdleConnTimeout:       idleTimeout,
			ResponseHeaderTimeout: headerTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (d *Dispatcher) send(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, call *sling.Sling) (*http.Response, error) {
	req, err := call.Request()
	if err != nil {
		return nil, rwfault.Wrap(rwcode.BadRequest, err)
	}
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.GetBody = nil
	client := d.shared
	if !q.Idempotent {
		client = d.fresh
		req = req.WithContext(context.WithValue(req.Context(), checkKey{}, q.Check))
	}
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	f := rwfault.Wrap(rwcode.UpstreamUnreachable, err).WithDetail(u.Name)
	if stopped := rwfault.From(err); !sent && stopped.Code != rwcode.Internal {
		return nil, stopped
	}
	if sent {
		f = f.WithOutcome(rwoutcome.Unknown)
	}
	return nil, f
}

func prepare(u rwupstream.Upstream, q *rwrequest.Request) *sling.Sling {
	s := sling.New().Base("http://"+u.Addr+"/").
		Set("Redwing-Request", q.ID).
		Set("Redwing-Account", q.Account).
		Set("Redwing-Kind", q.Kind)
	if q.Key != "" {
		s.Set("Idempotency-Key", q.Key)
	}
	if q.Fence > 0 && u.Fence {
		s.Set("Redwing-Fence", strconv.FormatInt(q.Fence, 10))
	}
	if q.ContentType != "" {
		s.Set("Content-Type", q.ContentType)
	}
	return s
}

// Call runs a request on a plain service. The outcome of its faults says
// whether the request may have run.
func (d *Dispatcher) Call(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request) (*Answer, error) {
	call := method(prepare(u, q), q).Body(bytes.NewReader(q.Body))
	resp, err := d.send(ctx, u, q, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Redwing-State") == "leaving" {
		return nil, rwfault.New(rwcode.UpstreamLeaving, u.Name)
	}
	if resp.Header.Get("Redwing-Request") != q.ID {
		return nil, rwfault.New(rwcode.UpstreamMismatch, u.Name).WithOutcome(rwoutcome.Unknown)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, rwfault.Wrap(rwcode.UpstreamTruncated, err).WithOutcome(rwoutcome.Unknown)
	}
	if len(body) > maxAnswerBytes {
		return nil, rwfault.New(rwcode.UpstreamMalformed, "answer too large").WithOutcome(rwoutcome.Ran)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func method(s *sling.Sling, q *rwrequest.Request) *sling.Sling {
	path := strings.TrimPrefix(q.Path, "/")
	switch q.Method {
	case http.MethodGet:
		return s.Get(path)
	case http.MethodPut:
		return s.Put(path)
	case http.MethodDelete:
		return s.Delete(path)
	default:
		return s.Post(path)
	}
}

// Stream runs a request on an engine from the given offset and calls emit for
// each chunk in order. It returns nil only after a whole stream.
func (d *Dispatcher) Stream(ctx context.Context, u rwupstream.Upstream, q *rwrequest.Request, offset int, emit func(*rwstream.Chunk) error) error {
	call := prepare(u, q).Post("v1/chat/completions").Body(bytes.NewReader(q.Body))
	if offset > 0 {
		call.Set("Redwing-Resume", strconv.Itoa(offset))
	}
	resp, err := d.send(ctx, u, q, call)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused(u, resp)
	}
	if resp.Header.Get("Redwing-Request") != q.ID {
		return rwfault.New(rwcode.UpstreamMismatch, u.Name).WithOutcome(rwoutcome.Unknown)
	}
	return read(resp.Body, rwstream.New(q.ID, offset), emit)
}

func refused(u rwupstream.Upstream, resp *http.Response) error {
	if resp.Header.Get("Redwing-State") == "leaving" {
		return rwfault.New(rwcode.UpstreamLeaving, u.Name)
	}
	return rwfault.New(rwcode.UpstreamRefused, u.Name+": "+resp.Status).WithOutcome(rwoutcome.Unknown)
}

func read(body io.Reader, s *rwstream.Stream, emit func(*rwstream.Chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		c, err := s.Next(data)
		if err != nil {
			return rwfault.From(err).WithOutcome(rwoutcome.Unknown)
		}
		if c == nil {
			continue
		}
		if err := emit(c); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return rwfault.Wrap(rwcode.UpstreamTruncated, err).WithOutcome(rwoutcome.Unknown)
	}
	if err := s.Close(); err != nil {
		return rwfault.From(err).WithOutcome(rwoutcome.Unknown)
	}
	return nil
}
