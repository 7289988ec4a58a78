// Package rwfinding is something that a check of record files found.
package rwfinding

// Finding is one fault or warning.
type Finding struct {
	// File is where it was found, Record its kind and name; either may be "".
	File, Record string
	// Text says what is wrong.
	Text string
	// Warning is whether routers accept the records all the same.
	Warning bool
}

// String returns the line for people.
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
