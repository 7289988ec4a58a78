package rwdispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwmemnetwork"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwupstream"
)

// upstream starts a server on a network in memory and returns it with a
// dispatcher that is connected to this network.
func upstream(t *testing.T, fence bool) (*rwdispatch.Dispatcher, rwupstream.Upstream, *atomic.Int64, *atomic.Value) {
	t.Helper()
	var network rwmemnetwork.Network
	l, err := network.Listen("127.0.0.1:0")
	require.NoError(t, err)
	var calls atomic.Int64
	var header atomic.Value
	s := httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		header.Store(r.Header.Get("Redwing-Fence"))
		w.Header().Set("Redwing-Request", r.Header.Get("Redwing-Request"))
	})}}
	s.Start()
	t.Cleanup(s.Close)
	d := rwdispatch.New()
	d.Dial = network.Dial
	return d, rwupstream.Upstream{Name: "u", Addr: l.Addr().String(), ChecksFence: fence}, &calls, &header
}

func request(beforeSend func() error) *rwrequest.Request {
	return &rwrequest.Request{ID: "r1", Method: http.MethodPost, Path: "/x", IdempotencyKey: "k", FencingToken: 5, BeforeSend: beforeSend}
}

// Guards against a call that is sent although BeforeSend returned an error, and
// against an outcome other than not_run in this case.
func TestBeforeSendStopsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, u, calls, _ := upstream(t, false)
		_, err := d.Call(context.Background(), u, request(func() error {
			return rwfault.New(rwcode.Paused, "")
		}))
		require.True(t, rwfault.Is(err, rwcode.Paused), "%v", err)
		require.Equal(t, rwoutcome.NotRun, rwfault.From(err).Outcome)
		synctest.Wait()
		require.Zero(t, calls.Load())
	})
}

// Guards against BeforeSend not being called for each call, and against a
// fencing token that is sent to an upstream that doesn't check it, or not sent
// to one that does.
func TestBeforeSendAndFencingToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, fence := range []bool{true, false} {
			d, u, calls, header := upstream(t, fence)
			checks := 0
			for range 2 {
				_, err := d.Call(context.Background(), u, request(func() error {
					checks++
					return nil
				}))
				require.NoError(t, err)
			}
			require.Equal(t, 2, checks)
			require.Equal(t, int64(2), calls.Load())
			require.Equal(t, map[bool]string{true: "5", false: ""}[fence], header.Load())
		}
	})
}
