// Package rwpoison finds the parts of prompts that crash engines. An engine that
// crashes takes the responses of other requests with it, so that one crash blames
// all parts of those that had just begun or not yet. A part is harmful if it explains
// several crashes, under different prompts and more than any other part does, and no
// response on it was written around them, while the engines wrote others. The parts
// that sound requests share with the crashing ones get responses all the time. A
// broken connection to an engine that responds later was no crash.
//
// The package reads no clock and does no I/O; callers pass the time.
package rwpoison

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"redwingworks.example/internal/rwcrash"
)

const (
	// minCrashes is the number of crashes under different prompts that a harmful part
	// explains at least, and minShare the fraction of all since the first one.
	minCrashes = 3
	minShare   = 0.6
	// With manyCrashes, manyShare is enough, since several parts may be harmful at the
	// same time, and so is it to explain as many crashes as another part.
	manyCrashes = 6
	manyShare   = 0.3
	// soundTime is how long before a crash a response may have been written on a
	// part that therefore isn't to blame.
	soundTime = 30 * time.Second
	// settleTime is how long after a crash other routers may tell of such responses,
	// and the engine may prove that it still runs.
	settleTime = 600 * time.Millisecond
	// crashTTL is how long a crash is remembered, since requests with a harmful part
	// may be rare; maxCrashes bounds those of a service, and maxParts the parts of
	// one.
	crashTTL   = 2 * time.Minute
	maxCrashes = 64
	maxParts   = 256
	// maxPrompts bounds the prompts that are remembered for a part of a crash.
	maxPrompts = 4
	// harmfulTime is how long requests with a harmful part are refused: it may be
	// harmless to a later release of the engines. One more crash within priorTime
	// after that shows that it isn't.
	harmfulTime = 10 * time.Minute
	priorTime   = time.Hour
	// trialDelay is how long after it was found one request with a harmful part may
	// be sent on, since a sound part may have been blamed, and trialInterval the time
	// between two such requests if nothing is seen of the first.
	trialDelay    = 5 * time.Second
	trialInterval = 10 * time.Second
	// maxHarmful bounds the harmful parts and maxSound the parts in each half of
	// the table of those with responses.
	maxHarmful = 1024
	maxSound   = 8192
	// maxIDBytes is the length up to which the id of a part is used as it is.
	maxIDBytes = 64
)

// Detector holds what a router knows of crashes. It is not safe for concurrent use.
type Detector struct {
	// crashes holds the latest crashes of each service, oldest first.
	crashes map[string][]*crash
	// recent and older hold when a response was last written on a part; recent
	// replaces older after soundTime or when it is full.
	recent, older map[part]time.Time
	rotatedAt     time.Time
	// responded holds when any response of a service was last written.
	responded map[string]time.Time
	// harmful holds the harmful parts, and for priorTime those that were.
	harmful map[part]refusal
	// changed is whether crashes were added since the last Tick without one that
	// hasn't settled.
	changed bool
}

type part struct{ service, id string }

// refusal is for how long requests with a harmful part are refused.
type refusal struct {
	until time.Time
	// nextTrial is when a request may be sent on, and confirmed whether one has been
	// that crashed its engine.
	nextTrial time.Time
	confirmed bool
}

// crash is the end of one incarnation of an engine.
type crash struct {
	upstream    string
	startMillis int64
	// at is when the last connection was seen to end.
	at time.Time
	// parts holds the prompts under which the engine ended, by part.
	parts map[string][]string
}

// New returns a detector without crashes.
func New() *Detector {
	return &Detector{
		crashes: map[string][]*crash{}, recent: map[part]time.Time{}, older: map[part]time.Time{}, harmful: map[part]refusal{},
		responded: map[string]time.Time{},
	}
}

// key returns the key of a part. Callers choose the ids.
func key(service, id string) part {
	if len(id) > maxIDBytes {
		sum := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(sum[:])
	}
	return part{service, id}
}

// AddResponse records that a response was written on the parts of a prompt, and
// returns those that were harmful and no longer are.
func (d *Detector) AddResponse(now time.Time, service string, ids []string) (freed []string) {
	if now.Sub(d.rotatedAt) > soundTime || len(d.recent) >= maxSound {
		d.older, d.recent, d.rotatedAt = d.recent, map[part]time.Time{}, now
	}
	d.responded[service] = now
	for _, id := range ids {
		k := key(service, id)
		d.recent[k] = now
		if _, ok := d.harmful[k]; ok {
			delete(d.harmful, k)
			freed = append(freed, id)
		}
	}
	return freed
}

