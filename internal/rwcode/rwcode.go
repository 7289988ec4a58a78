// Package rwcode enumerates the reasons for failures, refusals and retries. The
// text of a code is its name on the wire and in the counters.
package rwcode

//go:generate go tool stringer -type=Code -linecomment

// Code is the reason for a failure, a refusal or a retry.
type Code int

// The codes. New codes go at the end. Messages contain the text, never the
// number.
const (
	None                Code = iota // none
	Internal                        // internal
	SettingsInvalid                 // settings_invalid
	NotReady                        // not_ready
	Draining                        // draining
	Unauthorized                    // unauthorized
	UnknownAccount                  // unknown_account
	UnknownPool                     // unknown_pool
	UnknownKind                     // unknown_kind
	BodyTooLarge                    // body_too_large
	HeaderTooLarge                  // header_too_large
	BadRequest                      // bad_request
	SlowBody                        // slow_body
	CallerGone                      // caller_gone
	QueueFull                       // queue_full
	QueueBytes                      // queue_bytes
	TooManyConnections              // too_many_connections
	DeadlineExceeded                // deadline_exceeded
	DeadlineUnreachable             // deadline_unreachable
	NoUpstream                      // no_upstream
	UpstreamUnreachable             // upstream_unreachable
	UpstreamRefused                 // upstream_refused
	UpstreamLeaving                 // upstream_leaving
	UpstreamTruncated               // upstream_truncated
	UpstreamMalformed               // upstream_malformed
	UpstreamMismatch                // upstream_mismatch
	UpstreamTimeout                 // upstream_timeout
	RetryBudget                     // retry_budget
	OutcomeUnknown                  // outcome_unknown
	HomeUnreachable                 // home_unreachable
	KeyHeld                         // key_held
	KeyMissing                      // key_missing
	TicketInvalid                   // ticket_invalid
	TicketGone                      // ticket_gone
	Paused                          // paused
	GrantExpired                    // grant_expired
	PeerUnreachable                 // peer_unreachable
	PeerVersion                     // peer_version
	PeerKey                         // peer_key
	PeerSize                        // peer_size
	PeerMalformed                   // peer_malformed
	PlatformDown                    // platform_down
	PlatformMalformed               // platform_malformed
	RecordSchema                    // record_schema
	RecordInvalid                   // record_invalid
	RecordStale                     // record_stale
	ServiceMissing                  // service_missing
	FenceStale                      // fence_stale
	TooManyRequests                 // too_many_requests
	UnknownPath                     // unknown_path
	ShareExceeded                   // share_exceeded
	UpstreamFailed                  // upstream_failed
	OriginUnknown                   // origin_unknown
	SoftwareUnavailable             // software_unavailable
	// PromptHarmful is a prompt with a part that crashes engines.
	PromptHarmful // prompt_harmful
	// ZoneEvacuated is an upstream in an availability zone that is evacuated, or a
	// service that has no others.
	ZoneEvacuated // zone_evacuated
)

// last is the highest code.
const last = ZoneEvacuated

// Parse returns the code with a text, or Internal for an unknown text, which a
// router of a later version may send.
func Parse(text string) Code {
	for c := None; c <= last; c++ {
		if c.String() == text {
			return c
		}
	}
	return Internal
}
