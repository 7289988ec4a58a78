package rwsched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a flood that takes service from other kinds and accounts. The
// flood is of the least or the most urgent kind, from one account or from all,
// and at 10 times the capacity. Before it, the pool is half loaded.
func TestFloodLeavesOthersTheirService(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  int
		all   bool
		entry func(int) int
	}{
		{"least urgent, one account", 3, false, atAllEntries},
		{"least urgent, all accounts", 3, true, atAllEntries},
		{"most urgent, one account", 0, false, atAllEntries},
		{"most urgent, all accounts", 0, true, atAllEntries},
		{"most urgent, one account at one entry", 0, false, firstAtOneEntry},
		{"least urgent, all, one account at one entry", 3, true, firstAtOneEntry},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkFlood(t, c.kind, c.all, c.entry, 1)
		})
	}
}

const (
	floodCost  = 5
	floodStart = 45 * time.Second
	floodEnd   = 100 * time.Second
	// floodSettle is the time within which the requests that were running when
	// the flood began have ended.
	floodSettle = 5 * time.Second
)

func checkFlood(t *testing.T, kind int, all bool, entry func(int) int, seed uint64) {
	f := defaultConfig()
	f.accounts = accountLoads(16, unequalShares, entry, kindLoad{})
	arrival := f.capacity() / floodCost / f.totalShares()
	for i := range f.accounts {
		a := &f.accounts[i]
		a.kinds = nil
		for urgency := range 4 {
			a.kinds = append(a.kinds, kindLoad{urgency: urgency, minCost: floodCost, maxCost: floodCost, rate: a.share * arrival / 8})
		}
		// The flood is a fifth kind, of the same urgency as one that the account
		// uses.
		if all || i == 0 {
			flood := kindLoad{urgency: kind, minCost: floodCost, maxCost: floodCost, rate: 10 * arrival * f.totalShares(), from: floodStart}
			if all {
				flood.rate *= a.share / f.totalShares()
			}
			a.kinds = append(a.kinds, flood)
		}
	}
	p := newPool(f, seed)
	p.run(floodSettle)
	before := p.servedSoFar()
	p.run(floodStart)
	had := p.rates(before, floodStart-floodSettle)
	p.run(floodStart + floodSettle)
	before = p.servedSoFar()
	p.run(floodEnd)
	got := p.rates(before, floodEnd-floodStart-floodSettle)
	worst := 1e9
	for i, a := range p.accounts {
		for k := range 4 {
			if k == kind && (all || i == 0) {
				continue
			}
			name := fmt.Sprint(a.name, " kind-", k)
			want := min(had[name], f.dueRate(a, k, all))
			worst = min(worst, got[name]/want)
			require.GreaterOrEqual(t, got[name], 0.95*want, "%s: had %v, due %v", name, had[name], f.dueRate(a, k, all))
		}
	}
	sum := 0.0
	for _, rate := range got {
		sum += rate
	}
	require.GreaterOrEqual(t, sum, 0.97*f.capacity())
	t.Logf("least kept %.3f, returned grants %d", worst, p.returned)
}

// dueRate returns the rate that a kind of an account is entitled to while
// another kind floods: the account's share of the pool or, if the account
// floods itself, the kind's part of that share by weight.
func (f *poolConfig) dueRate(a *poolAccount, kind int, all bool) float64 {
	weights := []float64{8, 4, 2, 1}
	share := f.capacity() * a.share / f.totalShares()
	if !all && a != nil && a.name != "account-000" {
		return share
	}
	return share * weights[kind] / (8 + 4 + 2 + 1)
}

func (p *pool) servedSoFar() map[string]float64 {
	out := map[string]float64{}
	for k, v := range p.served {
		out[k] = v
	}
	return out
}

func (p *pool) rates(before map[string]float64, d time.Duration) map[string]float64 {
	out := map[string]float64{}
	for k, v := range p.served {
		out[k] = (v - before[k]) / d.Seconds()
	}
	return out
}
