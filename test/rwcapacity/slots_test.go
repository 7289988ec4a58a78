//go:build capacity

package rwcapacity_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"redwingworks.example/internal/rwaccount"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwkind"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwupstream"
	"redwingworks.example/test/rwbubble"
)

const (
	// scale divides the 160 streams of a server and the 60 ms between tokens.
	// This keeps its rate of 8.5 requests per second and shortens the time
	// until a run is in the steady state.
	scale      = 4
	window     = 160 / scale
	step       = 60 * time.Millisecond / scale
	meanTokens = 314
	// tokenCap limits the exponentially distributed lengths of the responses.
	tokenCap     = 2000
	warmUp       = 8 * time.Second
	measuredTime = 12 * time.Second
	// manyUpstreams upstreams in three zones form manyCells cells.
	manyUpstreams = 20
	manyCells     = 6
)

// scenario holds the parameters of one run of rwbubble.
type scenario struct {
	nodes, accounts, backlogged, upstreams, pools int
	// depth is the number of requests that the backlogged accounts keep running
	// or waiting, as a multiple of the slots.
	depth int
	// load is the arrival rate as a fraction of the capacity. 0 keeps the
	// backlogged accounts backlogged all the time.
	load float64
}

var baseScenario = scenario{nodes: 12, accounts: 64, backlogged: 16, upstreams: 12, pools: 1, depth: 2}

// traffic is what the routers sent in a run, after compression by rwframe.
type traffic struct {
	// requests is the number of requests per second of the whole fleet.
	requests float64
	// entry (of entry routers to owners), grant, report and other are bytes per
	// second of the whole fleet by kind of message; messages is the number of
	// messages per second.
	entry, grant, report, other, messages float64
}

func (tr traffic) all() float64 { return tr.entry + tr.grant + tr.report + tr.other }

func (p scenario) run(t *testing.T) traffic {
	var out traffic
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f, names := p.start(ctx)
		done := p.arrivals(ctx, f, names)
		time.Sleep(warmUp)
		bytes, count, before := f.CompressedBytes(), messages(f), done()
		time.Sleep(measuredTime)
		seconds := measuredTime.Seconds()
		out.requests = float64(done()-before) / seconds
		out.messages = float64(messages(f)-count) / seconds
		for name, methods := range f.CompressedBytes() {
			for method, n := range methods {
				rate := float64(n-bytes[name][method]) / seconds
				switch method {
				case rwslotmessage.Want, rwslotmessage.Sync:
					out.entry += rate
				case rwslotmessage.Grant:
					out.grant += rate
				case rwslotmessage.Report:
					out.report += rate
				default:
					out.other += rate
				}
			}
		}
		cancel()
		time.Sleep(time.Second) // all goroutines of the bubble must end
	})
	return out
}

func messages(f *rwbubble.Fleet) int64 {
	_, count := f.Traffic()
	sum := int64(0)
	for _, n := range count {
		sum += n
	}
	return sum
}

func (p scenario) start(ctx context.Context) (*rwbubble.Fleet, []string) {
	var list []rwaccount.Account
	for i := range p.accounts {
		list = append(list, rwaccount.Account{Name: accountName(i), Weight: rwaccount.WeightUnit})
	}
	var kinds []rwkind.Kind
	for i := range p.pools {
		kinds = append(kinds, rwkind.Kind{Name: fmt.Sprint("kind-", i), Urgency: 1, Pool: fmt.Sprint("model-", i), Idempotent: true})
	}
	var ups []rwupstream.Upstream
	for i := range p.upstreams {
		ups = append(ups, rwupstream.Upstream{
			Name: fmt.Sprintf("engine-%03d", i), Pools: []string{fmt.Sprint("model-", i%p.pools)},
			Zone: zoneName(i / p.pools), Window: window, Engine: true,
		})
	}
	f := rwbubble.New(ctx, 1, list, kinds, ups, cellSize, step)
	f.Compress = true
	var live []rwidentity.Identity
	var names []string
	for i := range p.nodes {
		name := fmt.Sprintf("router-%03d", i)
		live, names = append(live, f.Start(name, zoneName(i))), append(names, name)
	}
	for _, name := range names {
		f.SetLive(name, live)
	}
	return f, names
}

func accountName(i int) string { return fmt.Sprintf("account-%04d", i) }

func zoneName(i int) string { return fmt.Sprint("zone-", i%(zones/regions)) }

