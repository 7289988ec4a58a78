// Package rwshares measures a fleet whose accounts are all backlogged: the gap
// between their service and the use of the engines.
package rwshares

import (
	"context"
	"time"

	"redwingworks.example/cmd/rwdrill/internal/rwdirectload"
	"redwingworks.example/cmd/rwdrill/internal/rwscenario"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwservicelog"
	"redwingworks.example/test/rwtestbed"
)

const (
	// maxTokens is the largest cost of a request.
	maxTokens  = 60
	loadTime   = 25 * time.Second
	directTime = 5 * time.Second
	// warmUp is left out of the utilisation, since the first requests find
	// free slots.
	warmUp = 2 * time.Second
	// endGap keeps the end of the load out of the measurement.
	endGap = 200 * time.Millisecond
	seed   = 11
	// reportInterval and reportDelay are I of the bound: the owners' reports
	// and their latency between zones.
	reportInterval = 250 * time.Millisecond
	reportDelay    = 2 * time.Millisecond
	// waitingPerShare is more than twice the fair slots of a share, 40 slots
	// by 22 shares, so that every account stays backlogged.
	waitingPerShare = 8
	// steps spread the accounts' backlogs from one to this many times that.
	steps = 6
)

// Result holds the measured values.
type Result struct {
	// Gap is the fairness gap in tokens per share, Bound its bound.
	Gap, Bound float64
	// Utilisation is the part of the directly driven engines' tokens.
	Utilisation float64
	// ControlBytesPerSecond is the largest number of control bytes per router and second.
	ControlBytesPerSecond float64
}

// Run measures a fleet whose balancer sends each account to one router.
func Run(ctx context.Context, s *rwscenario.Scenario) (*Result, error) {
	direct := rwdirectload.New(s.Fleet.Engines)
	defer direct.Close()
	rate, err := direct.Throughput(ctx, s.Fleet.Slots, directTime)
	if err != nil {
		return nil, err
	}
	limit, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	start := time.Now()
	r := &Result{}
	r.ControlBytesPerSecond, err = s.MaxControlRate(ctx, func() { s.Load(limit, seed, flows(s.Fleet), loadTime, nil) })
	if err != nil {
		return nil, err
	}
	tally, err := rwservicelog.Read(ctx, s.Fleet.Engines)
	if err != nil {
		return nil, err
	}
	end := start.Add(loadTime - endGap)
	r.Gap = tally.FairnessGap(sharesOf(s.Fleet), start, end)
	r.Bound = bound(s.Fleet)
	from := start.Add(warmUp)
	served := float64(tally.Tokens("", "", from, end)) / end.Sub(from).Seconds()
	r.Utilisation = served / rate
	return r, nil
}

// flows gives the accounts unequal backlogs and lengths. Every account keeps
// more requests waiting than it may run.
func flows(fleet *rwtestbed.Testbed) []rwflow.Flow {
	var out []rwflow.Flow
	for i, c := range fleet.Clients {
		f := rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[i%len(rwtestbed.Kinds)],
			Pool: rwtestbed.ModelPool, Engine: true, Hints: i%3 == 0, Prompts: 4,
			Concurrency: waitingPerShare * c.Share * (1 + i%steps),
			MinTokens:   maxTokens / 6, MaxTokens: maxTokens / 2,
		}
		if i%2 == 0 {
			f.MinTokens, f.MaxTokens = maxTokens*2/3, maxTokens
		}
		out = append(out, f)
	}
	return out
}

func sharesOf(fleet *rwtestbed.Testbed) map[string]int {
	out := map[string]int{}
	for _, c := range fleet.Clients {
		out[c.Name] = c.Share
	}
	return out
}

// bound is G of section 3.2 of the design for accounts with unequal shares:
// the sum of the shares takes the place of the number of accounts, which it
// equals when all shares are one.
func bound(fleet *rwtestbed.Testbed) float64 {
	shares := 0
	for _, n := range sharesOf(fleet) {
		shares += n
	}
	slots := float64(fleet.Slots * len(fleet.Engines))
	rate := slots / fleet.Step.Seconds()
	interval := (reportInterval + reportDelay).Seconds()
	return 2*maxTokens*(1+2*slots/float64(shares)) + 2*rate*interval
}
