package rwentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslot"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/internal/rwupstream"
)

const total = 6

// engine streams a response of length chunks. It ends the stream before the chunk
// with the index breakAt, or before the end marker if breakAt is length.
type engine struct {
	breakAt int
	// resumes is whether the engine supports Redwing-Resume.
	resumes bool
	// words is the start of each chunk's text.
	words  string
	length int
}

func (e engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	id := r.Header.Get("Redwing-Request")
	w.Header().Set("Redwing-Request", id)
	first := 0
	if e.resumes {
		first, _ = strconv.Atoi(r.Header.Get("Redwing-Resume"))
	}
	for i := first; i < e.length; i++ {
		if i == e.breakAt {
			return
		}
		finish := ""
		if i == e.length-1 {
			finish = "stop"
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"text\":\"%s%d \",\"finish\":%q}\n\n", id, i, e.words, i, finish)
	}
	if e.breakAt != e.length {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

// harness runs requests on test servers, round robin. The servers are on a network
// in memory.
type harness struct {
	runner *Runner
	mu     sync.Mutex
	// retries holds the codes of the faults that AllowRetry was called with,
	// and done the codes with which slots were returned.
	retries []string
	done    []string
	// allow is how many retries the budget allows.
	allow int
}

func newHarness(t *testing.T, servers ...http.Handler) *harness {
	var network rwmemnetwork.Network
	var list []rwupstream.Upstream
	for i, h := range servers {
		l, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		s := httptest.Server{Listener: l, Config: &http.Server{Handler: h}}
		s.Start()
		t.Cleanup(s.Close)
		list = append(list, rwupstream.Upstream{Name: "u" + strconv.Itoa(i), Addr: l.Addr().String()})
	}
	d := rwdispatch.New()
	d.Dial = network.Dial
	h := &harness{allow: 100}
	turn := 0
	h.runner = &Runner{
		Call:   d.Call,
		Stream: d.Stream,
		Now:    time.Now,
		AllowRetry: func(f *rwfault.Fault) bool {
			h.retries = append(h.retries, f.Code.String())
			return len(h.retries) <= h.allow
		},
		Acquire: func(context.Context, *rwrequest.Request) (*rwslot.Slot, error) {
			u := list[turn%len(list)]
			turn++
			return h.slot(u, time.Minute), nil
		},
	}
	return h
}

func (h *harness) slot(u rwupstream.Upstream, lifetime time.Duration) *rwslot.Slot {
	return &rwslot.Slot{
		Upstream: u,
		Expires:  time.Now().Add(lifetime),
		Done: func(_ float64, first, all time.Duration, c rwcode.Code) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if first < 0 || all < 0 || first > all {
				c = rwcode.Internal
			}
			h.done = append(h.done, c.String())
		},
	}
}

func (h *harness) run(t *testing.T, idempotent bool) (string, error) {
	var text strings.Builder
	q := &rwrequest.Request{ID: "r-1", Idempotent: idempotent, Engine: true, Body: []byte("{}")}
	next := 0
	err := h.runner.RunInference(t.Context(), q, func(c *rwstream.Chunk) error {
		require.Equal(t, next, c.Index, "gap or repeated chunk")
		next++
		text.WriteString(c.Text)
		return nil
	})
	return text.String(), err
}

const fullText = "w0 w1 w2 w3 w4 w5 "

// Guards against a gap, a repeated chunk or a mixture of two responses when a
// broken stream is continued with the response of another engine.
func TestBrokenStreamIsJoined(t *testing.T) {
	good := engine{breakAt: -1, words: "w", length: total, resumes: true}
	noResume := engine{breakAt: -1, words: "w", length: total}
	otherWords := engine{breakAt: -1, words: "v", length: total}
	shorter := engine{breakAt: -1, words: "w", length: 2}
	for name, c := range map[string]struct {
		breakAt int
		next    engine
		want    string
		code    rwcode.Code
	}{
		"resumed in the middle":           {3, good, fullText, rwcode.None},
		"resumed before the first chunk":  {0, good, fullText, rwcode.None},
		"resumed at the last chunk":       {total - 1, good, fullText, rwcode.None},
		"resumed before the end marker":   {total, good, fullText, rwcode.None},
		"started again, same response":    {3, noResume, fullText, rwcode.None},
		"started again before end marker": {total, noResume, fullText, rwcode.None},
		"started again, other response":   {3, otherWords, "w0 w1 w2 ", rwcode.UpstreamMismatch},
		"started again, shorter response": {3, shorter, "w0 w1 w2 ", rwcode.UpstreamMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				broken := engine{breakAt: c.breakAt, words: "w", length: total, resumes: true}
				h := newHarness(t, broken, c.next, c.next)
				text, err := h.run(t, true)
				require.Equal(t, c.want, text)
				if c.code == rwcode.None {
					require.NoError(t, err)
					require.Equal(t, []string{"upstream_truncated"}, h.retries)
					require.Equal(t, []string{"upstream_truncated", "none"}, h.done)
					return
				}
				require.Equal(t, c.code, rwfault.From(err).Code)
				require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
			})
		})
	}
}

