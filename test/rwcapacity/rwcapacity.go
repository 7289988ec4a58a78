// Package rwcapacity fits straight lines to measurements. Its tests with the
// build tag "capacity" measure the overhead of the fleet and write the tables of
// docs/CAPACITY.md.
package rwcapacity

import "math"

// Fit is a least-squares line through measured points.
type Fit struct {
	// Slope and Intercept define the line.
	Slope, Intercept float64
	// Residual is the root mean square distance of the points from the line,
	// as a fraction of their mean.
	Residual float64
}

// New fits a line. It needs at least two different values of x.
func New(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	f := Fit{Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	f.Intercept = (sy - f.Slope*sx) / n
	sum := 0.0
	for i := range x {
		d := y[i] - f.At(x[i])
		sum += d * d
	}
	f.Residual = math.Sqrt(sum/n) / math.Abs(sy/n)
	return f
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
