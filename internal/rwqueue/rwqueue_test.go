package rwqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwqueue"
	"redwingworks.example/internal/rwrequest"
)

var start = time.Unix(1000, 0)

func request(account, kind string, urgency, n int) *rwrequest.Request {
	return &rwrequest.Request{
		ID: fmt.Sprintf("%s-%s-%06d", account, kind, n), Account: account, Kind: kind, Pool: "m",
		Urgency: urgency, Arrived: start.Add(time.Duration(n) * time.Millisecond),
	}
}

// Guards against a grant that runs anything but the earliest deadline, then
// the earliest arrival, and against a grant that is wasted while the account
// has other work for the same upstream.
func TestTakeOrder(t *testing.T) {
	q := rwqueue.New()
	late, early, third := request("a", "x", 1, 1), request("a", "x", 1, 2), request("a", "x", 1, 3)
	early.Deadline = start.Add(time.Minute)
	other := request("a", "y", 3, 0)
	for _, r := range []*rwrequest.Request{late, third, early, other} {
		_, err := q.Push(start, r)
		require.NoError(t, err)
	}
	for _, want := range []*rwrequest.Request{early, late, third, other} {
		require.Same(t, want, q.Take(start, "a", "x", []string{"m"}, nil))
	}
	require.Nil(t, q.Take(start, "a", "x", []string{"m"}, nil))
	require.Zero(t, q.Count())
	require.Zero(t, q.Bytes())
}

// Guards against a grant of one pool that runs a request of another.
func TestTakeOnlyFromThePools(t *testing.T) {
	q := rwqueue.New()
	_, err := q.Push(start, request("a", "x", 1, 1))
	require.NoError(t, err)
	require.Nil(t, q.Take(start, "a", "y", []string{"n"}, nil))
}

// Guards against a flood of any urgency that keeps the account's other kinds
// out of a full queue.
func TestFloodDisplacesItself(t *testing.T) {
	for _, flood := range []int{0, 3} {
		q := rwqueue.New()
		refused := 0
		for n := range rwqueue.MaxAccountCount + 100 {
			if _, err := q.Push(start, request("a", "flood", flood, n)); err != nil {
				require.True(t, rwfault.Is(err, rwcode.QueueFull), "%v", err)
				require.GreaterOrEqual(t, rwfault.From(err).RetryAfter, time.Second)
				refused++
			}
		}
		require.Equal(t, 100, refused)
		evicted, err := q.Push(start, request("a", "other", 1, 0))
		require.NoError(t, err)
		require.Len(t, evicted, 1)
		require.Equal(t, "flood", evicted[0].Kind)
		require.Equal(t, rwqueue.MaxAccountCount, q.Count())
	}
}

// Guards against accounts that fill the whole router and keep others out.
func TestLargestAccountMakesWay(t *testing.T) {
	q := rwqueue.New()
	const body = 1 << 20
	for n := range rwqueue.MaxBytes / body {
		r := request(fmt.Sprintf("a%d", n/7), "x", 1, n)
		r.Body = make([]byte, body)
		_, err := q.Push(start, r)
		require.NoError(t, err)
	}
	r := request("small", "x", 1, 0)
	r.Body = make([]byte, body)
	evicted, err := q.Push(start, r)
	require.NoError(t, err)
	require.Len(t, evicted, 1)
	require.LessOrEqual(t, q.Bytes(), rwqueue.MaxBytes)
}

// Guards against requests that wait although their deadline can't be met, and
// against a refusal without the time that the queue needs.
func TestHopelessDeadlineIsRefused(t *testing.T) {
	q := rwqueue.New()
	now := start
	for n := range 200 {
		_, err := q.Push(now, request("a", "x", 1, n))
		require.NoError(t, err)
	}
	for range 50 { // drains 10 requests a second
		now = now.Add(100 * time.Millisecond)
		require.NotNil(t, q.Take(now, "a", "x", []string{"m"}, nil))
	}
	r := request("a", "x", 1, 1000)
	r.Deadline = now.Add(time.Second)
	_, err := q.Push(now, r)
	require.True(t, rwfault.Is(err, rwcode.DeadlineUnreachable), "%v", err)
	require.InDelta(t, 15, rwfault.From(err).RetryAfter.Seconds(), 12)
	r.Deadline = now.Add(time.Minute)
	_, err = q.Push(now, r)
	require.NoError(t, err)
}

// Guards against a preference that starves the first request, and against one
// that passes over an earlier deadline.
func TestPreferenceIsBounded(t *testing.T) {
	q := rwqueue.New()
	first := request("a", "x", 1, 0)
	_, err := q.Push(start, first)
	require.NoError(t, err)
	for n := range 10 {
		r := request("a", "x", 1, n+1)
		r.PrefixHash = 7
		_, err := q.Push(start, r)
		require.NoError(t, err)
	}
	prefer := func(r *rwrequest.Request) bool { return r.PrefixHash == 7 }
	for range 4 {
		require.NotSame(t, first, q.Take(start, "a", "x", []string{"m"}, prefer))
	}
	require.Same(t, first, q.Take(start, "a", "x", []string{"m"}, prefer))
	urgent := request("a", "x", 1, 99)
	urgent.Deadline = start.Add(time.Minute)
	_, err = q.Push(start, urgent)
	require.NoError(t, err)
	require.Same(t, urgent, q.Take(start, "a", "x", []string{"m"}, prefer))
}
