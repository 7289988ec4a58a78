// Package rwcost learns the mean cost of the requests of an account and kind.
package rwcost

const (
	// hintWeight is small since hints are only rough.
	hintWeight = 0.25
	// samples is over how many requests a mean is taken, about.
	samples = 16
	// maxDecay lets the largest cost follow a load whose requests became
	// smaller, in some thousand requests.
	maxDecay = 1.0 / 4096
	// unknown is charged while nothing was learned: a call of a plain
	// service costs 1, and usage corrects the charge of a stream that runs.
	unknown = 1
)

// Estimator holds the learned means. It is not safe for concurrent use.
type Estimator struct {
	means map[key]*mean
	kinds map[string]*mean
	all   mean
	max   float64
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
func (c *Estimator) Estimate(account, kind string, hint float64) float64 {
	m := c.learned(account, kind)
	if m == nil {
		return unknown
	}
	if !(hint > 0) {
		return m.value
	}
	return min((1-hintWeight)*m.value+hintWeight*hint, max(c.max, m.value))
}

func (c *Estimator) learned(account, kind string) *mean {
	if m := c.means[key{account, kind}]; m != nil {
		return m
	}
	if m := c.kinds[kind]; m != nil {
		return m
	}
	if c.all.count > 0 {
		return &c.all
	}
	return nil
}

// Learn takes in the actual cost of a finished request.
func (c *Estimator) Learn(account, kind string, cost float64) {
	c.max = max(cost, c.max*(1-maxDecay))
	c.all.learn(cost)
	forKey(c.kinds, kind).learn(cost)
	forKey(c.means, key{account, kind}).learn(cost)
}

func forKey[K comparable](means map[K]*mean, k K) *mean {
	m := means[k]
	if m == nil {
		m = &mean{}
		means[k] = m
	}
	return m
}

// learn weighs the first requests equally, so that the first one alone isn't
// the mean for long.
func (m *mean) learn(cost float64) {
	m.count = min(m.count+1, samples)
	m.value += (cost - m.value) / m.count
}

// Max is the largest cost seen lately, 1 if none was.
func (c *Estimator) Max() float64 { return max(c.max, unknown) }
