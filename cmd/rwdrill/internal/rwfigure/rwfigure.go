// Package rwfigure formats a measured figure with its bound and its baseline.
package rwfigure

import (
	"fmt"
	"math"
)

// Figure is a measured value. Value and Baseline are NaN if they were not measured.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the largest allowed value, or the smallest if AtLeast is set.
	Bound   float64
	AtLeast bool
	// Baseline is the value of the baseline in the same run.
	Baseline float64
}

// Met reports whether the value was measured and is within the bound.
func (f Figure) Met() bool {
	if f.AtLeast {
		return f.Value >= f.Bound
	}
	return f.Value <= f.Bound
}

// String returns the figure as "name value unit bound baseline verdict".
func (f Figure) String() string {
	sign, verdict := "<=", "missed"
	if f.AtLeast {
		sign = ">="
	}
	if f.Met() {
		verdict = "met"
	}
	if math.IsNaN(f.Value) {
		verdict = "not_measured"
	}
	return fmt.Sprintf("%s %s %s %s%s baseline=%s %s", f.Name, number(f.Value), f.Unit, sign, number(f.Bound), number(f.Baseline), verdict)
}

func number(v float64) string {
	if math.IsNaN(v) {
		return "-"
	}
	return fmt.Sprintf("%.4g", v)
}
