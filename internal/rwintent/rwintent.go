// Package rwintent defines the record that a call may have been executed.
package rwintent

import (
	"slices"
	"time"

	"redwingworks.example/internal/rwresult"
)

// Intent records that a router may have executed the call of an idempotency
// key.
type Intent struct {
	// Key is the identifier of the idempotency key and its client account.
	Key string `json:"key"`
	// Digest identifies the pool, method, path and body of the call.
	Digest string `json:"digest"`
	// Router and Inc name the router incarnation that may have executed the
	// call. Inc is 0 if it is only known that the call was forwarded to Router.
	Router string `json:"by,omitempty"`
	Inc    int64  `json:"inc,omitempty"`
	// OtherRouters are more routers that may have executed the call.
	OtherRouters []string `json:"also,omitempty"`
	// TTL is how long the record must still be stored.
	TTL time.Duration `json:"left"`
	// Refused are attempts that got the outcome not_run. Only handoffs set it,
	// for keys that were not executed.
	Refused []string `json:"refused,omitempty"`
	// Result is the result of the call, or nil if it is unknown.
	Result *rwresult.Result `json:"result,omitempty"`
}

// MayHaveRun reports whether a router may have executed the call.
func (t Intent) MayHaveRun(name string) bool {
	return t.Router == name || slices.Contains(t.OtherRouters, name)
}
