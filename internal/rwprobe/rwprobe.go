// Package rwprobe is the message of the methods "ping" and "probe" and of
// their answers. The field names are short because every router sends four of
// these messages a second.
package rwprobe

import (
	"encoding/json"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwupdate"
)

// MaxUpdates bounds a decoded message. It admits a full list of a fleet
// several times larger than planned.
const MaxUpdates = 8192

// Probe is a membership message.
type Probe struct {
	// Name and Inc are the sender's.
	Name string `json:"n"`
	Inc  int64  `json:"i"`
	// Refutations counts how often the sender refuted a suspicion.
	Refutations uint64 `json:"q,omitempty"`
	// Leaving is whether the sender is shutting down.
	Leaving bool `json:"l,omitempty"`
	// Rev is the highest configuration revision that the sender has seen, Sum
	// the digest of all its records.
	Rev    int64  `json:"r,omitempty"`
	Digest uint64 `json:"d,omitempty"`
	// Target and Addr name the router that the receiver of a "probe" pings.
	Target string `json:"t,omitempty"`
	Addr   string `json:"a,omitempty"`
	// WantMembers asks for an answer with all members.
	WantMembers bool `json:"f,omitempty"`
	// WantIdentity asks for an answer with the receiver's identity.
	WantIdentity bool `json:"w,omitempty"`
	// Acked is true in the answer to a "probe" whose target answered.
	Acked bool `json:"k,omitempty"`
	// Updates are at most 8 outside of answers to Full.
	Updates []rwupdate.Update `json:"u,omitempty"`
}

// Decode reads a message. It fails with PeerMalformed.
func Decode(data []byte) (Probe, error) {
	var p Probe
	if err := json.Unmarshal(data, &p); err != nil {
		return Probe{}, rwfault.Wrap(rwcode.PeerMalformed, err)
	}
	if p.Name == "" || p.Inc <= 0 || len(p.Updates) > MaxUpdates {
		return Probe{}, rwfault.New(rwcode.PeerMalformed, "probe without a sender or with too many updates")
	}
	return p, nil
}
