package rwfleetpolicy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwentry"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwfleetpolicy"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwowner"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstore"
	"redwingworks.example/internal/rwstream"
)

const (
	unwantingTime = 3 * time.Second
	// returnTime bounds how long after that an upstream stays unused: the longest
	// delay of rwbackoff, and a tick.
	returnTime = 3300 * time.Millisecond
)

// wary is an upstream that refuses requests with Retry-After while on is set.
type wary struct {
	on   atomic.Bool
	runs atomic.Int64
}

func (u *wary) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	u.runs.Add(1)
	id := r.Header.Get("Redwing-Request")
	w.Header().Set("Redwing-Request", id)
	if u.on.Load() {
		w.Header().Set("Retry-After", fmt.Sprint(unwantingTime.Seconds()))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/v1/chat/completions" {
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"index\":0,\"text\":\"w\",\"finish\":\"stop\"}\n\ndata: [DONE]\n\n", id)
	}
}

// router is a router with a cell of its own.
type router struct {
	engine    bool
	runner    *rwentry.Runner
	upstreams []*wary
	store     *rwstore.Store
	snapshot  atomic.Pointer[rwsnapshot.Snapshot]
	update    func()
	sent      int
}

func (r *router) record(t *testing.T, i int, addr string, rev, inc int64) {
	kind := map[bool]string{true: "engine", false: "service"}[r.engine]
	_, faults := r.store.Apply([]rwrecord.Record{{Kind: "upstream", Name: "u" + strconv.Itoa(i), Rev: rev, Schema: 1, Value: fmt.Appendf(nil,
		`{"pool":"p","zone":"za","addr":%q,"type":%q,"window":1,"state":"live","inc":%d}`, addr, kind, inc)}})
	require.Empty(t, faults)
	r.snapshot.Store(r.store.Snapshot())
}

func newRouter(t *testing.T, engine bool, count int) (r *router, addrs []string) {
	r = &router{engine: engine, store: rwstore.New()}
	_, faults := r.store.Apply([]rwrecord.Record{
		{Kind: "account", Name: "varna", Rev: 1, Schema: 1, Value: []byte(`{"share":1,"keys":[]}`)},
		{Kind: "kind", Name: "lookup", Rev: 2, Schema: 1, Value: []byte(`{"urgency":1,"pool":"p","idempotent":true}`)},
	})
	require.Empty(t, faults)
	var network rwmemnetwork.Network
	for i := range count {
		l, err := network.Listen("127.0.0.1:0")
		require.NoError(t, err)
		u := &wary{}
		s := httptest.Server{Listener: l, Config: &http.Server{Handler: u}}
		s.Start()
		t.Cleanup(s.Close)
		r.upstreams, addrs = append(r.upstreams, u), append(addrs, l.Addr().String())
		r.record(t, i, addrs[i], int64(3+i), 1)
	}
	self := rwidentity.Identity{Name: "self", Zone: "za", Region: "main", Inc: 1}
	policy, owner := rwfleetpolicy.New(self, 1), rwowner.New(self)
	policy.Now, policy.Snapshot = time.Now, r.snapshot.Load
	policy.Send = func(_ rwidentity.Identity, method string, m *rwslotmessage.Message) {
		if method == rwslotmessage.Sync {
			go owner.HandleSync(time.Now(), self, m)
			return
		}
		go owner.HandleWant(time.Now(), self, m)
	}
	owner.Send = func(_ rwidentity.Identity, method string, m *rwslotmessage.Message) {
		switch method {
		case rwslotmessage.Grant:
			go policy.HandleGrants(self, m)
		case rwslotmessage.Check:
			go policy.HandleCheck(self, m)
		case rwslotmessage.Owner:
			go policy.Resync(self, m.Cell)
		}
	}
	r.update = func() {
		cells := rwcell.Partition(r.snapshot.Load(), 8)
		policy.Update(cells, []rwidentity.Identity{self})
		owner.Update(time.Now(), r.snapshot.Load(), cells, []rwidentity.Identity{self})
	}
	r.update()
	dispatcher := rwdispatch.New()
	dispatcher.Dial = network.Dial
	r.runner = &rwentry.Runner{
		Acquire: policy.Acquire, Call: dispatcher.Call, Stream: dispatcher.Stream, Now: time.Now,
		AllowRetry: func(*rwfault.Fault) bool { return true },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { _ = policy.Run(ctx) })
	parts.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			owner.Tick(time.Now())
		}
	})
	t.Cleanup(func() {
		cancel()
		parts.Wait()
	})
	// A new owner makes no grants until it knows the running ones.
	time.Sleep(time.Second)
	return r, addrs
}

