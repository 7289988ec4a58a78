// Package rwpoisonsync shares between routers what they see of crashes of engines,
// so that all of them refuse requests with a part that crashes engines.
package rwpoisonsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"redwingworks.example/internal/rwcrash"
	"redwingworks.example/internal/rwidentity"
	"redwingworks.example/internal/rwpeer"
	"redwingworks.example/internal/rwpoison"
	"redwingworks.example/internal/rwrendezvous"
)

const (
	// tick is the time for which messages are collected: when a partition begins,
	// connections to many engines break at once.
	tick = 50 * time.Millisecond
	// soundDelays is the number of different times, a tick apart, after which routers
	// tell that parts of a crash aren't to blame, unless another one has told it.
	soundDelays = 4
	// maxPending bounds the crashes, and the sound parts, that are collected.
	maxPending = 128
)

// Syncer holds the knowledge of one router. All function fields are set before Run.
type Syncer struct {
	// Live returns the live routers, including this one.
	Live func() []rwidentity.Identity
	// OnHarmful is called for a part that has become harmful, and OnFreed for one
	// that no longer is; source is the router that found it.
	OnHarmful, OnFreed func(source, service, id string)

	self  rwidentity.Identity
	peers *rwpeer.Peers

	mu       sync.Mutex
	detector *rwpoison.Detector
	// told holds when a router last told that a part isn't to blame, since the
	// last second.
	told map[partMessage]time.Time
	// known holds the live routers that have the list of harmful parts.
	known map[rwidentity.Identity]bool
	// crashes holds what this router saw since the last tick, and sound when it
	// learned that parts are blamed of which it knows better.
	crashes []rwcrash.Crash
	sound   map[partMessage]time.Time
}

type partMessage struct {
	Service string `json:"svc"`
	ID      string `json:"id"`
}

type crashesMessage struct {
	Crashes []rwcrash.Crash `json:"list"`
}

type soundMessage struct {
	Service string   `json:"svc"`
	IDs     []string `json:"ids"`
}

type aliveMessage struct {
	Service     string `json:"svc"`
	Upstream    string `json:"up"`
	StartMillis int64  `json:"born"`
	// Age is how long ago the request was sent to which the engine responded.
	Age time.Duration `json:"age"`
}

type harmfulMessage struct {
	partMessage
	// Left is how long requests with the part are still refused.
	Left time.Duration `json:"left"`
	// Confirmed is whether a request that was sent on has crashed its engine.
	Confirmed bool `json:"sure,omitempty"`
}

// New returns a syncer and registers its message handlers.
func New(peers *rwpeer.Peers) *Syncer {
	s := &Syncer{
		self: peers.Self(), peers: peers, detector: rwpoison.New(),
		told: map[partMessage]time.Time{}, known: map[rwidentity.Identity]bool{}, sound: map[partMessage]time.Time{},
	}
	peers.Handle("crashes", rwpeer.Typed(s.handleCrashes))
	peers.Handle("alive", rwpeer.Typed(s.handleAlive))
	peers.Handle("sound", rwpeer.Typed(s.handleSound))
	peers.Handle("harmful", rwpeer.Typed(s.handleHarmful))
	return s
}

// Harmful returns the first harmful part of a prompt and how long requests with it
// are refused.
func (s *Syncer) Harmful(service string, ids []string) (id string, left time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Harmful(time.Now(), service, ids)
}

// Try reports whether one request with a prompt may be sent on although it has a
// harmful part. One router of the fleet sends it.
func (s *Syncer) Try(service string, ids []string) bool {
	id, _, ok := s.Harmful(service, ids)
	if !ok {
		return false
	}
	var names []string
	for _, r := range s.Live() {
		names = append(names, r.Name)
	}
	if rwrendezvous.Top(service+" "+id, names) != s.self.Name {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Try(time.Now(), service, ids)
}

// Suspected reports whether a part of a prompt may explain several crashes.
func (s *Syncer) Suspected(service string, ids []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Suspected(time.Now(), service, ids)
}

// AddResponse records a response on the parts of a prompt.
func (s *Syncer) AddResponse(service string, ids []string) {
	s.mu.Lock()
	freed := s.detector.AddResponse(time.Now(), service, ids)
	s.mu.Unlock()
	if len(freed) > 0 {
		s.notify("sound", soundMessage{service, freed})
		s.report(s.OnFreed, s.self.Name, service, freed)
	}
}

// AddCrash records a crash that this router saw and tells the others.
func (s *Syncer) AddCrash(c rwcrash.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sound := s.detector.AddCrash(time.Now(), c)
	c.Parts = without(c.Parts, sound)
	if (len(c.Parts) > 0 || c.Trial) && len(s.crashes) < maxPending {
		s.crashes = append(s.crashes, c)
	}
}

// AddAlive records that an engine responded to a request sent at a time.
func (s *Syncer) AddAlive(service, upstream string, startMillis int64, sent time.Time) {
	s.mu.Lock()
	dropped := s.detector.AddAlive(service, upstream, startMillis, sent)
	s.mu.Unlock()
	if dropped {
		s.notify("alive", aliveMessage{service, upstream, startMillis, time.Since(sent)})
	}
}

func (s *Syncer) handleAlive(_ context.Context, _ rwidentity.Identity, m aliveMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.AddAlive(m.Service, m.Upstream, m.StartMillis, time.Now().Add(-m.Age))
	return nil, nil
}

func without(ids, excluded []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(excluded, id) })
}

