// Package rwmeasurement measures the fleet policy and the baseline in the same run
// and prints the figures.
package rwmeasurement

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"time"

	"redwingworks.example/cmd/rwdrill/internal/rwcut"
	"redwingworks.example/cmd/rwdrill/internal/rwfigure"
	"redwingworks.example/cmd/rwdrill/internal/rwflood"
	"redwingworks.example/cmd/rwdrill/internal/rwquiet"
	"redwingworks.example/cmd/rwdrill/internal/rwscenario"
	"redwingworks.example/cmd/rwdrill/internal/rwshares"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/test/rwverdict"
)

// Bounds of section 8 of the design.
const (
	maxGapOfBaseline = 0.1
	minUtilisation   = 0.97
	maxControlBytes  = 5000
	maxControlCPU    = 0.016
	minKeptService   = 0.95
	maxConfigDelay   = 4 * time.Second
	maxAddedLatency  = 50 * time.Millisecond
)

const (
	scenarioTimeout = 2 * time.Minute
	step            = 20 * time.Millisecond
	// quietStep is shorter, since the wait for an engine's next step would hide
	// the latency that the routers add.
	quietStep = 2 * time.Millisecond
)

// Measurement is one run of the measurements.
type Measurement struct {
	// Scenarios are the names of the scenarios to run; empty for all.
	Scenarios []string
	// Policies are the names of the policies to run; empty for both.
	Policies []string

	binDir         string
	logDir         string
	progress       io.Writer
	wrongResponses []string
}

// New returns a measurement that uses the programs in the folder binDir and writes
// lines about its progress.
func New(binDir string, progress io.Writer) *Measurement {
	return &Measurement{binDir: binDir, progress: progress}
}

// results are the results for one policy. Those that were not measured are nil.
type results struct {
	quiet  *rwquiet.Result
	shares *rwshares.Result
	flood  *rwflood.Result
	cut    *rwcut.Result
}

const (
	fleetPolicy    = "fleet"
	baselinePolicy = "local"
)

// Run measures and writes one line for each figure. It fails if any response was
// wrong. A missed bound is part of the result and not an error.
func (m *Measurement) Run(ctx context.Context, w io.Writer) error {
	logs, err := os.MkdirTemp("", "redwingworks-measure")
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	defer func() { _ = os.RemoveAll(logs) }()
	m.logDir = logs
	fleet, base := m.runPolicy(ctx, fleetPolicy), m.runPolicy(ctx, baselinePolicy)
	for _, f := range figures(fleet, base) {
		_, _ = fmt.Fprintln(w, f)
	}
	if len(m.wrongResponses) > 0 {
		return rwfault.New(rwcode.UpstreamMismatch, fmt.Sprintf("%d wrong responses, first: %s", len(m.wrongResponses), m.wrongResponses[0]))
	}
	return nil
}

func (m *Measurement) runPolicy(ctx context.Context, policy string) results {
	var r results
	m.runScenario(ctx, policy, "quiet", false, quietStep, func(ctx context.Context, s *rwscenario.Scenario) (err error) {
		r.quiet, err = rwquiet.Run(ctx, s, policy == fleetPolicy)
		return err
	})
	m.runScenario(ctx, policy, "shares", true, step, func(ctx context.Context, s *rwscenario.Scenario) (err error) {
		r.shares, err = rwshares.Run(ctx, s)
		return err
	})
	m.runScenario(ctx, policy, "flood", false, step, func(ctx context.Context, s *rwscenario.Scenario) (err error) {
		if r.flood, err = rwflood.Run(ctx, s); err == nil {
			_, _ = fmt.Fprintf(m.progress, "# %s flood: least service was kept by %s\n", policy, r.flood.Worst)
		}
		return err
	})
	if policy == baselinePolicy {
		// The routers of the baseline don't communicate, so a partition has no
		// effect on them.
		return r
	}
	m.runScenario(ctx, policy, "cut", false, step, func(ctx context.Context, s *rwscenario.Scenario) (err error) {
		r.cut, err = rwcut.Run(ctx, s)
		return err
	})
	return r
}

func (m *Measurement) runScenario(ctx context.Context, policy, name string, sticky bool, step time.Duration, run func(context.Context, *rwscenario.Scenario) error) {
	if !selected(m.Scenarios, name) || !selected(m.Policies, policy) || ctx.Err() != nil {
		return
	}
	limit, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	start := time.Now()
	err := m.runInFleet(limit, policy, name, sticky, step, run)
	if err != nil {
		_, _ = fmt.Fprintf(m.progress, "# %s %s failed: %v\n", policy, name, err)
	}
	_, _ = fmt.Fprintf(m.progress, "# %s %s took %s\n", policy, name, time.Since(start).Round(100*time.Millisecond))
}

