// Package rwkey makes the short identifiers by which routers know a call.
package rwkey

import (
	"crypto/sha256"
	"encoding/hex"
)

// idBytes is the length of an identifier before hex encoding. Two of 10^12 keys
// collide with a chance below 10^-14.
const idBytes = 16

// Scope returns the identifier of an idempotency key of a client account. The
// home of the key is chosen by it.
func Scope(account, key string) string { return Digest(account, key) }

// Digest returns the identifier of a list of texts.
func Digest(parts ...string) string {
	s := sha256.New()
	for _, p := range parts {
		n := sha256.Sum256([]byte(p))
		_, _ = s.Write(n[:])
	}
	return hex.EncodeToString(s.Sum(nil)[:idBytes])
}
