// Package rwfinding describes the findings of a check of record files.
package rwfinding

// Finding is one fault or warning.
type Finding struct {
	// File is the file that the finding is about, Record the kind and name of
	// the record or pool; either may be empty.
	File, Record string
	// Text describes the problem.
	Text string
	// Warning is set if routers accept the records in spite of the finding.
	Warning bool
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	level := "fault"
	if f.Warning {
		level = "warning"
	}
	s := level + ": "
	if f.File != "" {
		s += f.File + ": "
	}
	if f.Record != "" {
		s += f.Record + ": "
	}
	return s + f.Text
}
