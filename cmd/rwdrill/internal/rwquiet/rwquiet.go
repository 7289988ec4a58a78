// Package rwquiet measures a fleet that has little to do: the cost of control
// alone, the delay of configuration changes, and the latency that routers add.
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
	idleTime     = 8 * time.Second
	changes      = 6
	cutChanges   = 3
	configLimit  = 15 * time.Second
	configPoll   = 10 * time.Millisecond
	workers      = 8
	requests     = 50
	latencyTime  = 4 * time.Second
	quantile     = 99
	cutZone      = 2
	cutSettle    = time.Second
	clientsCount = 16
)

// Result holds the measured values, NaN for those that were not measured.
type Result struct {
	// ControlCPU is the largest part of a core that a router uses for control alone.
	ControlCPU float64
	// ConfigDelay is the longest time in seconds until a change was in force at all
	// routers. A change that was not in force within 15 s counts as that.
	ConfigDelay float64
	// ConfigDelayPartitioned is the same while one zone can't reach the platform.
	ConfigDelayPartitioned float64
	// AddedLatency is the 99th percentile of the time to the first token through the
	// routers, less that of direct calls, in milliseconds.
	AddedLatency float64
}

// Run measures a fleet without load. Cut also measures with a zone that is
// cut off from the platform. An error comes with what was measured before it.
func Run(ctx context.Context, s *rwscenario.Scenario, cut bool) (*Result, error) {
	q := &Result{ControlCPU: math.NaN(), ConfigDelay: math.NaN(), ConfigDelayPartitioned: math.NaN(), AddedLatency: math.NaN()}
	var err error
	if q.ControlCPU, err = cpu(ctx, s); err != nil {
		return q, err
	}
	if q.ConfigDelay, err = config(ctx, s, "quiet", changes); err != nil {
		return q, err
	}
	if q.AddedLatency, err = added(ctx, s); err != nil || !cut {
		return q, err
	}
	q.ConfigDelayPartitioned, err = configCut(ctx, s)
	return q, err
}

func cpu(ctx context.Context, s *rwscenario.Scenario) (float64, error) {
	before, err := times(s)
	if err != nil {
		return math.NaN(), err
	}
	start := time.Now()
	rwscenario.Sleep(ctx, idleTime)
	elapsed := time.Since(start)
	after, err := times(s)
	if err != nil {
		return math.NaN(), err
	}
	most := 0.0
	for i := range before {
		most = max(most, (after[i]-before[i]).Seconds()/elapsed.Seconds())
	}
	return most, nil
}

func times(s *rwscenario.Scenario) ([]time.Duration, error) {
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

// config publishes new accounts one after the other and returns the longest
// time in seconds until every router accepted the account's key.
func config(ctx context.Context, s *rwscenario.Scenario, name string, count int) (float64, error) {
	most := 0.0
	for i := range count {
		c := rwtestaccount.Account{Name: fmt.Sprintf("%s-%d", name, i), Key: fmt.Sprintf("key-%s-%d", name, i), Share: 1}
		start := time.Now()
		if err := rwfleet.Publish(ctx, s.Fleet.Platform.Addr, rwtestbed.AccountRecord(c, 1)); err != nil {
			return math.NaN(), err
		}
		limit, cancel := context.WithTimeout(ctx, configLimit)
		group, limit := errgroup.WithContext(limit)
		for _, p := range s.Fleet.Routers {
			group.Go(func() error { return accepted(limit, p, c.Key) })
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

// accepted waits until a router accepts the key or the time has passed.
func accepted(ctx context.Context, p *rwfleet.Proc, key string) error {
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
		rwscenario.Sleep(ctx, configPoll)
	}
}

// configCut measures changes while the routers of one zone get nothing from
// the platform, but still reach the other routers.
func configCut(ctx context.Context, s *rwscenario.Scenario) (float64, error) {
	stopped := rwlink.Link{Up: rwdirection.Direction{Stall: true}, Down: rwdirection.Direction{Stall: true}}
	for _, p := range s.Fleet.Routers {
		if p.Zone == rwtestbed.Zones[cutZone] {
			s.Fleet.SetPlatformLink(p.Name, stopped)
			defer s.Fleet.SetPlatformLink(p.Name, rwlink.Link{})
		}
	}
	rwscenario.Sleep(ctx, cutSettle)
	return config(ctx, s, "cut", cutChanges)
}

func added(ctx context.Context, s *rwscenario.Scenario) (float64, error) {
	direct := rwdirectload.New(s.Fleet.Engines)
	defer direct.Close()
	base, err := direct.TimeToFirstToken(ctx, workers, requests, quantile)
	if err != nil {
		return math.NaN(), err
	}
	var flows []rwflow.Flow
	for i := range workers {
		c := s.Fleet.Clients[i*clientsCount/workers]
		flows = append(flows, rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[i%len(rwtestbed.Kinds)],
			Pool: rwtestbed.ModelPool, Engine: true, Concurrency: 1, MinTokens: 1, MaxTokens: 3,
		})
	}
	report := rwreport.New()
	s.Load(ctx, 1, flows, latencyTime, report.Add)
	return (report.FirstTokenLatency(quantile) - base).Seconds() * 1000, nil
}