// arrivals starts the requests and returns a function that returns the number of
// completed ones.
func (p scenario) arrivals(ctx context.Context, f *rwbubble.Fleet, names []string) func() int64 {
	counts := make(chan int64, 1)
	counts <- 0
	request := func(r *rand.Rand, account int, id string) {
		pool := r.IntN(p.pools)
		q := &rwrequest.Request{
			ID: id, Account: accountName(account), Kind: fmt.Sprint("kind-", pool), Pool: fmt.Sprint("model-", pool),
			Idempotent: true, Urgency: 1,
		}
		tokens := min(max(int(r.ExpFloat64()*meanTokens), 1), tokenCap)
		if f.Request(ctx, names[r.IntN(len(names))], q, tokens) != nil {
			time.Sleep(100 * time.Millisecond)
			return
		}
		counts <- <-counts + 1
	}
	capacity := float64(p.upstreams) * serverRate
	if p.load > 0 {
		go poisson(ctx, p.load*capacity, 1, func(r *rand.Rand, i int) {
			request(r, r.IntN(p.accounts), fmt.Sprint("open-", i))
		})
		return func() int64 { n := <-counts; counts <- n; return n }
	}
	// All accounts together, backlogged or not, send a tenth of the capacity.
	go poisson(ctx, capacity/10, 1, func(r *rand.Rand, i int) {
		request(r, r.IntN(p.accounts), fmt.Sprint("open-", i))
	})
	each := p.depth * p.upstreams * window / p.backlogged
	for a := range p.backlogged {
		for n := range each {
			r := rand.New(rand.NewPCG(uint64(a), uint64(n)))
			go func() {
				for i := 0; ctx.Err() == nil; i++ {
					request(r, a, fmt.Sprint("closed-", a, "-", n, "-", i))
				}
			}()
		}
	}
	return func() int64 { n := <-counts; counts <- n; return n }
}

// poisson calls do as a Poisson process with the given rate per second, each time
// in a new goroutine.
func poisson(ctx context.Context, rate float64, seed uint64, do func(r *rand.Rand, i int)) {
	r := rand.New(rand.NewPCG(seed, 9))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		own := rand.New(rand.NewPCG(seed, uint64(i)))
		go do(own, i)
	}
}

// sweep varies one parameter of a scenario.
type sweep struct {
	name   string
	values []int
	with   func(p scenario, v int) scenario
}

var sweeps = []sweep{
	{"nodes", []int{12, 24, 48, 96, nodes / regions}, func(p scenario, v int) scenario { p.nodes = v; return p }},
	{"depth at 48 nodes", []int{2, 3, 4, 6}, func(p scenario, v int) scenario { p.nodes, p.depth = 48, v; return p }},
	{"accounts", []int{32, 64, 128, 256}, func(p scenario, v int) scenario { p.accounts = v; return p }},
	{"backlogged accounts", []int{4, 8, 16, 32}, func(p scenario, v int) scenario { p.backlogged = v; return p }},
	{"upstreams", []int{4, 8, 12, manyUpstreams}, func(p scenario, v int) scenario { p.upstreams = v; return p }},
	{"models", []int{1, 2, 3, 4}, func(p scenario, v int) scenario { p.pools = v; return p }},
	{"load in % of capacity", []int{20, 40, 60, 80}, func(p scenario, v int) scenario { p.load = float64(v) / 100; return p }},
}

// slotCosts are the costs of the messages about slots, in bytes after
// compression.
type slotCosts struct {
	// entry and grant are bytes per request while all pools are backlogged,
	// report is bytes per second and cell, and messages is the number of
	// messages per request.
	entry, grant, report, messages float64
}

// TestSlots measures the messages about slots.
func TestSlots(t *testing.T) { measureSlots(t) }

func measureSlots(t *testing.T) slotCosts {
	var out slotCosts
	points := newTable("slot points", "varied", "value", "requests/s", "messages a request", "bytes a request: entry router", "owner", "reports", "all", "B/s a node")
	fits := newTable("slot fits", fitColumns...)
	for _, s := range sweeps {
		var x, entry, grant, report, rate, all, perNode []float64
		for _, v := range s.values {
			p := s.with(baseScenario, v)
			tr := p.run(t)
			r := tr.requests
			points.addRow(s.name, v, r, tr.messages/r, tr.entry/r, tr.grant/r, tr.report/r, tr.all()/r, tr.all()/float64(p.nodes))
			x, entry, grant = append(x, float64(v)), append(entry, tr.entry/r), append(grant, tr.grant/r)
			report, rate, all = append(report, tr.report), append(rate, r/float64(p.nodes)), append(all, tr.all()/r)
			perNode = append(perNode, tr.all()/float64(p.nodes))
			if s.name == "nodes" {
				// The run with the most nodes is the closest to the full
				// size, where few messages share a frame on a link.
				out.entry, out.grant, out.messages = tr.entry/r, tr.grant/r, tr.messages/r
			}
			if s.name == "upstreams" && v == manyUpstreams {
				// There are two cells in each zone, the most at the full size.
				out.report = tr.report / manyCells
			}
		}
		if s.name == "nodes" {
			// The cost grows with the fraction of links on which a backlog is
			// sent alone, which grows more and more slowly.
			s.name = "log2 of the nodes"
			for i := range x {
				x[i] = math.Log2(x[i])
			}
		}
		fits.addFit("entry router, bytes a request, by "+s.name, x, entry)
		fits.addFit("owner, bytes a request, by "+s.name, x, grant)
		fits.addFit("reports, B/s in all, by "+s.name, x, report)
		fits.addFit("all, bytes a request, by "+s.name, x, all)
		if s.name == "upstreams" || s.name == "load in % of capacity" {
			fits.addFit("all, B/s a node, by requests/s a node, varying "+s.name, rate, perNode)
		}
	}
	points.write(t)
	fits.write(t)
	return out
}
