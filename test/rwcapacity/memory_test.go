//go:build capacity

package rwcapacity_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwcall"
	"redwingworks.example/internal/rwcell"
	"redwingworks.example/internal/rwfleetpolicy"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwoutcome"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwrecord"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwresult"
	"redwingworks.example/internal/rwsched"
	"redwingworks.example/internal/rwslotmessage"
	"redwingworks.example/internal/rwsnapshot"
	"redwingworks.example/internal/rwstore"
	"redwingworks.example/test/rwfleet"
)

// heapBytes returns the live memory of this process including stacks.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// heapGrowth returns the bytes that a value takes.
func heapGrowth(build func() any) float64 {
	before := heapBytes()
	v := build()
	n := heapBytes() - before
	runtime.KeepAlive(v)
	return n
}

// memoryCosts are bytes per item.
type memoryCosts struct{ waiting, link, member, record, account, key float64 }

// TestMemory measures the memory of the main data structures.
func TestMemory(t *testing.T) { measureMemory(t) }

func measureMemory(t *testing.T) memoryCosts {
	tb := newTable("memory fits", fitColumns...)
	each := func(what string, values []float64, build func(n int) any) float64 {
		var y []float64
		for _, v := range values {
			y = append(y, heapGrowth(func() any { return build(int(v)) }))
		}
		return tb.addFit(what, values, y).Slope
	}
	var m memoryCosts
	m.waiting = each("waiting requests with 1 KB of body, in the queue", []float64{200, 400, 800, 1600}, waitingRequests)
	m.record = each("records in the store and its snapshot", []float64{500, 1000, 1500, 2000}, func(n int) any {
		s := rwstore.New()
		var items []rwrecord.Record
		for i := range n {
			items = append(items, accountRecord(i, int64(i+1)))
		}
		s.Apply(items)
		return s
	})
	m.account = each("accounts in one scheduler", []float64{500, 1000, 2000, 3100}, func(n int) any {
		s := rwsched.New("cell", 1)
		for i := range n {
			s.SetAccount(accountName(i), 1000)
		}
		return s
	})
	m.member = each("members", []float64{50, 100, 200, 380}, func(n int) any {
		v, list := members(n)
		return []any{v, list}
	})
	m.key = each("keys at a home with 200 bytes of response", []float64{1000, 2000, 4000, 8000}, heldKeys)
	peers := []float64{20, 40, 80, 120}
	alone := each("routers without links", peers, func(n int) any { return linkedRouters(t, n, false) })
	m.link = (each("routers with a link to and from one router", peers, func(n int) any { return linkedRouters(t, n, true) }) - alone) / 2
	tb.write(t)
	return m
}

func waitingRequests(n int) any {
	p := rwfleetpolicy.New(routerID(0), 1)
	p.Send = func(rwidentity.Identity, string, *rwslotmessage.Message) {}
	p.Snapshot = rwsnapshot.Empty
	p.Now = time.Now
	items := configuration(1)
	s := rwstore.New()
	s.Apply(items)
	p.Snapshot = s.Snapshot
	p.Update(rwcell.Partition(s.Snapshot(), cellSize), []rwidentity.Identity{routerID(0)})
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, n)
	for i := range n {
		r := &rwrequest.Request{
			ID: fmt.Sprint(i), Account: accountName(i % 300), Kind: "kind-00", Pool: "model-00", Body: make([]byte, 1024), Arrived: time.Now(),
		}
		go func() {
			_, err := p.Acquire(ctx, r)
			errs <- err
		}()
	}
	for count, _ := p.Counts(); count < n; count, _ = p.Counts() {
		time.Sleep(time.Millisecond)
		if len(errs) > 0 {
			panic(<-errs)
		}
	}
	return []any{p, cancel}
}

func heldKeys(n int) any {
	now := time.Unix(1_700_000_000, 0)
	m := newMachine(now)
	answerQueries(now, m, nodes-1, true)
	m.Tick(now)
	for i := range n {
		c := rwcall.Call{
			ID: fmt.Sprint(i), Key: hash(fmt.Sprint(i))[:32], Digest: hash("d")[:32], KeyRetention: 10 * time.Minute,
			Version: m.Version(), Ticket: true, KeyCreated: now,
		}
		m.Begin(now, c)
		m.Finish(now, c.Key, rwresult.Result{Outcome: rwoutcome.Ran, Status: 200, ContentType: "application/json", Body: bytes.Repeat([]byte("x"), 200)})
	}
	return m
}

