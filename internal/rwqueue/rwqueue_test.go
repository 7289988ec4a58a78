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

// Guards against a grant that runs a request other than the one with the
// earliest deadline, or the earliest arrival among equal deadlines, and against
// a grant that is returned unused while the account has requests of another
// kind for the same upstream.
func TestTakeOrder(t *testing.T) {
	q := rwqueue.New()
	second, first, third := request("a", "x", 1, 1), request("a", "x", 1, 2), request("a", "x", 1, 3)
	first.Deadline = start.Add(time.Minute)
	other := request("a", "y", 3, 0)
	for _, r := range []*rwrequest.Request{second, third, first, other} {
		_, err := q.Push(start, r)
		require.NoError(t, err)
	}
	for _, want := range []*rwrequest.Request{first, second, third, other} {
		require.Same(t, want, q.Take(start, "a", "x", []string{"m"}, nil))
	}
	require.Nil(t, q.Take(start, "a", "x", []string{"m"}, nil))
	require.Zero(t, q.Count())
	require.Zero(t, q.Bytes())
}

// Guards against a grant for one pool that runs a request for another.
func TestTakeOnlyFromThePools(t *testing.T) {
	q := rwqueue.New()
	_, err := q.Push(start, request("a", "x", 1, 1))
	require.NoError(t, err)
	require.Nil(t, q.Take(start, "a", "y", []string{"n"}, nil))
}

// Guards against one kind that fills its account's part of the queue and
// thereby excludes the account's other kinds, whatever its urgency.
func TestFullQueueEvictsLargestKind(t *testing.T) {
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

// Guards against accounts that fill the queue and thereby exclude others.
func TestFullQueueEvictsLargestAccount(t *testing.T) {
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

// Guards against requests that are queued although their deadline can't be met,
// and against a refusal without the estimated wait as its retry delay.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	q := rwqueue.New()
	now := start
	for n := range 200 {
		_, err := q.Push(now, request("a", "x", 1, n))
		require.NoError(t, err)
	}
	for range 50 { // the drain rate is 10 requests per second
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
// that bypasses an earlier deadline.
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