// send runs a request that is given up after a time. It returns the status, which is
// that of an upstream or 0 for a fault.
func (r *router) send(t *testing.T, idempotent bool, limit time.Duration) int {
	r.sent++
	ctx, cancel := context.WithTimeoutCause(t.Context(), limit, io.ErrNoProgress)
	defer cancel()
	q := &rwrequest.Request{
		ID: "r-" + strconv.Itoa(r.sent), Account: "varna", Kind: "lookup", Pool: "p", Engine: r.engine, Idempotent: idempotent,
		Path: "/x", Body: []byte("{}"), Arrived: time.Now(),
	}
	if r.engine {
		if r.runner.RunInference(ctx, q, func(*rwstream.Chunk) error { return nil }) != nil {
			return 0
		}
		return http.StatusOK
	}
	resp, err := r.runner.RunCall(ctx, q)
	if err != nil {
		return 0
	}
	return resp.Status
}

func forEngineAndService(t *testing.T, test func(t *testing.T, engine bool)) {
	for name, engine := range map[string]bool{"engine": true, "service": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, engine) })
		})
	}
}

// Guards against requests, first attempts and retries, that an upstream gets before the
// end of the time for which it wants none, and against one that gets none later.
func TestUpstreamThatWantsNoRequestsGetsNone(t *testing.T) {
	forEngineAndService(t, func(t *testing.T, engine bool) {
		for _, idempotent := range []bool{false, true} {
			r, _ := newRouter(t, engine, 1)
			u := r.upstreams[0]
			u.on.Store(true)
			begin := time.Now()
			for time.Since(begin) < unwantingTime-150*time.Millisecond {
				require.NotEqual(t, http.StatusOK, r.send(t, idempotent, 100*time.Millisecond))
			}
			require.EqualValues(t, 1, u.runs.Load(), "idempotent: %v", idempotent)
			u.on.Store(false)
			require.Equal(t, http.StatusOK, r.send(t, idempotent, time.Until(begin.Add(unwantingTime+returnTime))))
			require.Equal(t, http.StatusOK, r.send(t, idempotent, 100*time.Millisecond))
		}
	})
}

// Guards against a request that is lost, though it may be sent again and another
// upstream wants it, and against one that waits for the upstream that wants none.
func TestOthersServeForUpstreamThatWantsNoRequests(t *testing.T) {
	forEngineAndService(t, func(t *testing.T, engine bool) {
		r, _ := newRouter(t, engine, 2)
		r.upstreams[0].on.Store(true)
		failed := 0
		for range 25 {
			if r.send(t, true, 90*time.Millisecond) != http.StatusOK {
				failed++
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, r.upstreams[0].runs.Load(), int64(1))
		if engine {
			require.Zero(t, failed)
		} else {
			require.LessOrEqual(t, failed, 1, "the caller gets the response of the service")
		}
	})
}

// Guards against a new incarnation that gets no requests because the one before wanted
// none.
func TestNewIncarnationOfUpstreamThatWantedNoRequests(t *testing.T) {
	forEngineAndService(t, func(t *testing.T, engine bool) {
		r, addrs := newRouter(t, engine, 1)
		r.upstreams[0].on.Store(true)
		require.NotEqual(t, http.StatusOK, r.send(t, false, time.Second))
		r.upstreams[0].on.Store(false)
		r.record(t, 0, addrs[0], 10, 2)
		r.update()
		require.Equal(t, http.StatusOK, r.send(t, false, unwantingTime/2))
	})
}