// respondedAt returns when a response was last written on a part.
func (d *Detector) respondedAt(k part) time.Time {
	if at, ok := d.recent[k]; ok {
		return at
	}
	return d.older[k]
}

// AddCrash records a crash that this or another router saw, and returns those of the
// parts that aren't to blame as far as this router knows.
func (d *Detector) AddCrash(now time.Time, c rwcrash.Crash) (sound []string) {
	list := slices.DeleteFunc(d.crashes[c.Service], func(k *crash) bool { return now.Sub(k.at) > crashTTL })
	d.crashes[c.Service] = list
	i := d.indexOf(c.Service, c.Upstream, c.StartMillis)
	if i < 0 {
		if len(list) >= maxCrashes {
			list = slices.Delete(list, 0, 1)
		}
		i = len(list)
		list = append(list, &crash{upstream: c.Upstream, startMillis: c.StartMillis, parts: map[string][]string{}})
	}
	list[i].at = now
	d.crashes[c.Service] = list
	for _, id := range c.Parts {
		k := key(c.Service, id)
		if r, ok := d.harmful[k]; ok && c.Trial {
			r.confirmed = true
			d.harmful[k] = r
		}
		switch {
		case d.isSound(k, list[i].at):
			sound = append(sound, id)
		case len(list[i].parts) < maxParts:
			prompt := key("", c.Prompt).id
			if known := list[i].parts[k.id]; len(known) < maxPrompts && !slices.Contains(known, prompt) {
				list[i].parts[k.id] = append(known, prompt)
				d.changed = true
			}
		}
	}
	return sound
}

// indexOf returns the index of the crash of an incarnation, or -1.
func (d *Detector) indexOf(service, upstream string, startMillis int64) int {
	return slices.IndexFunc(d.crashes[service], func(c *crash) bool { return c.upstream == upstream && c.startMillis == startMillis })
}

// AddAlive records that an incarnation responded to a request sent at a time, so that
// it hadn't crashed before, and reports whether a crash was dropped. An engine whose
// start isn't known may have started again.
func (d *Detector) AddAlive(service, upstream string, startMillis int64, sent time.Time) bool {
	i := d.indexOf(service, upstream, startMillis)
	if i < 0 || startMillis == 0 || !sent.After(d.crashes[service][i].at) {
		return false
	}
	d.crashes[service] = slices.Delete(d.crashes[service], i, i+1)
	return true
}

// isSound reports whether a response was written on a part around or after a time.
func (d *Detector) isSound(k part, at time.Time) bool {
	last := d.respondedAt(k)
	return !last.IsZero() && last.After(at.Add(-soundTime))
}

// blame is what speaks for a part as the cause of crashes.
type blame struct {
	// crashes is the number of crashes that the part may explain, and prompts that of
	// the different prompts among them: a request that is sent again names all of its
	// parts twice.
	crashes, prompts int
	// total is the number of all crashes since the first of these.
	total int
}

// blameOf returns what speaks for a part, given the number of harmful parts in each
// crash of the service. It leaves out crashes that another harmful part explains,
// unless there is one that none does: then what was found before may be wrong.
func (d *Detector) blameOf(k part, harmful []int, before time.Time) blame {
	var b blame
	unexplained := false
	_, own := d.harmful[k]
	counted := map[string]bool{}
	for i, c := range d.crashes[k.service] {
		if len(c.parts) == 0 || c.at.After(before) {
			continue
		}
		if prompts := c.parts[k.id]; len(prompts) > 0 && !d.isSound(k, c.at) {
			b.crashes++
			if next := slices.IndexFunc(prompts, func(prompt string) bool { return !counted[prompt] }); next >= 0 {
				counted[prompts[next]] = true
				b.prompts++
			}
			unexplained = unexplained || harmful[i] == 0 || own && harmful[i] == 1
		}
		if b.crashes > 0 {
			b.total++
		}
	}
	if !unexplained {
		return blame{}
	}
	return b
}

// countHarmful returns the number of harmful parts in each crash of a service.
func (d *Detector) countHarmful(service string) []int {
	out := make([]int, len(d.crashes[service]))
	for i, c := range d.crashes[service] {
		for id := range c.parts {
			if _, ok := d.harmful[part{service, id}]; ok {
				out[i]++
			}
		}
	}
	return out
}

