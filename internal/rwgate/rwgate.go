// Package rwgate is the front end for callers: it authenticates them, checks
// their requests against limits and writes answers and errors.
package rwgate

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstream"
)

const maxBodyBytes = 1 << 20

// Gate serves callers over HTTP. Its function fields are set before the first
// request.
type Gate struct {
	// ID starts the identifiers of requests: router name and incarnation.
	ID string
	// View returns the configuration in force.
	View func() *rwsnapshot.Snapshot
	// Run runs model work, Do a call to a plain service.
	Run func(context.Context, *rwrequest.Request, func(*rwstream.Chunk) error) error
	Do  func(context.Context, *rwrequest.Request) (*rwdispatch.Answer, error)
	// Ticket makes an idempotency key that only this router runs.
	Ticket func() (string, error)
	// Ready reports whether the balancer may send requests.
	Ready func() bool
	// Refused counts a refusal.
	Refused func(rwcode.Code)
	// Now is the clock.
	Now func() time.Time

	sequence atomic.Int64
}

// Handler returns the HTTP handler for callers.
func (g *Gate) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", g.chat)
	m.HandleFunc("/v1/call/{pool}/{path...}", g.call)
	m.HandleFunc("POST /v1/tickets", g.ticket)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /readyz", g.ready)
	return m
}

func (g *Gate) ready(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gate) accept(r *http.Request) (*rwrequest.Request, error) {
	view := g.View()
	account, ok := view.Authenticate(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	if !ok {
		return nil, rwfault.New(rwcode.Unauthorized, "unknown key")
	}
	kind, ok := view.Kind(r.Header.Get("Redwing-Kind"))
	if !ok {
		return nil, rwfault.New(rwcode.UnknownKind, r.Header.Get("Redwing-Kind"))
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, rwfault.New(rwcode.BodyTooLarge, strconv.Itoa(maxBodyBytes))
	}
	if err != nil {
		return nil, rwfault.Wrap(rwcode.SlowBody, err)
	}
	q := &rwrequest.Request{
		ID:          g.ID + "-" + strconv.FormatInt(g.sequence.Add(1), 10),
		Account:     account.Name,
		Kind:        kind.Name,
		Pool:        kind.Pool,
		Urgency:     kind.Urgency,
		Idempotent:  kind.Idempotent,
		Repeat:      kind.Repeat,
		Key:         r.Header.Get("Idempotency-Key"),
		Method:      r.Method,
		Body:        body,
		ContentType: r.Header.Get("Content-Type"),
		Arrived:     g.Now(),
	}
	if ms, err := strconv.Atoi(r.Header.Get("Redwing-Deadline")); err == nil && ms > 0 {
		q.Deadline = q.Arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	if hint, err := strconv.ParseFloat(r.Header.Get("Redwing-Hint"), 64); err == nil && hint > 0 && !math.IsInf(hint, 0) {
		q.Hint = hint
	}
	return q, nil
}

func (g *Gate) chat(w http.ResponseWriter, r *http.Request) {
	q, err := g.accept(r)
	if err != nil {
		g.fail(w, err)
		return
	}
	var body struct {
		Stream bool `json:"stream"`
	}
	if err := json.Unmarshal(q.Body, &body); err != nil {
		g.fail(w, rwfault.Wrap(rwcode.BadRequest, err))
		return
	}
	q.Engine, q.Idempotent, q.Stream = true, true, body.Stream
	if q.Stream {
		g.stream(w, r, q)
		return
	}
	g.whole(w, r, q)
}

func (g *Gate) stream(w http.ResponseWriter, r *http.Request, q *rwrequest.Request) {
	flush := http.NewResponseController(w)
	started := false
	err := g.Run(r.Context(), q, func(c *rwstream.Chunk) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Redwing-Request", q.ID)
		}
		data, err := json.Marshal(c)
		if err != nil {
			return rwfault.Wrap(rwcode.Internal, err)
		}
		if _, err := w.Write(append(append([]byte("data: "), data...), "\n\n"...)); err != nil {
			return rwfault.Wrap(rwcode.CallerGone, err)
		}
		return flush.Flush()
	})
	switch {
	case err == nil:
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	case !started:
		g.fail(w, err)
	default:
		f := rwfault.From(err)
		g.Refused(f.Code)
		_, _ = io.WriteString(w, "event: error\ndata: "+string(encode(f))+"\n\n")
	}
}

type wholeAnswer struct {
	ID    string `json:"id"`
	Text  string `json:"text"`
	Usage int    `json:"usage"`
}

func (g *Gate) whole(w http.ResponseWriter, r *http.Request, q *rwrequest.Request) {
	a := wholeAnswer{ID: q.ID}
	var text strings.Builder
	err := g.Run(r.Context(), q, func(c *rwstream.Chunk) error {
		text.WriteString(c.Text)
		a.Usage++
		return nil
	})
	if err != nil {
		g.fail(w, err)
		return
	}
	a.Text = text.String()
	w.Header().Set("Redwing-Request", q.ID)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

func (g *Gate) call(w http.ResponseWriter, r *http.Request) {
	q, err := g.accept(r)
	if err != nil {
		g.fail(w, err)
		return
	}
	q.Path = "/" + r.PathValue("path")
	if r.PathValue("pool") != q.Pool {
		g.fail(w, rwfault.New(rwcode.UnknownPool, r.PathValue("pool")))
		return
	}
	a, err := g.Do(r.Context(), q)
	if err != nil {
		g.fail(w, err)
		return
	}
	w.Header().Set("Redwing-Request", q.ID)
	w.Header().Set("Content-Type", a.Header.Get("Content-Type"))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func (g *Gate) ticket(w http.ResponseWriter, r *http.Request) {
	if _, ok := g.View().Authenticate(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")); !ok {
		g.fail(w, rwfault.New(rwcode.Unauthorized, "unknown key"))
		return
	}
	key, err := g.Ticket()
	if err != nil {
		g.fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"key": key})
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
	Message string  `json:"message"`
	Retry   float64 `json:"retry,omitempty"`
}

func encode(f *rwfault.Fault) []byte {
	data, err := json.Marshal(errorBody{errorDetail{
		Code:    f.Code.String(),
		Outcome: f.Outcome.String(),
		Message: f.Error(),
		Retry:   f.RetryAfter.Seconds(),
	}})
	if err != nil {
		return []byte("{}")
	}
	return data
}

func (g *Gate) fail(w http.ResponseWriter, err error) {
	f := rwfault.From(err)
	g.Refused(f.Code)
	w.Header().Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status(f.Code))
	_, _ = w.Write(encode(f))
}

func status(c rwcode.Code) int {
	switch c {
	case rwcode.Unauthorized:
		return http.StatusUnauthorized
	case rwcode.UnknownAccount, rwcode.UnknownPool, rwcode.UnknownKind:
		return http.StatusNotFound
	case rwcode.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case rwcode.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case rwcode.BadRequest, rwcode.KeyMissing, rwcode.TicketInvalid:
		return http.StatusBadRequest
	case rwcode.SlowBody:
		return http.StatusRequestTimeout
	case rwcode.QueueFull, rwcode.QueueBytes:
		return http.StatusTooManyRequests
	case rwcode.DeadlineExceeded, rwcode.UpstreamTimeout:
		return http.StatusGatewayTimeout
	case rwcode.UpstreamMalformed, rwcode.UpstreamMismatch, rwcode.UpstreamTruncated, rwcode.OutcomeUnknown:
		return http.StatusBadGateway
	case rwcode.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
