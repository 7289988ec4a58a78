// Package rwleaving names an incarnation of an upstream that is leaving.
package rwleaving

// Upstream says that an upstream is leaving.
type Upstream struct {
	// Name is the name of the upstream's record.
	Name string `json:"upstream"`
	// Inc is the leaving incarnation. Lower ones have left too.
	Inc int64 `json:"inc"`
}