// Guards against long prompts that are not charged, and against a charge for a
// prompt that no engine has processed.
func TestPromptIsCharged(t *testing.T) {
	var used, done []float64
	chunks := 2
	runner := &Runner{
		Now: time.Now,
		Acquire: func(context.Context, *rwrequest.Request) (*rwslot.Slot, error) {
			return &rwslot.Slot{
				Expires:    time.Now().Add(time.Minute),
				ReportCost: func(cost float64) { used = append(used, cost) },
				Done:       func(cost float64, _, _ time.Duration, _ rwcode.Code) { done = append(done, cost) },
			}, nil
		},
		Stream: func(_ context.Context, _ rwupstream.Upstream, _ *rwrequest.Request, _ int, emit func(*rwstream.Chunk) error) error {
			for i := range chunks {
				if err := emit(&rwstream.Chunk{Index: i}); err != nil {
					return err
				}
			}
			return nil
		},
	}
	q := &rwrequest.Request{Body: make([]byte, 320)}
	emit := func(*rwstream.Chunk) error { return nil }
	require.NoError(t, runner.RunInference(t.Context(), q, emit))
	chunks = 0
	require.NoError(t, runner.RunInference(t.Context(), q, emit))
	require.Equal(t, []float64{11, 12}, used)
	require.Equal(t, []float64{12, 0}, done)
}

// Guards against retries beyond maxSends, and against retries that the budget
// doesn't allow.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := engine{breakAt: 2, words: "w", length: total, resumes: false}
		h := newHarness(t, broken)
		text, err := h.run(t, true)
		require.Equal(t, rwcode.UpstreamTruncated, rwfault.From(err).Code)
		require.Equal(t, "w0 w1 ", text)
		require.Len(t, h.done, maxSends)

		h = newHarness(t, broken)
		h.allow = 0
		_, err = h.run(t, true)
		require.Equal(t, rwcode.UpstreamTruncated, rwfault.From(err).Code)
		require.Len(t, h.done, 1)
	})
}

// Guards against a retry of a non-idempotent request that was sent.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, engine{breakAt: 2, words: "w", length: total})
		_, err := h.run(t, false)
		require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
		require.Len(t, h.done, 1)
		require.Empty(t, h.retries)
	})
}