func (s *Syncer) handleCrashes(_ context.Context, _ rwidentity.Identity, m crashesMessage) (any, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range m.Crashes {
		for _, id := range s.detector.AddCrash(now, c) {
			k := partMessage{c.Service, id}
			if _, due := s.sound[k]; !due && len(s.sound) < maxPending {
				s.sound[k] = now
			}
		}
	}
	return nil, nil
}

// takePending returns the messages that were collected: crashes, and sound parts by
// service without those that another router has told of meanwhile. The caller must
// hold the lock.
func (s *Syncer) takePending(now time.Time) (crashes []rwcrash.Crash, sound map[string][]string) {
	crashes, s.crashes = s.crashes, nil
	sound = map[string][]string{}
	for k, received := range s.sound {
		delay := tick * time.Duration(rwrendezvous.Score(k.ID, s.self.Name)%soundDelays)
		switch {
		case s.told[k].After(received):
			delete(s.sound, k)
		case now.Sub(received) >= delay:
			delete(s.sound, k)
			sound[k.Service] = append(sound[k.Service], k.ID)
		}
	}
	return crashes, sound
}

func (s *Syncer) handleSound(_ context.Context, from rwidentity.Identity, m soundMessage) (any, error) {
	now := time.Now()
	s.mu.Lock()
	for _, id := range m.IDs {
		s.told[partMessage{m.Service, id}] = now
	}
	freed := s.detector.AddResponse(now, m.Service, m.IDs)
	s.mu.Unlock()
	s.report(s.OnFreed, from.Name, m.Service, freed)
	return nil, nil
}

func (s *Syncer) handleHarmful(_ context.Context, from rwidentity.Identity, m harmfulMessage) (any, error) {
	s.mu.Lock()
	_, _, before := s.detector.Harmful(time.Now(), m.Service, []string{m.ID})
	ok := s.detector.SetHarmful(time.Now(), m.Service, m.ID, m.Left, m.Confirmed)
	s.mu.Unlock()
	switch {
	case !ok:
		s.notify("sound", soundMessage{m.Service, []string{m.ID}})
	case !before:
		s.report(s.OnHarmful, from.Name, m.Service, []string{m.ID})
	}
	return nil, nil
}

func (s *Syncer) report(f func(source, service, id string), source, service string, ids []string) {
	for _, id := range ids {
		f(source, service, id)
	}
}

func (s *Syncer) notify(method string, params any) {
	for _, id := range s.Live() {
		if id.Name != s.self.Name {
			s.peers.Notify(id.Addr, method, params)
		}
	}
}

// Run evaluates crashes until the context ends, and tells routers that join which
// parts are harmful.
func (s *Syncer) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.evaluate(now)
		}
	}
}

func (s *Syncer) evaluate(now time.Time) {
	s.mu.Lock()
	found := s.detector.Tick(now)
	crashes, sound := s.takePending(now)
	for k, at := range s.told {
		if now.Sub(at) > time.Second {
			delete(s.told, k)
		}
	}
	s.mu.Unlock()
	if len(crashes) > 0 {
		s.notify("crashes", crashesMessage{crashes})
	}
	for service, ids := range sound {
		s.notify("sound", soundMessage{service, ids})
	}
	for service, ids := range found {
		s.report(s.OnHarmful, s.self.Name, service, ids)
	}
	s.tellHarmful(now, len(found) > 0)
}

// tellHarmful sends the list of harmful parts to all routers, or to those that have
// joined.
func (s *Syncer) tellHarmful(now time.Time, all bool) {
	live := s.Live()
	s.mu.Lock()
	var list []harmfulMessage
	s.detector.List(now, func(service, id string, left time.Duration, confirmed bool) {
		list = append(list, harmfulMessage{partMessage{service, id}, left, confirmed})
	})
	before := s.known
	s.known = map[rwidentity.Identity]bool{}
	for _, id := range live {
		s.known[id] = true
	}
	s.mu.Unlock()
	if len(list) == 0 {
		return
	}
	for _, id := range live {
		if id.Name == s.self.Name || before[id] && !all {
			continue
		}
		for _, m := range list {
			s.peers.Notify(id.Addr, "harmful", m)
		}
	}
}
