// Package rwcost estimates the cost of requests from the mean of earlier ones.
package rwcost

const (
	// hintWeight is the weight of a hint in an estimate. It is small since hints
	// are only rough.
	hintWeight = 0.25
	// meanSamples is the approximate number of requests that a mean covers.
	meanSamples = 16
	// maxCostDecay lowers the largest cost with each request, so that it follows
	// within some thousand requests when requests become smaller.
	maxCostDecay = 1.0 / 4096
	// defaultCost is the estimate while nothing was learned. It is exact for a
	// call of a plain service; usage reports correct the charge of a stream
	// while it runs.
	defaultCost = 1
)

// Estimator keeps exponentially weighted mean costs. It is not safe for
// concurrent use.
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
// means no hint. A hint can't raise the estimate above the largest cost seen,
// since that would raise the bound on the gap between accounts.
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

// Learn adds the actual cost of a finished request.
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

// add weighs the first meanSamples requests equally, so that the first one
// doesn't dominate the mean.
func (m *mean) add(cost float64) {
	m.count = min(m.count+1, meanSamples)
	m.value += (cost - m.value) / m.count
}

// Max returns the largest recent cost, at least defaultCost.
func (e *Estimator) Max() float64 { return max(e.maxCost, defaultCost) }
