// Package rwquiet measures a fleet with little or no load: the CPU time for
// control, the delay of configuration changes, and the latency that routers add.
package rwquiet

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"redwingworks.example/cmd/rwdrill/internal/rwdirectload"
	"redwingworks.example/cmd/rwdrill/internal/rwscenario"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/test/rwdirection"
	"redwingworks.example/test/rwfleet"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwlink"
	"redwingworks.example/test/rwreport"
	"redwingworks.example/test/rwtestaccount"
	"redwingworks.example/test/rwtestbed"
)

const (
	idleDuration        = 8 * time.Second
	changes             = 6
	changesPartitioned  = 3
	configTimeout       = 15 * time.Second
	configPollInterval  = 10 * time.Millisecond
	workers             = 8
	requestsPerWorker   = 50
	latencyDuration     = 4 * time.Second
	quantile            = 99
	partitionedZone     = 2
	partitionSettleTime = time.Second
	clientsCount        = 16
)

// Result holds the measured values, NaN for those that were not measured.
type Result struct {
	// ControlCPU is the largest CPU time per second, in cores, that a router
	// uses without any requests.
	ControlCPU float64
	// ConfigDelay is the longest time in seconds until a change was active at
	// all routers. A change that was not active within 15 s counts as 15 s.
	ConfigDelay float64
	// ConfigDelayPartitioned is the ConfigDelay while the routers of one zone
	// can't reach the platform.
	ConfigDelayPartitioned float64
	// AddedLatency is the 99th percentile of the time to the first token through
	// the routers minus that of direct calls, in milliseconds.
	AddedLatency float64
}

// Run measures a fleet. With partitioned, it also measures with one zone that can't
// reach the platform. If it fails, it also returns the values that were measured
// before.
func Run(ctx context.Context, s *rwscenario.Scenario, partitioned bool) (*Result, error) {
	q := &Result{ControlCPU: math.NaN(), ConfigDelay: math.NaN(), ConfigDelayPartitioned: math.NaN(), AddedLatency: math.NaN()}
	var err error
	if q.ControlCPU, err = measureCPU(ctx, s); err != nil {
		return q, err
	}
	if q.ConfigDelay, err = measureConfigDelay(ctx, s, "quiet", changes); err != nil {
		return q, err
	}
	if q.AddedLatency, err = measureAddedLatency(ctx, s); err != nil || !partitioned {
		return q, err
	}
	q.ConfigDelayPartitioned, err = measureConfigDelayPartitioned(ctx, s)
	return q, err
}

func measureCPU(ctx context.Context, s *rwscenario.Scenario) (float64, error) {
	before, err := cpuTimes(s)
	if err != nil {
		return math.NaN(), err
	}
	start := time.Now()
	rwscenario.Sleep(ctx, idleDuration)
	elapsed := time.Since(start)
	after, err := cpuTimes(s)
	if err != nil {
		return math.NaN(), err
	}
	most := 0.0
	for i := range before {
		most = max(most, (after[i]-before[i]).Seconds()/elapsed.Seconds())
	}
	return most, nil
}

func cpuTimes(s *rwscenario.Scenario) ([]time.Duration, error) {
	var out []time.Duration
	for _, p := range s.Fleet.Routers {
		t, err := p.CPU()
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

// measureConfigDelay publishes new accounts one after the other and returns the
// longest time in seconds until every router accepted the account's key.
func measureConfigDelay(ctx context.Context, s *rwscenario.Scenario, name string, count int) (float64, error) {
	most := 0.0
	for i := range count {
		c := rwtestaccount.Account{Name: fmt.Sprintf("%s-%d", name, i), Key: fmt.Sprintf("key-%s-%d", name, i), Share: 1}
		start := time.Now()
		if err := rwfleet.Publish(ctx, s.Fleet.Platform.Addr, rwtestbed.AccountRecord(c, 1)); err != nil {
			return math.NaN(), err
		}
		limit, cancel := context.WithTimeout(ctx, configTimeout)
		group, limit := errgroup.WithContext(limit)
		for _, p := range s.Fleet.Routers {
			group.Go(func() error { return waitUntilAccepted(limit, p, c.Key) })
		}
		err := group.Wait()
		cancel()
		if err != nil {
			return math.NaN(), err
		}
		most = max(most, time.Since(start).Seconds())
	}
	return most, nil
}

// waitUntilAccepted waits until a router accepts the key or the context ends.
func waitUntilAccepted(ctx context.Context, p *rwfleet.Proc, key string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+"/v1/call/"+rwtestbed.OrderPool+"/probe", strings.NewReader("{}"))
		if err != nil {
			return rwfault.Wrap(rwcode.Internal, err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Redwing-Kind", rwtestbed.Lookup)
		resp, err := http.DefaultClient.Do(req)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return rwfault.Wrap(rwcode.UpstreamUnreachable, err).WithDetail(p.Name)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			return nil
		}
		rwscenario.Sleep(ctx, configPollInterval)
	}
}

// measureConfigDelayPartitioned measures the delay while the routers of one zone
// can't reach the platform, but still reach the other routers.
func measureConfigDelayPartitioned(ctx context.Context, s *rwscenario.Scenario) (float64, error) {
	stalled := rwlink.Link{Up: rwdirection.Direction{Stall: true}, Down: rwdirection.Direction{Stall: true}}
	for _, p := range s.Fleet.Routers {
		if p.Zone == rwtestbed.Zones[partitionedZone] {
			s.Fleet.SetPlatformLink(p.Name, stalled)
			defer s.Fleet.SetPlatformLink(p.Name, rwlink.Link{})
		}
	}
	rwscenario.Sleep(ctx, partitionSettleTime)
	return measureConfigDelay(ctx, s, "cut", changesPartitioned)
}

func measureAddedLatency(ctx context.Context, s *rwscenario.Scenario) (float64, error) {
	direct := rwdirectload.New(s.Fleet.Engines)
	defer direct.Close()
	base, err := direct.TimeToFirstToken(ctx, workers, requestsPerWorker, quantile)
	if err != nil {
		return math.NaN(), err
	}
	var flows []rwflow.Flow
	for i := range workers {
		c := s.Fleet.Accounts[i*clientsCount/workers]
		flows = append(flows, rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[i%len(rwtestbed.Kinds)],
			Pool: rwtestbed.ModelPool, Engine: true, Concurrency: 1, MinTokens: 1, MaxTokens: 3,
		})
	}
	report := rwreport.New()
	s.Load(ctx, 1, flows, latencyDuration, report.Add)
	return (report.FirstTokenLatency(quantile) - base).Seconds() * 1000, nil
}
