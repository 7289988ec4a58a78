// Package rwpropertytest names a test that tries to break a property.
package rwpropertytest

// Entry is one entry of the table of properties.
type Entry struct {
	// Property is the number and the short name from the design.
	Property string
	// Package is the import path of the test, Test its name. Both are empty
	// while no test exists.
	Package, Test string
	// Seeded is whether the test takes its seed from REDWING_SEED. Other
	// tests have fixed seeds of their own.
	Seeded bool
	// Race runs the test with the race detector.
	Race bool
}
