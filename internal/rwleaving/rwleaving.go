// Package rwleaving names an incarnation of an upstream that is leaving.
package rwleaving

// Leaving says that an upstream is leaving.
type Leaving struct {
	// Upstream is the name of the upstream's record.
	Upstream string `json:"upstream"`
	// Inc is the leaving incarnation. Lower ones have left too.
	Inc int64 `json:"inc"`
}
