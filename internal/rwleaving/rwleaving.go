// Package rwleaving identifies an incarnation of an upstream that is leaving.
package rwleaving

// Upstream is an upstream that is leaving.
type Upstream struct {
	// Name is the name of the upstream's record.
	Name string `json:"upstream"`
	// Inc is the leaving incarnation. Lower ones are leaving or have ended.
	Inc int64 `json:"inc"`
}