// Guards against a retry that runs a call to a plain service twice. After a fault
// that may come after the call ran, it must not be sent to the next service;
// after a refusal because the service is leaving, it must.
func TestServiceRunsOnce(t *testing.T) {
	hijack := func(w http.ResponseWriter) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
	for name, c := range map[string]struct {
		fault func(w http.ResponseWriter)
		runs  int
	}{
		"closed without a response": {hijack, 1},
		"truncated response": {func(w http.ResponseWriter) {
			w.Header().Set("Redwing-Request", "r-1")
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "part")
		}, 1},
		"response to another request": {func(w http.ResponseWriter) { w.Header().Set("Redwing-Request", "r-2") }, 1},
		"error without an echo":       {func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, 1},
		"leaving": {func(w http.ResponseWriter) {
			w.Header().Set("Redwing-State", "leaving")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var runs atomic.Int64
				first := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					c.fault(w)
				})
				second := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					w.Header().Set("Redwing-Request", "r-1")
				})
				h := newHarness(t, first, second)
				_, err := h.runner.RunCall(t.Context(), &rwrequest.Request{ID: "r-1", Path: "/new", IdempotencyKey: "k"})
				require.Equal(t, int64(c.runs), runs.Load())
				require.Equal(t, c.runs == 1, err != nil)
				require.True(t, err == nil || rwfault.From(err).Outcome == rwoutcome.Unknown)
			})
		})
	}
}

// outcomes runs a request whose attempts end with the given faults. It returns the
// final fault and the number of attempts.
func outcomes(ctx context.Context, t *testing.T, idempotent bool, faults ...error) (*rwfault.Fault, int) {
	n := 0
	runner := &Runner{
		Now:        time.Now,
		AllowRetry: func(*rwfault.Fault) bool { return true },
		Acquire: func(context.Context, *rwrequest.Request) (*rwslot.Slot, error) {
			return &rwslot.Slot{Expires: time.Now().Add(time.Minute), Done: func(float64, time.Duration, time.Duration, rwcode.Code) {}}, nil
		},
		Call: func(context.Context, rwupstream.Upstream, *rwrequest.Request) (*rwdispatch.Response, error) {
			err := faults[min(n, len(faults)-1)]
			n++
			return nil, err
		},
	}
	_, err := runner.RunCall(ctx, &rwrequest.Request{ID: "r-1", Idempotent: idempotent})
	require.Error(t, err)
	return rwfault.From(err), n
}

// Guards against the outcome NotRun for a request of which an earlier attempt may
// have run, and against retries of such a request if it is not idempotent.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	unknown := rwfault.New(rwcode.UpstreamTruncated, "").WithOutcome(rwoutcome.Unknown)
	notRun := rwfault.New(rwcode.UpstreamUnreachable, "")
	full := rwfault.New(rwcode.QueueFull, "")
	plain := errors.New("an error without a fault")
	for name, c := range map[string]struct {
		idempotent bool
		faults     []error
		outcome    rwoutcome.Outcome
		attempts   int
	}{
		"never reached":                   {false, []error{notRun}, rwoutcome.NotRun, maxSends},
		"sent, then never reached":        {true, []error{unknown, notRun}, rwoutcome.Unknown, maxSends},
		"sent, then refused by the queue": {true, []error{unknown, full}, rwoutcome.Unknown, 2},
		"refused by the queue":            {true, []error{full}, rwoutcome.NotRun, 1},
		"not idempotent, sent":            {false, []error{unknown}, rwoutcome.Unknown, 1},
		"not idempotent, second try sent": {false, []error{notRun, unknown, notRun}, rwoutcome.Unknown, 2},
		"error without a fault":           {true, []error{plain}, rwoutcome.Unknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := outcomes(t.Context(), t, c.idempotent, c.faults...)
			require.Equal(t, c.outcome.String(), f.Outcome.String())
			require.Equal(t, c.attempts, n)
		})
	}
}

// Guards against a fault other than the cause of the context's end, and against
// an attempt after that end.
func TestEndOfContext(t *testing.T) {
	unknown := rwfault.New(rwcode.UpstreamTruncated, "").WithOutcome(rwoutcome.Unknown)
	ctx, stop := context.WithCancelCause(t.Context())
	stop(rwfault.New(rwcode.DeadlineExceeded, "r-1"))
	f, n := outcomes(ctx, t, true, unknown)
	require.Equal(t, rwcode.DeadlineExceeded, f.Code)
	require.Equal(t, rwoutcome.NotRun, f.Outcome)
	require.Zero(t, n, "sent after the deadline")

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	f, _ = outcomes(cancelled, t, true, unknown)
	require.Equal(t, rwcode.CallerGone, f.Code)
}

