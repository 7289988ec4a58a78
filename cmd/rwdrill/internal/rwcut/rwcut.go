// Package rwcut measures the control traffic of a loaded fleet during network
// partitions.
package rwcut

import (
	"context"
	"time"

	"redwingworks.example/cmd/rwdrill/internal/rwscenario"
	"redwingworks.example/test/rwflow"
	"redwingworks.example/test/rwtestbed"
)

const (
	phaseDuration = 7 * time.Second
	concurrency   = 6
	seed          = 37
	tokens        = 30
)

// Result holds the measured values.
type Result struct {
	// ControlBytesPerSecond is the largest rate of control bytes of any router.
	ControlBytesPerSecond float64
	// Phases has the ControlBytesPerSecond of each phase.
	Phases map[string]float64
}

// Names are the names of the phases in their order: a zone is partitioned from the
// others in both directions, the partition heals, and then the zone can't send to
// one other zone.
var Names = []string{"both_ways", "rejoin", "one_way"}

// Run partitions one zone from the others in both directions, heals the partition,
// and then partitions it from another zone in one direction.
func Run(ctx context.Context, s *rwscenario.Scenario) (*Result, error) {
	limit, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Load(limit, seed, flows(s.Fleet), 3*phaseDuration, nil)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	result := &Result{Phases: map[string]float64{}}
	for i, startPhase := range []func(){
		func() { partitionBothWays(s.Fleet) },
		func() { s.Fleet.Heal() },
		func() { s.Fleet.Partition(rwtestbed.Zones[0], rwtestbed.Zones[1]) },
	} {
		startPhase()
		control, err := s.MaxControlRate(ctx, func() { rwscenario.Sleep(ctx, phaseDuration) })
		if err != nil {
			return nil, err
		}
		result.Phases[Names[i]] = control
		result.ControlBytesPerSecond = max(result.ControlBytesPerSecond, control)
	}
	s.Fleet.Heal()
	return result, nil
}

func partitionBothWays(fleet *rwtestbed.Testbed) {
	for _, other := range rwtestbed.Zones[1:] {
		fleet.Partition(rwtestbed.Zones[0], other)
		fleet.Partition(other, rwtestbed.Zones[0])
	}
}

func flows(fleet *rwtestbed.Testbed) []rwflow.Flow {
	var out []rwflow.Flow
	for i, c := range fleet.Accounts {
		out = append(out, rwflow.Flow{
			Account: c.Name, CallerKey: c.Key, Kind: rwtestbed.Kinds[i%len(rwtestbed.Kinds)],
			Pool: rwtestbed.ModelPool, Engine: true, Concurrency: concurrency, MinTokens: tokens, MaxTokens: tokens,
		})
	}
	return out
}
