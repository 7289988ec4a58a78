// Package rwshares measures a fleet in which every account has a backlog: the
// fairness gap between accounts and the utilisation of the engines.
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
	// maxRequestTokens is the largest cost of a request.
	maxRequestTokens = 60
	loadDuration     = 25 * time.Second
	directDuration   = 5 * time.Second
	// warmUp is not part of the measured utilisation, since the first requests
	// find free slots.
	warmUp = 2 * time.Second
	// endGap is the time at the end of the load that is not measured.
	endGap = 200 * time.Millisecond
	seed   = 11
	// reportInterval and reportDelay add up to I of the bound: the interval of
	// the owners' reports and their latency between zones.
	reportInterval = 250 * time.Millisecond
	reportDelay    = 2 * time.Millisecond
	// requestsPerShare is more than twice the number of slots of one share, which
	// is 40 slots divided by 22 shares, so that every account keeps a backlog.
	requestsPerShare = 8
	// backlogSteps is the number of different backlogs: they are 1 to
	// backlogSteps times requestsPerShare per share.
	backlogSteps = 6
)

// Result holds the measured values.
type Result struct {
	// Gap is the fairness gap in tokens per share, Bound its bound.
	Gap, Bound float64
	// Utilisation is the throughput relative to that of the engines under direct
	// load.
	Utilisation float64
	// ControlBytesPerSecond is the largest rate of control bytes of any router.
	ControlBytesPerSecond float64
}

// Run measures a fleet whose load balancer sends each account to one router.
func Run(ctx context.Context, s *rwscenario.Scenario) (*Result, error) {
	direct := rwdirectload.New(s.Fleet.Engines)
	defer direct.Close()
	rate, err := direct.Throughput(ctx, s.Fleet.Slots, directDuration)
	if err != nil {
		return nil, err
	}
	limit, cancel := context.WithTimeout(ctx, loadDuration)
	defer cancel()
	start := time.Now()
	r := &Result{}
	r.ControlBytesPerSecond, err = s.MaxControlRate(ctx, func() { s.Load(limit, seed, flows(s.Fleet), loadDuration, nil) })
	if err != nil {
		return nil, err
	}
	tally, err := rwservicelog.Read(ctx, s.Fleet.Engines)
	if err != nil {
		return nil, err
	}
	end := start.Add(loadDuration - endGap)
	r.Gap = tally.FairnessGap(sharesOf(s.Fleet), start, end)
	r.Bound = bound(s.Fleet)
	from := start.Add(warmUp)
	served := float64(tally.Tokens("", "", from, end)) / end.Sub(from).Seconds()
	r.Utilisation = served / rate
	return r, nil
}

// flows returns flows with different backlogs and request lengths. Every account
// keeps more requests waiting than it may run.
func flows(fleet *rwtestbed.Testbed) []rwflow.Flow {
	var out []rwflow.Flow
	for i, c := range fleet.Accounts {
		f := rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[i%len(rwtestbed.Kinds)],
			Pool: rwtestbed.ModelPool, Engine: true, Hints: i%3 == 0, Prompts: 4,
			Concurrency: requestsPerShare * c.Share * (1 + i%backlogSteps),
			MinTokens:   maxRequestTokens / 6, MaxTokens: maxRequestTokens / 2,
		}
		if i%2 == 0 {
			f.MinTokens, f.MaxTokens = maxRequestTokens*2/3, maxRequestTokens
		}
		out = append(out, f)
	}
	return out
}

func sharesOf(fleet *rwtestbed.Testbed) map[string]int {
	out := map[string]int{}
	for _, c := range fleet.Accounts {
		out[c.Name] = c.Share
	}
	return out
}

// bound returns G of section 3.2 of the design for accounts with unequal shares:
// the number of accounts is replaced by the sum of the shares, which is equal to
// it if all shares are one.
func bound(fleet *rwtestbed.Testbed) float64 {
	shares := 0
	for _, n := range sharesOf(fleet) {
		shares += n
	}
	slots := float64(fleet.Slots * len(fleet.Engines))
	rate := slots / fleet.Step.Seconds()
	interval := (reportInterval + reportDelay).Seconds()
	return 2*maxRequestTokens*(1+2*slots/float64(shares)) + 2*rate*interval
}
