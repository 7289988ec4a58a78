// Package rwlog writes numbered, structured log events. Each event has a row in
// docs/events.md; a test compares the two.
package rwlog

import (
	"io"

	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwfault"
)

//go:generate go tool stringer -type=Event -linecomment

// Event is the number of a log event. Numbers are never reused, since operators'
// alerts refer to them.
type Event int

// The events, grouped by hundreds: 100 process, 200 configuration, 300
// membership, 400 requests, 500 peers, 600 scheduling, 700 idempotency keys.
const (
	Started              Event = 100 // started
	Stopped              Event = 101 // stopped
	StopRequested        Event = 102 // stop requested
	SettingsInvalid      Event = 103 // settings invalid
	Ready                Event = 104 // ready
	DrainFinished        Event = 105 // drain finished
	PauseDetected        Event = 106 // pause detected
	LinesDropped         Event = 107 // log lines dropped
	SettingsReloaded     Event = 108 // settings reloaded
	ProcessFailed        Event = 109 // process failed
	RotationChanged      Event = 110 // rotation changed
	ConnectionsClosed    Event = 111 // connections closed
	DrainRefusing        Event = 112 // drain refuses requests
	ConnectionsRelayed   Event = 113 // connections relayed
	AccountRequests      Event = 114 // account requests
	LinkBusy             Event = 115 // link busy
	MemoryReclaimed      Event = 116 // memory reclaimed
	RecordAdopted        Event = 200 // record adopted
	RecordSetAside       Event = 201 // record set aside
	RecordStale          Event = 202 // stale record ignored
	PlatformLost         Event = 203 // platform lost
	PlatformRestored     Event = 204 // platform restored
	UpstreamLeaving      Event = 205 // upstream leaving
	ConfigurationAdopted Event = 206 // configuration adopted
	UpstreamsChanged     Event = 207 // upstreams changed
	PlatformReturned     Event = 208 // platform returned from a copy
	FieldUnreadable      Event = 209 // header field unreadable
	ZoneEvacuated        Event = 210 // zone evacuated
	ZoneTakenBack        Event = 211 // zone taken back
	ZoneUnknown          Event = 212 // evacuated zone unknown
	MemberChanged        Event = 300 // member changed
	RequestRefused       Event = 400 // request refused
	RequestFailed        Event = 401 // request failed
	RequestRetried       Event = 402 // request retried
	RequestPlaced        Event = 403 // request placed
	RequestResumed       Event = 404 // request resumed
	RequestFinished      Event = 405 // request finished
	RequestAbandoned     Event = 406 // request abandoned
	RequestCut           Event = 407 // request cut
	PeerRefused          Event = 500 // peer refused
	PeerLost             Event = 501 // peer lost
	PeerMessageTooLarge  Event = 502 // peer message too large
	CellTaken            Event = 600 // cell ownership taken
	CellReleased         Event = 601 // cell ownership released
	UpstreamBackedOff    Event = 602 // upstream backed off
	ResponseBroken       Event = 603 // response broken off
	PartHarmful          Event = 604 // prompt part harmful
	PartFreed            Event = 605 // prompt part freed
	UpstreamCold         Event = 606 // upstream cold
	UpstreamWarm         Event = 607 // upstream warm
	CellShares           Event = 608 // cell shares
	OwnerPassedOver      Event = 609 // owner passed over
	KeysHeld             Event = 700 // idempotency keys held
	KeysReleased         Event = 701 // idempotency keys released
	KeysHandedOver       Event = 702 // idempotency keys handed over
)

// Timestamps need milliseconds, since a request passes through two routers
// within milliseconds.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// New returns a logger that writes JSON lines with the process name.
func New(w io.Writer, process string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("process", process).Logger()
}

// Info starts an event at level info.
func Info(l *zerolog.Logger, e Event) *zerolog.Event {
	return l.Info().Int("event", int(e)).Str("name", e.String())
}

// Warn starts an event at level warn for a condition that operators should know
// about.
func Warn(l *zerolog.Logger, e Event, err error) *zerolog.Event {
	f := rwfault.From(err)
	return l.Warn().Int("event", int(e)).Str("name", e.String()).
		Stringer("code", f.Code).Str("detail", f.Error())
}
