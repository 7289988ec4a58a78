package rwcoldguard

import (
	"strconv"
	"testing"
	"time"

	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwinstance"
	"redwingworks.example/internal/rwplacement"
	"redwingworks.example/internal/rwprompt"
)

// BenchmarkSubmit measures a decision on a request in a cell of 15 warm engines, with
// a bound for cold ones and without.
func BenchmarkSubmit(b *testing.B) {
	for name, perSecond := range map[string]float64{"bound": 6.8, "none": 0} {
		b.Run(name, func(b *testing.B) {
			g := newGuard("r0", perSecond)
			var list []rwinstance.Instance
			var engines []rwplacement.Engine
			for i := range 15 {
				list = append(list, rwinstance.Instance{ID: engineID(i), Service: "s"})
				engines = append(engines, rwplacement.Engine{ID: engineID(i)})
			}
			g.ObserveUpstreams(at(0), list, g.Service)
			for now := time.Duration(0); now < 3*time.Second; now += 200 * time.Millisecond {
				g.ObserveRouters(at(now), []rwidentity.Identity{{Name: "r0"}, {Name: "r1"}})
			}
			p := newPlacer()
			p.SetEngines(engines)
			p.Cold = g.Engines("s", "s/0", score)
			for i := 0; b.Loop(); i++ {
				now, id := at(3*time.Second+time.Duration(i)*5*time.Millisecond), strconv.Itoa(i)
				p.Submit(now, rwplacement.Request{
					ID: id, Account: strconv.Itoa(i % 5), UniqueTokens: 100, ExpectedOutput: 10, Target: 400 * time.Millisecond,
					Parts: []rwprompt.Part{{ID: "s" + strconv.Itoa(i%30), Tokens: 5000}, {ID: "o" + id, Tokens: 100}},
				})
				p.FirstEvent(now, id)
				p.Ended(now, id, rwplacement.Served)
			}
		})
	}
}
