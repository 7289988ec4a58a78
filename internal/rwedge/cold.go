package rwedge

import (
	"slices"
	"time"

	"redwingworks.example/internal/rwcoldguard"
	"redwingworks.example/internal/rwconfigsnapshot"
	"redwingworks.example/internal/rwlog"
	"redwingworks.example/internal/rwrouteconfig"
)

// wireCold connects the part that bounds the requests to cold upstreams.
func (e *Edge) wireCold() {
	hasSeeds := slices.ContainsFunc(e.deployment.Seeds, func(addr string) bool { return addr != e.deployment.Peer })
	e.cold = rwcoldguard.New(e.started, e.self.Name, hasSeeds)
	e.cold.Overage, e.cold.Slack = e.deployment.ColdOverage, e.deployment.ColdSlack
	e.cold.Count = func(counter string) { e.metrics.Add(counter, 1) }
	e.cold.Service = func(name string) (rwrouteconfig.Service, bool) { return serviceOf(e.published.Load(), name) }
	e.broker.Cold = e.cold
}

// serviceOf returns a service of a snapshot's configuration.
func serviceOf(snapshot *rwconfigsnapshot.Snapshot, name string) (rwrouteconfig.Service, bool) {
	if snapshot.Config == nil {
		return rwrouteconfig.Service{}, false
	}
	return snapshot.Config.Service(name)
}

// reportCold logs the upstreams that became cold or warm.
func (e *Edge) reportCold(now time.Time) {
	for _, c := range e.cold.Changes(now) {
		event := rwlog.UpstreamWarm
		if c.Cold {
			event = rwlog.UpstreamCold
		}
		rwlog.Info(&e.log, event).Str("service", c.Service).Str("upstream", c.ID).Dur("left", c.Left).
			Bool("silent", c.Silent).Send()
	}
}

// addColdLines adds the metrics of cold upstreams: for how many milliseconds each
// stays cold, how many requests this router has let go to it in the last window, and
// how many it may.
func (e *Edge) addColdLines(now time.Time, lines map[string]int64) {
	uses := e.cold.Uses(now)
	lines["upstreams_cold"] = int64(len(uses))
	for _, u := range uses {
		lines["cold_ms_"+u.ID] = u.Left.Milliseconds()
		lines["cold_used_"+u.ID] = int64(u.Used)
		lines["cold_limit_"+u.ID] = int64(u.Limit)
	}
}
