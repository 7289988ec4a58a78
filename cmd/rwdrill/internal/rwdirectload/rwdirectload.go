// Package rwdirectload sends requests to engines directly, without a router, for
// comparison.
package rwdirectload

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwservicelog"
)

const (
	account = "direct"
	// requestsPerSlot is the number of concurrent requests per slot. It keeps the
	// engines' queues from running empty.
	requestsPerSlot   = 2
	warmUp            = time.Second
	maxLatency        = time.Minute
	significantDigits = 3
)

// Driver sends requests to a set of engines.
type Driver struct {
	Engines []*rwfleet.Proc
	client  *http.Client
}

// New returns a driver for the engines.
func New(engines []*rwfleet.Proc) *Driver {
	return &Driver{
		Engines: engines,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// Close closes idle connections.
func (d *Driver) Close() { d.client.CloseIdleConnections() }

// Throughput returns the tokens per second that the engines generate together if
// each always has requests waiting.
func (d *Driver) Throughput(ctx context.Context, slots int, duration time.Duration) (float64, error) {
	limit, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	start := time.Now()
	var all sync.WaitGroup
	for _, p := range d.Engines {
		for n := range slots * requestsPerSlot {
			all.Go(func() {
				for i := n; limit.Err() == nil; i++ {
					_, _ = d.send(limit, p, 10+i*7%50)
				}
			})
		}
	}
	all.Wait()
	end := start.Add(duration)
	tally, err := rwservicelog.Read(ctx, d.Engines)
	if err != nil {
		return 0, err
	}
	from := start.Add(warmUp)
	return float64(tally.Tokens(account, "", from, end)) / end.Sub(from).Seconds(), nil
}

// TimeToFirstToken returns a percentile (0 to 100) of the time to the first token
// while the engines have free slots: each worker sends one request at a time.
func (d *Driver) TimeToFirstToken(ctx context.Context, workers, requests int, quantile float64) (time.Duration, error) {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed error
	for w := range workers {
		all.Go(func() {
			for i := range requests {
				first, err := d.send(ctx, d.Engines[(w+i)%len(d.Engines)], 1+i%3)
				mu.Lock()
				if err != nil {
					failed = err
				}
				_ = h.RecordValue(first.Microseconds())
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond, failed
}

// send sends one request and returns the time to its first token.
func (d *Driver) send(ctx context.Context, p *rwfleet.Proc, tokens int) (time.Duration, error) {
	body := fmt.Sprintf(`{"messages":[{"content":"direct"},{"content":"#%d"}]}`, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, rwfault.Wrap(rwcode.Internal, err)
	}
	req.Header.Set("Redwing-Request", "direct")
	req.Header.Set("Redwing-Account", account)
	start := time.Now()
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, rwfault.Wrap(rwcode.UpstreamUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		return 0, rwfault.Wrap(rwcode.UpstreamTruncated, err)
	}
	first := time.Since(start)
	if _, err := io.Copy(io.Discard, r); err != nil {
		return first, rwfault.Wrap(rwcode.UpstreamTruncated, err)
	}
	return first, nil
}
