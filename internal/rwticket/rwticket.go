// Package rwticket implements tickets: signed idempotency keys that name the
// router incarnation that issued them.
package rwticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
)

const (
	prefix = "rwt1."
	// macBytes is the length to which the 32-byte HMAC is truncated.
	macBytes = 16
)

// Ticket is the content of a ticket.
type Ticket struct {
	Name string
	// Inc is the incarnation that may execute the call.
	Inc int64
	// Issued is the time of issue by the issuer's clock.
	Issued time.Time
}

type payload struct {
	Name   string `json:"n"`
	Inc    int64  `json:"i"`
	Issued int64  `json:"t"`
	Random string `json:"r"`
}

// Sign returns the encoded ticket. The random string makes it unique.
func (t Ticket) Sign(fleetKey, random string) string {
	data, err := json.Marshal(payload{t.Name, t.Inc, t.Issued.UnixMicro(), random})
	if err != nil {
		return ""
	}
	text := base64.RawURLEncoding.EncodeToString(data)
	return prefix + text + "." + mac(fleetKey, text)
}

// Is reports whether a key has the form of a ticket.
func Is(key string) bool { return strings.HasPrefix(key, prefix) }

// Parse decodes a ticket. It fails with TicketInvalid if it is malformed or not
// signed with the fleet's key.
func Parse(fleetKey, key string) (Ticket, error) {
	text, signature, _ := strings.Cut(strings.TrimPrefix(key, prefix), ".")
	if !hmac.Equal([]byte(signature), []byte(mac(fleetKey, text))) {
		return Ticket{}, rwfault.New(rwcode.TicketInvalid, "signature")
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	var b payload
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	if err != nil {
		return Ticket{}, rwfault.Wrap(rwcode.TicketInvalid, err)
	}
	return Ticket{Name: b.Name, Inc: b.Inc, Issued: time.UnixMicro(b.Issued)}, nil
}

func mac(fleetKey, text string) string {
	h := hmac.New(sha256.New, []byte(fleetKey))
	_, _ = h.Write([]byte("ticket\x00" + text))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}