// Guards against a request that is sent with an expired slot, which may belong to
// another request by then, and against an endless loop of expired slots.
func TestExpiredSlotIsReturnedUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{}
		slots := 0
		runner := &Runner{
			Now:        time.Now,
			AllowRetry: func(*rwfault.Fault) bool { return true },
			Acquire: func(context.Context, *rwrequest.Request) (*rwslot.Slot, error) {
				slots++
				s := h.slot(rwupstream.Upstream{}, time.Second)
				time.Sleep(2 * time.Second)
				return s, nil
			},
			Call: func(context.Context, rwupstream.Upstream, *rwrequest.Request) (*rwdispatch.Response, error) {
				t.Error("sent with an expired slot")
				return nil, nil
			},
		}
		_, err := runner.RunCall(t.Context(), &rwrequest.Request{})
		require.Equal(t, rwcode.GrantExpired, rwfault.From(err).Code)
		require.Equal(t, rwoutcome.NotRun, rwfault.From(err).Outcome)
		require.Equal(t, maxUnusedSlots, slots)
		require.Len(t, h.done, maxUnusedSlots)
	})
}

// Guards against a stream that is ended because the deadline for its first byte
// passed while it was being resumed, and against one that waits for a slot
// without a limit.
func TestResumeHasItsOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{}
		var deadlines []time.Duration
		start := time.Now()
		runner := &Runner{
			Now:        time.Now,
			AllowRetry: func(*rwfault.Fault) bool { return true },
			Acquire: func(ctx context.Context, q *rwrequest.Request) (*rwslot.Slot, error) {
				deadlines = append(deadlines, time.Until(q.Deadline))
				if len(deadlines) == 3 {
					<-ctx.Done()
					return nil, rwfault.New(rwcode.QueueFull, "")
				}
				return h.slot(rwupstream.Upstream{}, time.Minute), nil
			},
			Stream: func(_ context.Context, _ rwupstream.Upstream, _ *rwrequest.Request, offset int, emit func(*rwstream.Chunk) error) error {
				time.Sleep(time.Second)
				if err := emit(&rwstream.Chunk{Index: offset}); err != nil {
					return err
				}
				return rwfault.New(rwcode.UpstreamTruncated, "").WithOutcome(rwoutcome.Unknown)
			},
		}
		q := &rwrequest.Request{Idempotent: true, Deadline: start.Add(1500 * time.Millisecond)}
		err := runner.RunInference(t.Context(), q, func(*rwstream.Chunk) error { return nil })
		require.Equal(t, rwcode.DeadlineExceeded, rwfault.From(err).Code)
		require.Equal(t, rwoutcome.Unknown, rwfault.From(err).Outcome)
		require.Equal(t, []time.Duration{1500 * time.Millisecond, resumeTimeout, resumeTimeout}, deadlines)
		require.Equal(t, 2*time.Second+resumeTimeout, time.Since(start))
	})
}

// Guards against a caller who is told to wait as long as one upstream wants no requests,
// though others may serve its next one.
func TestRetryAfterOfUpstreamIsNotForCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		var noted []time.Duration
		acquire := h.runner.Acquire
		h.runner.Acquire = func(ctx context.Context, q *rwrequest.Request) (*rwslot.Slot, error) {
			s, err := acquire(ctx, q)
			s.RetryAfter = func(d time.Duration) { noted = append(noted, d) }
			return s, err
		}
		_, err := h.run(t, true)
		require.Zero(t, rwfault.From(err).RetryAfter)
		require.Equal(t, []time.Duration{30 * time.Second, 30 * time.Second, 30 * time.Second}, noted)
	})
}
