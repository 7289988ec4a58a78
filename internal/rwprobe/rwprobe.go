// Package rwprobe defines the message of the methods "ping" and "probe" and of
// their answers. The JSON names are short because every router sends four of
// these messages a second.
package rwprobe

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwupdate"
)

// MaxUpdates limits the updates of a decoded message. It admits the full member
// list of a fleet several times larger than planned.
const MaxUpdates = 8192

// Probe is a membership message.
type Probe struct {
	// Name and Inc are the sender's.
	Name string `json:"n"`
	Inc  int64  `json:"i"`
	// Refutations counts the suspicions that the sender refuted.
	Refutations uint64 `json:"q,omitempty"`
	// Leaving reports whether the sender is shutting down.
	Leaving bool `json:"l,omitempty"`
	// Rev is the highest configuration revision that the sender has seen, in the
	// platform's era Era, and Digest the digest of all its records.
	Rev    int64  `json:"r,omitempty"`
	Era    int64  `json:"e,omitempty"`
	Digest uint64 `json:"d,omitempty"`
	// Target and Addr are the name and address of the router that the receiver
	// of a "probe" has to ping.
	Target string `json:"t,omitempty"`
	Addr   string `json:"a,omitempty"`
	// WantMembers requests an answer with all members that are not dead.
	WantMembers bool `json:"f,omitempty"`
	// WantIdentity requests an answer with the receiver's identity.
	WantIdentity bool `json:"w,omitempty"`
	// Acked is true in the answer to a "probe" whose target answered.
	Acked bool `json:"k,omitempty"`
	// Updates has at most 8 elements, apart from answers to WantMembers and the
	// identity that WantIdentity adds.
	Updates []rwupdate.Update `json:"u,omitempty"`
}

// Decode decodes a message. It fails with PeerMalformed.
func Decode(data []byte) (Probe, error) {
	var p Probe
	if err := json.Unmarshal(data, &p); err != nil {
		return Probe{}, rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if p.Name == "" || p.Inc <= 0 || len(p.Updates) > MaxUpdates {
		return Probe{}, rwfault.New(rwcode.PeerMalformed, "probe has no valid sender or too many updates")
	}
	return p, nil
}
