package rwbubble_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwingworks.example/internal/rwqueue"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/test/rwbubble"
)

const (
	capacity    = engines * slots / 0.02 // tokens per second
	baseLoad    = 0.6                    // fraction of the capacity that the base load takes
	floodFactor = 10                     // flood arrivals as a multiple of the capacity
	minKept     = 0.95
)

// sendOpenLoop sends requests of an account and kind as a Poisson process with
// the given rate in tokens per second.
func sendOpenLoop(ctx context.Context, f *rwbubble.Fleet, seed uint64, flow rwqueue.FlowKey, urgency int, at []string, rate float64) {
	r := rand.New(rand.NewPCG(seed, 7))
	mean := time.Duration(meanTokens / rate * float64(time.Second))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(mean)))
		q := &rwrequest.Request{
			ID: fmt.Sprintf("%s-%s-%d-%d", flow.Account, flow.Kind, seed, i), Account: flow.Account, Kind: flow.Kind,
			Pool: "m", Idempotent: true, Urgency: urgency, Deadline: time.Now().Add(20 * time.Second),
		}
		tokens, router := randomTokens(r), at[r.IntN(len(at))]
		go func() {
			limited, cancel := context.WithDeadline(ctx, q.Deadline)
			defer cancel()
			_ = f.Request(limited, router, q, tokens)
		}()
	}
}

var urgencies = map[string]int{"now": 0, "soon": 1, "batch": 3}

// startBaseLoad starts the same load of each kind for each account.
func startBaseLoad(ctx context.Context, f *rwbubble.Fleet, at []string, kinds []string) {
	rate := capacity * baseLoad / 16 / float64(len(kinds))
	for i := range 16 {
		for j, k := range kinds {
			go sendOpenLoop(ctx, f, uint64(100+i*10+j), rwqueue.FlowKey{Account: fmt.Sprintf("account-%02d", i), Kind: k}, urgencies[k], at, rate)
		}
	}
}

// Guards against floods that starve other accounts and kinds. The floods are of
// the least and of the most urgent kind, from one account and from all, at 10
// times the capacity.
func TestFloods(t *testing.T) {
	for _, c := range []struct {
		name, flood string
		others      []string
		accounts    int
	}{
		{"least urgent from one", "batch", []string{"now", "soon"}, 1},
		{"most urgent from one", "now", []string{"soon", "batch"}, 1},
		{"least urgent from all", "batch", []string{"now", "soon"}, 16},
		{"most urgent from all", "now", []string{"soon"}, 16},
	} {
		t.Run(c.name, func(t *testing.T) { checkFlood(t, c.flood, c.others, c.accounts) })
	}
}

// checkFlood runs the same base load with and without a flood and compares the
// service that it got in the same 30 s.
func checkFlood(t *testing.T, kind string, others []string, accounts int) {
	had, bytesBase := runFlood(t, kind, others, 0)
	kept, bytesFlood := runFlood(t, kind, others, accounts)
	hadOthers, keptOthers := 0.0, 0.0
	for flow, v := range had {
		hadOthers += min(v, dueTokens(flow, kind, others, accounts))
		keptOthers += min(kept[flow], v, dueTokens(flow, kind, others, accounts))
	}
	t.Logf("kept %.3f, busiest router %.0f B/s without and %.0f B/s with the flood", keptOthers/hadOthers, bytesBase, bytesFlood)
	require.GreaterOrEqual(t, keptOthers/hadOthers, minKept)
	require.LessOrEqual(t, bytesFlood, 5000.0)
}

func runFlood(t *testing.T, kind string, others []string, accounts int) (kept map[rwqueue.FlowKey]float64, bytes float64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f, live := newFleet(ctx, 5, nil)
		all := names(live)
		startBaseLoad(ctx, f, all, others)
		time.Sleep(10 * time.Second)
		for i := range accounts {
			flow := rwqueue.FlowKey{Account: fmt.Sprintf("account-%02d", i), Kind: kind}
			go sendOpenLoop(ctx, f, uint64(1000+i), flow, urgencies[kind], all, capacity*floodFactor/float64(accounts))
		}
		time.Sleep(10 * time.Second)
		kept = servedDuring(f, 30*time.Second)
		bytes = maxSentRate(f, 10*time.Second)
		cancel()
		time.Sleep(time.Minute)
	})
	return kept, bytes
}

// dueTokens returns the tokens that an account and kind are entitled to in 30 s:
// the account's equal share of the capacity or, if the account floods itself, the
// kind's part of that share by weight.
func dueTokens(flow rwqueue.FlowKey, flood string, others []string, accounts int) float64 {
	share := capacity * 30 / 16
	if accounts == 1 && flow.Account != "account-00" {
		return share
	}
	weights := map[string]float64{"now": 8, "soon": 4, "batch": 1}
	sum := weights[flood]
	for _, k := range others {
		sum += weights[k]
	}
	return share * weights[flow.Kind] / sum
}

func servedDuring(f *rwbubble.Fleet, d time.Duration) map[rwqueue.FlowKey]float64 {
	before := f.ServedByKind()
	time.Sleep(d)
	out := map[rwqueue.FlowKey]float64{}
	for flow, v := range f.ServedByKind() {
		out[flow] = v - before[flow]
	}
	return out
}

// maxSentRate returns the bytes per second that the busiest router sends.
func maxSentRate(f *rwbubble.Fleet, d time.Duration) float64 {
	before, _ := f.Traffic()
	time.Sleep(d)
	after, _ := f.Traffic()
	worst := 0.0
	for n, v := range after {
		worst = max(worst, float64(v-before[n])/d.Seconds())
	}
	return worst
}