func selected(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

func (m *Measurement) runInFleet(ctx context.Context, policy, name string, sticky bool, step time.Duration, run func(context.Context, *rwscenario.Scenario) error) error {
	s, err := rwscenario.Start(ctx, m.binDir, m.logDir, policy, sticky, step)
	if err != nil {
		return err
	}
	defer s.Close()
	err = run(ctx, s)
	for _, v := range []rwverdict.Verdict{rwverdict.Complete, rwverdict.Refused, rwverdict.Broken, rwverdict.Wrong} {
		_, _ = fmt.Fprintf(m.progress, "# %s %s: %d responses %s\n", policy, name, s.Report.Count(v), v)
	}
	_, _ = fmt.Fprintf(m.progress, "# %s %s: %d arrivals not sent\n", policy, name, s.Skipped.Load())
	_, _ = fmt.Fprintf(m.progress, "# %s %s: refused or broken: %v\n", policy, name, s.Report.Refusals())
	m.wrongResponses = append(m.wrongResponses, s.Report.WrongAnswers()...)
	return err
}

// value returns a value of a result, or NaN if it was not measured.
func value[T any](r *T, get func(*T) float64) float64 {
	if r == nil {
		return math.NaN()
	}
	return get(r)
}

func figures(fleet, base results) []rwfigure.Figure {
	out := shareFigures(fleet, base)
	out = append(out, controlFigures(fleet, base)...)
	out = append(out, floodFigures(fleet, base)...)
	return append(out, quietFigures(fleet, base)...)
}

func shareFigures(fleet, base results) []rwfigure.Figure {
	gap := func(r *rwshares.Result) float64 { return r.Gap }
	use := func(r *rwshares.Result) float64 { return r.Utilisation }
	bound := value(fleet.shares, func(r *rwshares.Result) float64 { return r.Bound })
	return []rwfigure.Figure{
		{Name: "fairness_gap", Value: value(fleet.shares, gap), Unit: "tokens/share", Bound: bound, Baseline: value(base.shares, gap)},
		{Name: "fairness_gap_of_baseline", Value: value(fleet.shares, gap) / value(base.shares, gap), Unit: "ratio", Bound: maxGapOfBaseline, Baseline: 1},
		{Name: "utilisation", Value: value(fleet.shares, use), Unit: "ratio", Bound: minUtilisation, AtLeast: true, Baseline: value(base.shares, use)},
	}
}

func controlFigures(fleet, base results) []rwfigure.Figure {
	normal := func(r *rwshares.Result) float64 { return r.ControlBytesPerSecond }
	flood := func(r *rwflood.Result) float64 { return r.ControlBytesPerSecond }
	cut := func(r *rwcut.Result) float64 { return r.ControlBytesPerSecond }
	figure := func(name string, value, base float64) rwfigure.Figure {
		return rwfigure.Figure{Name: name, Value: value, Unit: "B/s", Bound: maxControlBytes, Baseline: base}
	}
	phases := []rwfigure.Figure{
		figure("control_bytes_per_node_second_normal", value(fleet.shares, normal), value(base.shares, normal)),
		figure("control_bytes_per_node_second_flood", value(fleet.flood, flood), value(base.flood, flood)),
		figure("control_bytes_per_node_second_partition", value(fleet.cut, cut), value(base.cut, cut)),
	}
	all := figure("control_bytes_per_node_second", 0, 0)
	for _, f := range phases {
		// The maximum is NaN if any phase was not measured.
		all.Value = math.Max(all.Value, f.Value)
		if !math.IsNaN(f.Baseline) {
			all.Baseline = max(all.Baseline, f.Baseline)
		}
	}
	for _, name := range rwcut.Names {
		phase := func(r *rwcut.Result) float64 { return r.Phases[name] }
		phases = append(phases, figure("control_bytes_per_node_second_partition_"+name, value(fleet.cut, phase), math.NaN()))
	}
	cpu := func(r *rwquiet.Result) float64 { return r.ControlCPU }
	return append(append([]rwfigure.Figure{all}, phases...), rwfigure.Figure{
		Name: "control_cpu", Value: value(fleet.quiet, cpu), Unit: "cores", Bound: maxControlCPU, Baseline: value(base.quiet, cpu),
	})
}

func floodFigures(fleet, base results) []rwfigure.Figure {
	kept := func(r *rwflood.Result) float64 { return r.Kept }
	out := []rwfigure.Figure{{
		Name: "flood_kept_service", Value: value(fleet.flood, kept), Unit: "ratio", Bound: minKeptService, AtLeast: true, Baseline: value(base.flood, kept),
	}}
	for _, name := range rwflood.Names() {
		phase := func(r *rwflood.Result) float64 { return r.Phases[name] }
		out = append(out, rwfigure.Figure{
			Name: "flood_kept_service_" + name, Value: value(fleet.flood, phase), Unit: "ratio",
			Bound: minKeptService, AtLeast: true, Baseline: value(base.flood, phase),
		})
	}
	return out
}

func quietFigures(fleet, base results) []rwfigure.Figure {
	config := func(r *rwquiet.Result) float64 { return r.ConfigDelay }
	partitioned := func(r *rwquiet.Result) float64 { return r.ConfigDelayPartitioned }
	added := func(r *rwquiet.Result) float64 { return r.AddedLatency }
	return []rwfigure.Figure{
		{Name: "config_delay", Value: value(fleet.quiet, config), Unit: "s", Bound: maxConfigDelay.Seconds(), Baseline: value(base.quiet, config)},
		{Name: "config_delay_zone_without_platform", Value: value(fleet.quiet, partitioned), Unit: "s", Bound: maxConfigDelay.Seconds(), Baseline: math.NaN()},
		{Name: "added_latency_p99", Value: value(fleet.quiet, added), Unit: "ms", Bound: maxAddedLatency.Seconds() * 1000, Baseline: value(base.quiet, added)},
	}
}
