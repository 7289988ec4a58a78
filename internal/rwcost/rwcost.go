// Package rwcost learns the mean cost of the requests of an account and kind.
package rwcost

// Cost holds the learned means. It is not safe for concurrent use.
type Cost struct {
	means map[key]float64
}

type key struct{ account, kind string }

// New returns an estimator that has learned nothing.
func New() *Cost { return &Cost{means: map[key]float64{}} }

// Estimate returns the expected cost of a request in cost units. A hint of 0
// is no hint.
func (c *Cost) Estimate(account, kind string, hint float64) float64 {
	mean, ok := c.means[key{account, kind}]
	switch {
	case ok && hint > 0:
		return 0.75*mean + 0.25*hint
	case ok:
		return mean
	case hint > 0:
		return hint
	}
	return 1
}

// Learn takes in the actual cost of a finished request.
func (c *Cost) Learn(account, kind string, cost float64) {
	k := key{account, kind}
	mean, ok := c.means[k]
	if !ok {
		mean = cost
	}
	c.means[k] = mean + (cost-mean)/8
}