// Tick returns the parts that have become harmful, by service.
func (d *Detector) Tick(now time.Time) map[string][]string {
	for k, r := range d.harmful {
		if now.Sub(r.until) > priorTime {
			delete(d.harmful, k)
		}
	}
	if !d.changed {
		return nil
	}
	d.changed = false
	found := map[string][]string{}
	for service, list := range d.crashes {
		list = slices.DeleteFunc(list, func(c *crash) bool { return now.Sub(c.at) > crashTTL })
		d.crashes[service] = list
		if len(list) == 0 {
			delete(d.crashes, service)
			continue
		}
		d.changed = d.changed || now.Sub(list[len(list)-1].at) < settleTime
		for _, id := range d.explaining(now, service) {
			d.harmful[part{service, id}] = refusal{until: now.Add(harmfulTime), nextTrial: now.Add(trialDelay)}
			found[service] = append(found[service], id)
		}
	}
	return found
}

// isEnough reports whether a part is harmful if no other one explains more crashes.
func (b blame) isEnough() bool {
	share := float64(b.crashes) / float64(max(b.total, 1))
	return b.prompts >= minCrashes && share >= minShare || b.prompts >= manyCrashes && share >= manyShare
}

// explaining returns the parts of a service that explain more crashes than others,
// and enough to be harmful.
func (d *Detector) explaining(now time.Time, service string) []string {
	counts := map[string]int{}
	for _, c := range d.crashes[service] {
		for id := range c.parts {
			counts[id]++
		}
	}
	harmful, responded := d.countHarmful(service), d.respondedSince(service, d.crashes[service][0].at)
	var best []string
	most, tied := 0, 0
	for id, count := range counts {
		k := part{service, id}
		r, known := d.harmful[k]
		if known && now.Before(r.until) || !known && count < minCrashes {
			continue
		}
		b := d.blameOf(k, harmful, now.Add(-settleTime))
		if b.crashes == 0 || b.crashes < most {
			continue
		}
		if b.crashes > most {
			best, most, tied = nil, b.crashes, 0
		}
		tied++
		if b.isEnough() && responded || known {
			best = append(best, id)
		}
	}
	if tied > 1 && most < manyCrashes {
		// Further crashes tell which of them it is.
		return nil
	}
	slices.Sort(best)
	return best
}

// respondedSince reports whether a service wrote any response around or after a time.
func (d *Detector) respondedSince(service string, at time.Time) bool {
	return d.responded[service].After(at.Add(-soundTime))
}

// Harmful returns the first harmful part of a prompt and how long requests with it
// are refused.
func (d *Detector) Harmful(now time.Time, service string, ids []string) (id string, left time.Duration, ok bool) {
	if len(d.harmful) == 0 {
		return "", 0, false
	}
	for _, id := range ids {
		if r := d.harmful[key(service, id)]; now.Before(r.until) {
			return id, r.until.Sub(now), true
		}
	}
	return "", 0, false
}

// Try reports whether one request with a prompt may be sent on although it has a
// harmful part, to find out whether that is sound, and counts it if so. Only one of
// the routers calls it for a part.
func (d *Detector) Try(now time.Time, service string, ids []string) bool {
	var tried part
	n := 0
	for _, id := range ids {
		if k := key(service, id); now.Before(d.harmful[k].until) {
			tried = k
			n++
		}
	}
	r := d.harmful[tried]
	if n != 1 || r.confirmed || now.Before(r.nextTrial) {
		return false
	}
	r.nextTrial = now.Add(trialInterval)
	d.harmful[tried] = r
	return true
}

// Suspected reports whether a part of a prompt may explain several crashes, which is
// too few to refuse it.
func (d *Detector) Suspected(now time.Time, service string, ids []string) bool {
	if len(d.crashes[service]) == 0 {
		return false
	}
	harmful := d.countHarmful(service)
	return slices.ContainsFunc(ids, func(id string) bool {
		return d.blameOf(key(service, id), harmful, now).prompts >= minCrashes-1
	})
}

// SetHarmful records that another router refuses requests with a part for some more
// time, and whether a trial has confirmed it. It returns false if this router knows of
// a response on the part.
func (d *Detector) SetHarmful(now time.Time, service, id string, left time.Duration, confirmed bool) bool {
	k := key(service, id)
	if d.isSound(k, now) {
		return false
	}
	r, known := d.harmful[k]
	if !known && len(d.harmful) >= maxHarmful {
		return true
	}
	if !known {
		r.nextTrial = now.Add(trialDelay)
	}
	if until := now.Add(min(left, harmfulTime)); until.After(r.until) {
		r.until = until
	}
	r.confirmed = r.confirmed || confirmed
	d.harmful[k] = r
	return true
}

// List calls f with each harmful part, how long requests with it are still refused,
// and whether a trial has confirmed it.
func (d *Detector) List(now time.Time, f func(service, id string, left time.Duration, confirmed bool)) {
	for k, r := range d.harmful {
		if now.Before(r.until) {
			f(k.service, k.id, r.until.Sub(now), r.confirmed)
		}
	}
}
