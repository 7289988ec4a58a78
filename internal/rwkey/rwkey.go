// Package rwkey computes the short identifiers of calls that routers exchange.
package rwkey

import (
	"crypto/sha256"
	"encoding/hex"
)

// idBytes is the length of an identifier before hex encoding. The probability
// that any two of 10^12 keys collide is below 10^-14.
const idBytes = 16

// Scope returns the identifier of an idempotency key of a client account. It
// determines the home router of the key.
func Scope(account, key string) string { return Digest(account, key) }

// Digest returns the identifier of a list of strings.
func Digest(parts ...string) string {
	s := sha256.New()
	for _, p := range parts {
		n := sha256.Sum256([]byte(p))
		_, _ = s.Write(n[:])
	}
	return hex.EncodeToString(s.Sum(nil)[:idBytes])
}
