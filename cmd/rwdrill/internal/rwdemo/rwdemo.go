// Package rwdemo sends requests through separate processes from end to end: the
// platform, two engines, a plain service and the routers of two availability
// zones.
package rwdemo

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwstream"
	"redwingworks.example/test/rwfleet"
)

const (
	timeout   = 25 * time.Second
	slots     = 4
	step      = 10 * time.Millisecond
	callerKey = "demo-caller-key"
)

var zones = []string{"za", "zb"}

// Demo is one demonstration.
type Demo struct {
	fleet    *rwfleet.Fleet
	platform *rwfleet.Proc
	routers  []*rwfleet.Proc
}

// New returns a demonstration that uses the programs in the folder bin.
func New(bin string) *Demo {
	return &Demo{fleet: rwfleet.New(bin, "")}
}

// Run starts the fleet, sends the requests and writes a table of the responses. It
// fails unless every response was complete.
func (d *Demo) Run(w io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	logs, err := os.MkdirTemp("", "redwingworks-demo")
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	defer func() { _ = os.RemoveAll(logs) }()
	d.fleet.LogDir = logs
	defer d.fleet.Close()
	if err := d.start(ctx); err != nil {
		return err
	}
	return d.requests(ctx, w)
}

func (d *Demo) start(ctx context.Context) error {
	var err error
	if d.platform, err = d.fleet.StartPlatform(); err != nil {
		return err
	}
	if err := rwfleet.WaitReady(ctx, d.platform.Addr, "/v1/records"); err != nil {
		return err
	}
	records := []rwrecord.Record{
		rwfleet.Record("account", "plovdiv", 1, map[string]any{"share": 2, "keys": []string{hashKey(callerKey)}}),
		rwfleet.Record("kind", "draft", 1, map[string]any{"urgency": 1, "pool": "drafter", "idempotent": true}),
		rwfleet.Record("kind", "order", 2, map[string]any{"class": "now", "pool": "orders", "idempotent": false, "repeat": 60}),
	}
	upstreams, err := d.upstreams()
	if err != nil {
		return err
	}
	records = append(records, upstreams...)
	for _, z := range zones {
		p, err := rwfleet.NewRouter("router-"+z, z)
		if err != nil {
			return err
		}
		d.routers = append(d.routers, p)
		records = append(records, rwfleet.VMRecord(p, "live"))
	}
	if err := rwfleet.Publish(ctx, d.platform.Addr, records...); err != nil {
		return err
	}
	for _, p := range d.routers {
		if err := d.fleet.StartRouter(p, d.platform.Addr, "--drain", "100ms", "--hold", "1s"); err != nil {
			return err
		}
	}
	for _, p := range d.routers {
		if err := rwfleet.WaitReady(ctx, p.Addr, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) upstreams() ([]rwrecord.Record, error) {
	var records []rwrecord.Record
	for _, z := range zones {
		p, err := d.fleet.StartEngine("engine-"+z, slots, step)
		if err != nil {
			return nil, err
		}
		records = append(records, upstreamRecord(p, z, "drafter", "engine"))
	}
	p, err := d.fleet.StartService("orders-za")
	if err != nil {
		return nil, err
	}
	return append(records, upstreamRecord(p, "za", "orders", "service")), nil
}

func upstreamRecord(p *rwfleet.Proc, zone, pool, kind string) rwrecord.Record {
	return rwfleet.Record("upstream", p.Name, 1, map[string]any{
		"pool": pool, "zone": zone, "addr": p.Addr, "type": kind, "window": slots, "state": "live", "inc": 1,
	})
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (d *Demo) requests(ctx context.Context, w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "router\trequest\tanswer\tfirst byte\ttotal")
	complete := true
	for i := range 4 {
		p := d.routers[i%len(d.routers)]
		tokens := 10 * (i + 1)
		complete = d.runAndPrint(table, p, fmt.Sprintf("draft of %d tokens", tokens), func() (time.Duration, error) {
			return sendDraft(ctx, p.Addr, tokens)
		}) && complete
	}
	for i, p := range d.routers {
		complete = d.runAndPrint(table, p, "order", func() (time.Duration, error) {
			return sendOrder(ctx, p.Addr, fmt.Sprintf("demo-order-%d", i))
		}) && complete
	}
	if err := table.Flush(); err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	if !complete {
		return rwfault.New(rwcode.UpstreamTruncated, "a response was incomplete")
	}
	return nil
}

func (d *Demo) runAndPrint(w io.Writer, p *rwfleet.Proc, what string, send func() (time.Duration, error)) bool {
	start := time.Now()
	first, err := send()
	answer := "whole"
	if err != nil {
		answer = err.Error()
	}
	_, _ = fmt.Fprintf(w, "%s (%s)\t%s\t%s\t%s\t%s\n", p.Name, p.Zone, what, answer,
		first.Round(100*time.Microsecond), time.Since(start).Round(100*time.Microsecond))
	return err == nil
}

func sendDraft(ctx context.Context, addr string, tokens int) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":"drafter","stream":true,"messages":[{"role":"user","content":"psalter page #%d"}]}`, tokens)
	start := time.Now()
	resp, err := post(ctx, addr, "/v1/chat/completions", "draft", "", body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	check := rwstream.New(resp.Header.Get("Redwing-Request"), 0)
	var first time.Duration
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if first == 0 {
			first = time.Since(start)
		}
		if _, err := check.Decode([]byte(data)); err != nil {
			return first, err
		}
	}
	if err := check.Close(); err != nil {
		return first, err
	}
	if check.Offset() != tokens {
		return first, rwfault.New(rwcode.UpstreamTruncated, fmt.Sprintf("%d of %d tokens", check.Offset(), tokens))
	}
	return first, nil
}

func sendOrder(ctx context.Context, addr, key string) (time.Duration, error) {
	start := time.Now()
	for {
		resp, err := post(ctx, addr, "/v1/call/orders/new", "order", key, `{"item":"wedding gospel"}`)
		if err != nil {
			return 0, err
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, rwfault.Wrap(rwcode.UpstreamTruncated, err)
		}
		if resp.StatusCode == http.StatusOK {
			if !strings.Contains(string(text), key) {
				return 0, rwfault.New(rwcode.UpstreamMismatch, key)
			}
			return time.Since(start), nil
		}
		if ctx.Err() != nil || !strings.Contains(string(text), "key_held") {
			return 0, rwfault.New(rwcode.UpstreamRefused, string(text))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func post(ctx context.Context, addr, path, kind, key, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, rwfault.Wrap(rwcode.Internal, err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Redwing-Kind", kind)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, rwfault.Wrap(rwcode.UpstreamUnreachable, err)
	}
	return resp, nil
}
