// Package rwpropertytest describes a test that tries to break a property of the
// system.
package rwpropertytest

// Entry is one entry of the table of properties.
type Entry struct {
	// Property is the number and the short name of the property in the design.
	Property string
	// Package is the import path of the test, Test its name. Both are empty if
	// there is no test yet.
	Package, Test string
	// Seeded is whether the test takes its seed from REDWING_SEED. Other tests
	// have fixed seeds.
	Seeded bool
	// Race is whether to run the test with the race detector.
	Race bool
}
