// Package rwrevision orders the changes of the platform's store.
package rwrevision

import "cmp"

// Revision is a position in the history of the store. The zero Revision is before
// all changes.
type Revision struct {
	// Era is the number of times that the store has come back from an older copy.
	// Revisions of the store are given out again in a later era.
	Era int64 `json:"era,omitempty"`
	Rev int64 `json:"rev"`
}

// Compare returns -1, 0 or 1 if r is older than, equal to or newer than other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Rev, other.Rev))
}

// After reports whether r is newer than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Max returns the newer of two revisions.
func (r Revision) Max(other Revision) Revision {
	if other.After(r) {
		return other
	}
	return r
}
