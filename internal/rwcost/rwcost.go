// Package rwcost learns the mean cost of the requests of an account and kind.
package rwcost

const (
	// hintWeight is small since hints are only rough.
	hintWeight = 0.25
	// meanSamples is over how many requests a mean is taken, about.
	meanSamples = 16
	// maxCostDecay lets the largest cost follow a load whose requests became
	// smaller, in some thousand requests.
	maxCostDecay = 1.0 / 4096
	// defaultCost is charged while nothing was learned: a call of a plain
	// service costs 1, and usage corrects the charge of a stream that runs.
	defaultCost = 1
)

// Estimator holds the learned means. It is not safe for concurrent use.
type Estimator struct {
	means   map[key]*mean
	kinds   map[string]*mean
	overall mean
	maxCost float64
}

type key struct{ account, kind string }

type mean struct {
	value float64
	count float64
}

// New returns an estimator that has learned nothing.
func New() *Estimator { return &Estimator{means: map[key]*mean{}, kinds: map[string]*mean{}} }

// Estimate returns the expected cost of a request in cost units. A hint of 0
// is no hint. The estimate is never above the largest cost seen, so that a
// hint can't raise the bound on the gap between accounts.
func (e *Estimator) Estimate(account, kind string, hint float64) float64 {
	m := e.mostSpecificMean(account, kind)
	if m == nil {
		return defaultCost
	}
	if !(hint > 0) {
		return m.value
	}
	return min((1-hintWeight)*m.value+hintWeight*hint, max(e.maxCost, m.value))
}

func (e *Estimator) mostSpecificMean(account, kind string) *mean {
	if m := e.means[key{account, kind}]; m != nil {
		return m
	}
	if m := e.kinds[kind]; m != nil {
		return m
	}
	if e.overall.count > 0 {
		return &e.overall
	}
	return nil
}

// Learn takes in the actual cost of a finished request.
func (e *Estimator) Learn(account, kind string, cost float64) {
	e.maxCost = max(cost, e.maxCost*(1-maxCostDecay))
	e.overall.add(cost)
	meanFor(e.kinds, kind).add(cost)
	meanFor(e.means, key{account, kind}).add(cost)
}

func meanFor[K comparable](means map[K]*mean, k K) *mean {
	m := means[k]
	if m == nil {
		m = &mean{}
		means[k] = m
	}
	return m
}

// add weighs the first requests equally, so that the first one alone isn't
// the mean for long.
func (m *mean) add(cost float64) {
	m.count = min(m.count+1, meanSamples)
	m.value += (cost - m.value) / m.count
}

// Max is the largest cost seen lately, 1 if none was.
func (e *Estimator) Max() float64 { return max(e.maxCost, defaultCost) }