// linkedRouters starts one router and n others. With connect it links the one to
// each other in both directions and sends enough messages to fill the compression
// windows of the links.
func linkedRouters(t *testing.T, n int, connect bool) any {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	start := func(i int) (*rwpeer.Peers, string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		p := rwpeer.New(routerID(i), fleetKey, nil, zerolog.Nop(), rwmetric.New())
		p.Handle("fill", func(context.Context, rwidentity.Identity, json.RawMessage) (any, error) {
			return strings.Repeat("b", 1500), nil
		})
		go func() { _ = p.Serve(ctx, l) }()
		return p, l.Addr().String()
	}
	hub, addr := start(0)
	all := []*rwpeer.Peers{hub}
	var out string
	for i := range n {
		p, to := start(i + 1)
		all = append(all, p)
		for i := 0; connect && i < 4; i++ {
			require.NoError(t, hub.Call(ctx, to, "fill", strings.Repeat("a", 1500), &out))
			require.NoError(t, p.Call(ctx, addr, "fill", strings.Repeat("a", 1500), &out))
		}
	}
	return all
}

// processCosts are the peak memory of a real router in MB without streams (idle)
// and with those of a node (full), the bytes per stream, and the CPU time in percent
// of a core.
type processCosts struct{ idle, full, stream, cpu float64 }

// TestProcess measures the memory and CPU time of a real router.
func TestProcess(t *testing.T) { measureProcess(t) }

func measureProcess(t *testing.T) processCosts {
	dir := t.TempDir()
	for _, p := range []string{"rwrouter", "rwplatform", "rwengine"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, p), "./cmd/"+p)
		build.Dir = "../.."
		out, err := build.CombinedOutput()
		require.NoError(t, err, string(out))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f := rwfleet.New(dir, t.TempDir())
	defer f.Close()
	platform, err := f.StartPlatform()
	require.NoError(t, err)
	engine, err := f.StartEngine("engine", streams+1, 60*time.Millisecond)
	require.NoError(t, err)
	require.NoError(t, rwfleet.WaitReady(ctx, platform.Addr, "/v1/records"))
	r, err := rwfleet.NewRouter("r0", "za")
	require.NoError(t, err)
	items := []rwrecord.Record{
		rwfleet.VMRecord(r, "live"),
		rwfleet.Record("kind", "k", 1, map[string]any{"urgency": 1, "pool": "m", "idempotent": true, "repeat": 600}),
		rwfleet.Record("upstream", "engine", 1, map[string]any{
			"pool": "m", "zone": "za", "addr": engine.Addr, "type": "engine", "window": streams + 1, "fence": false, "state": "live", "inc": 1,
		}),
	}
	for i := range accounts {
		items = append(items, accountRecord(i, 0))
	}
	require.NoError(t, rwfleet.Publish(ctx, platform.Addr, items...))
	require.NoError(t, f.StartRouter(r, platform.Addr, "--drain", "0s"))
	require.NoError(t, rwfleet.WaitReady(ctx, r.Addr, "/readyz"))
	time.Sleep(time.Second)
	peak := func() float64 {
		n, err := r.PeakMemory()
		require.NoError(t, err)
		return float64(n) / 1e6
	}
	x, y := []float64{0}, []float64{peak()}
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: streams + 1}}
	running := make(chan int, streams)
	for i := range streams {
		go stream(ctx, client, r.Addr, i, running)
		<-running
		if n := i + 1; n%64 == 0 || n == streams {
			time.Sleep(time.Second)
			x, y = append(x, float64(n)), append(y, peak())
		}
	}
	before, err := r.CPU()
	require.NoError(t, err)
	time.Sleep(4 * time.Second)
	after, err := r.CPU()
	require.NoError(t, err)
	tb := newTable("process", fitColumns...)
	fit := tb.addFit("peak resident MB of a router with 3,100 accounts, by streams", x, y)
	out := processCosts{idle: y[0], full: peak(), stream: fit.Slope * 1e6, cpu: 100 * (after - before).Seconds() / 4}
	tb.addRow("CPU time with "+fmt.Sprint(streams)+" streams at 60 ms a token, % of a core, data path included", "", out.cpu, "", "")
	tb.write(t)
	return out
}

// stream requests a long response and reads it until the context ends.
func stream(ctx context.Context, client *http.Client, addr string, i int, running chan int) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"prompt %d %s"}]}`, i, strings.Repeat("x", 1000))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+accountName(i))
	req.Header.Set("Redwing-Kind", "k")
	resp, err := client.Do(req)
	if err != nil {
		panic(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		panic(string(text))
	}
	running <- i
	_, _ = io.Copy(io.Discard, resp.Body)
}
