package crlquarantine

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// Config configures a Registry.
type Config struct {
	// Owns reports whether this daemon is the one that sends probes with a suspect and deletes old records; nil for a daemon that does neither.
	Owns func(Suspect) bool
	Now  crlclock.Clock
	// OnTransition is called when a suspect is quarantined or released, with the registry locked; nil for none.
	OnTransition func(Transition)
}

// Transition is the start or end of the quarantine of a suspect.
type Transition struct {
	Record      Record
	Quarantined bool
	Cause       string
}

// Registry holds the records of suspects.
type Registry struct {
	config  Config
	mu      sync.Mutex            // guards the fields below
	entries map[Suspect]*entry    // at most maxEntries
	answers map[Suspect]answerLog // of answers at this daemon; at most maxAnswers
	changed chan struct{}         // holds a token when there are changes to write
}

// answerLog is when the latest answers with a suspect began and were complete.
type answerLog struct {
	startedAt   crlclock.Instant
	completedAt crlclock.Instant
	completed   bool // whether completedAt is set
}

// entry is the record of a suspect with its state at this daemon.
type entry struct {
	record    Record
	changedAt crlclock.Instant
	roundAt   crlclock.Instant // when this daemon learnt of the first crash of the newest round
	stored    bool             // the store has a record of the suspect
	inStore   []Crash          // the crashes of that record
	dirty     bool             // the record has what the store doesn't
	cleared   bool             // an answer has refuted the record or it is old, so the store's record is to be deleted
	// clearedByStart is set with cleared if an answer that began has refuted the record, as it would not refute any.
	clearedByStart bool
	// quarantined is record.quarantined().
	quarantined bool
}

const (
	maxEntries = 256
	maxAnswers = 4096
	// startedWithin is the time for which no crash is recorded of a suspect after an answer on it that refutes it. A part that others use all the time
	// is in the requests of most crashes.
	startedWithin = 2 * time.Second
	// roundTime is the time from a crash of a suspect from which on further ones are of another round. Servers of one failure domain end within less.
	roundTime = time.Second
	// suspicionTime is the time after its latest crash for which the record of a suspect that isn't quarantined is kept.
	suspicionTime = time.Minute
	// quarantineTime is the time without crash or probe after which a record is deleted, as no more requests with the suspect come.
	quarantineTime = 30 * time.Minute
	firstProbe     = 2 * time.Second // time from the latest crash to the first probe
	probeFactor    = 4               // by which the time to the next probe grows with each
	maxProbeTime   = 10 * time.Minute
	// maxRequestProbes is the number of probes with a request. A part is in requests of many callers, who wait for its release; a request that
	// goes on crashing servers is kept from them until no repeat of it was probed for quarantineTime.
	maxRequestProbes = 3
	maxSuspects      = 64 // suspects of one request of which crashes and answers are recorded
	minRetryAfter    = time.Second
	maxRetryAfter    = 30 * time.Second
	retrySpread      = 300 * time.Millisecond // over which callers are told to return
)

// New returns a Registry without records.
func New(config Config) *Registry {
	if config.Owns == nil {
		config.Owns = func(Suspect) bool { return false }
	}
	if config.OnTransition == nil {
		config.OnTransition = func(Transition) {}
	}
	return &Registry{
		config: config, entries: make(map[Suspect]*entry), answers: make(map[Suspect]answerLog), changed: make(chan struct{}, 1),
	}
}

// Verdict is the decision on a request.
type Verdict struct {
	Quarantined bool
	Suspect     Suspect       // the quarantined suspect
	RetryAfter  time.Duration // time after which the request may be sent, as far as is known
}

// Check decides whether a request with the given suspects may be sent to a server. If it decides that a request with a quarantined suspect is
// sent as a probe, it records that.
func (r *Registry) Check(suspects []Suspect) Verdict {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return Verdict{}
	}
	var blocking []*entry // of the quarantined suspects
	for _, suspect := range suspects {
		if e := r.entries[suspect]; e != nil && e.quarantined && !r.explainedWithout(e, suspects) {
			blocking = append(blocking, e)
		}
	}
	if len(blocking) == 0 {
		return Verdict{}
	}
	e, conclusive := probed(blocking)
	if conclusive && now >= e.nextProbe() && r.config.Owns(e.record.Suspect) {
		e.record.Probes++
		r.touch(e, now)
		return Verdict{}
	}
	return Verdict{Quarantined: true, Suspect: e.record.Suspect, RetryAfter: retryAfter(e.nextProbe().Sub(now))}
}

// probed returns the entry of which a probe that has several quarantined suspects is one, and whether its end would tell whether that suspect
// crashes servers. With several parts it would not. A request comes with its parts; unless one of these has crashes that the request hasn't,
// only the request is probed.
func probed(blocking []*entry) (e *entry, conclusive bool) {
	for _, e := range blocking {
		if e.record.Suspect.isRequest() && e.record.explainsAll(blocking) {
			return e, true
		}
	}
	return blocking[0], len(blocking) == 1
}

// explainedWithout reports whether a quarantined suspect that a request lacks explains the quarantine of one of its suspects: all of its crashes, or, if both are
// parts, so many that those would not suffice whose servers may have run other requests.
func (r *Registry) explainedWithout(e *entry, suspects []Suspect) bool {
	for suspect, other := range r.entries {
		if !other.quarantined || slices.Contains(suspects, suspect) {
			continue
		}
		left := e.record.without(other.record)
		if len(left.Crashes) == 0 || !suspect.isRequest() && !left.hasWorking() && !left.quarantined() {
			return true
		}
	}
	return false
}

// never is the moment of an event that doesn't come.
const never = crlclock.Instant(math.MaxInt64)

// nextProbe returns the earliest moment of the next probe.
func (e *entry) nextProbe() crlclock.Instant {
	if e.record.Suspect.isRequest() && e.record.Probes >= maxRequestProbes {
		return never
	}
	pause := firstProbe
	for range e.record.Probes {
		pause = min(pause*probeFactor, maxProbeTime)
	}
	return e.changedAt.Add(pause)
}

// retryAfter returns the time after which a caller is told to return when the next probe is due in the given time.
func retryAfter(due time.Duration) time.Duration {
	return min(max(due, minRetryAfter), maxRetryAfter) + rand.N(retrySpread)
}

// touch records a change of an entry at this daemon, which is to be written to the store. The caller holds the lock.
func (r *Registry) touch(e *entry, now crlclock.Instant) {
	e.changedAt, e.dirty = now, true
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Observation is what a daemon saw of the crash of a server.
type Observation struct {
	Crash Crash // without its round
	At    crlclock.Instant
	// Apart is whether the server did not crash together with others. Then an earlier crash of the same request is one of an earlier round.
	Apart bool
}

// RecordCrash records that a server crashed that ran a request with the given suspects.
func (r *Registry) RecordCrash(o Observation, suspects []Suspect) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range suspects[:min(len(suspects), maxSuspects)] {
		if p == "" || len(p) > maxPartBytes || r.refutes(p, o.Crash.Moment, o.At) {
			continue
		}
		e := r.entry(p, now)
		if e == nil || e.record.has(o.Crash) {
			continue
		}
		e.cleared = false
		crash := o.Crash
		crash.Round = e.round(o)
		r.update(e, e.record.merge(Record{Crashes: []Crash{crash}}), o.At, "servers crashed")
		r.touch(e, now)
	}
}

// refutes reports whether an answer just before a crash shows that a suspect, which others use all the time, hardly caused it. The caller holds the lock.
func (r *Registry) refutes(suspect Suspect, moment Moment, at crlclock.Instant) bool {
	answer, ok := r.answers[suspect]
	if !ok || moment == MomentBody && !answer.completed {
		return false
	}
	if moment == MomentBody {
		return at.Sub(answer.completedAt) < startedWithin
	}
	return at.Sub(answer.startedAt) < startedWithin
}

// round returns the round of a crash that is not on record.
func (e *entry) round(o Observation) int {
	newest := e.record.newestRound()
	follows := o.Apart && slices.ContainsFunc(e.record.Crashes, func(c Crash) bool { return c.Request == o.Crash.Request && c.Round == newest })
	if len(e.record.Crashes) == 0 || follows || o.At.Sub(e.roundAt) >= roundTime {
		return min(newest+1, maxRound)
	}
	return newest
}

// update replaces an entry's record, as of a moment, and reports a transition. The caller holds the lock.
func (r *Registry) update(e *entry, record Record, at crlclock.Instant, cause string) {
	if len(e.record.Crashes) == 0 || record.newestRound() > e.record.newestRound() {
		e.roundAt = at
	}
	before := e.quarantined
	e.record, e.quarantined = record, record.quarantined()
	if e.quarantined != before {
		r.config.OnTransition(Transition{Record: record, Quarantined: e.quarantined, Cause: cause})
	}
}

// entry returns the entry of a suspect, and adds one if there is none. If there are maxEntries, the one that changed first is evicted of those that
// are neither quarantined nor in the store, where nobody would delete it; nil if there is none. The caller holds the lock.
func (r *Registry) entry(suspect Suspect, now crlclock.Instant) *entry {
	if e, ok := r.entries[suspect]; ok {
		return e
	}
	if len(r.entries) >= maxEntries {
		var oldest *entry
		for _, e := range r.entries {
			if !e.quarantined && !e.stored && (oldest == nil || e.changedAt < oldest.changedAt) {
				oldest = e
			}
		}
		if oldest == nil {
			return nil
		}
		delete(r.entries, oldest.record.Suspect)
	}
	e := &entry{record: Record{Suspect: suspect}, changedAt: now}
	r.entries[suspect] = e
	return e
}

// RecordStart records that an answer to a request with the given suspects has begun, which clears those on which servers crash before that.
func (r *Registry) RecordStart(suspects []Suspect) {
	r.recordAnswer(suspects, func(a *answerLog, now crlclock.Instant) { a.startedAt = now }, func(e *entry, now crlclock.Instant) {
		if e.record.refutedByStart() {
			r.clear(e, now, "an answer has begun")
			e.clearedByStart = true
		}
	})
}

// RecordCompletion records that an answer to a request with the given suspects is complete, which clears them.
func (r *Registry) RecordCompletion(suspects []Suspect) {
	complete := func(a *answerLog, now crlclock.Instant) {
		*a = answerLog{startedAt: now, completedAt: now, completed: true}
	}
	r.recordAnswer(suspects, complete, func(e *entry, now crlclock.Instant) { r.clear(e, now, "an answer is complete") })
}

// recordAnswer notes an answer to a request with the given suspects and judges those that have a record.
func (r *Registry) recordAnswer(suspects []Suspect, note func(*answerLog, crlclock.Instant), judge func(*entry, crlclock.Instant)) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range suspects[:min(len(suspects), maxSuspects)] {
		answer, ok := r.answers[p]
		if ok || r.hasRoomForAnswer(now) {
			note(&answer, now)
			r.answers[p] = answer
		}
		if e := r.entries[p]; e != nil && !e.cleared {
			judge(e, now)
		}
	}
}

// hasRoomForAnswer reports whether the answers of one more suspect can be noted, for which it forgets old ones. The caller holds the lock.
func (r *Registry) hasRoomForAnswer(now crlclock.Instant) bool {
	if len(r.answers) >= maxAnswers {
		for p, answer := range r.answers {
			if now.Sub(answer.startedAt) >= startedWithin {
				delete(r.answers, p)
			}
		}
	}
	return len(r.answers) < maxAnswers
}

// clear forgets the crashes of a suspect and has its record deleted. The caller holds the lock.
func (r *Registry) clear(e *entry, now crlclock.Instant, cause string) {
	r.update(e, Record{Suspect: e.record.Suspect}, now, cause)
	if !e.stored {
		delete(r.entries, e.record.Suspect)
		return
	}
	e.cleared, e.clearedByStart = true, false
	r.touch(e, now)
}

// Apply merges a record that the store has, and Remove what it no longer has.
func (r *Registry) Apply(record Record) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(record.Suspect, now)
	if e == nil {
		return
	}
	e.stored, e.inStore = true, record.Crashes
	if e.cleared && (!e.clearedByStart || record.refutedByStart()) {
		return // Its record is deleted next.
	}
	e.cleared = false
	merged := e.record.merge(record)
	e.dirty = !slices.Equal(merged.Crashes, keep(record.Crashes)) || merged.Probes > record.Probes
	e.changedAt = now
	r.update(e, merged, now, "servers crashed, as another daemon observed")
}

// Remove removes the record of a suspect that the store no longer has. Crashes that this daemon has yet to write stay: whoever deleted the record did not know
// of them.
func (r *Registry) Remove(suspect Suspect) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[suspect]
	if !ok {
		return
	}
	left := Record{Suspect: suspect}
	if !e.cleared {
		left.Crashes = slices.DeleteFunc(slices.Clone(e.record.Crashes), func(c Crash) bool { return slices.ContainsFunc(e.inStore, c.is) })
	}
	r.update(e, left, now, "another daemon released it")
	e.stored, e.inStore = false, nil
	if len(left.Crashes) == 0 {
		delete(r.entries, suspect)
		return
	}
	r.touch(e, now)
}

// Idle reports whether nothing is suspected, so that callers need not find the suspects of a request.
func (r *Registry) Idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries) == 0
}

// Suspects reports whether a crash of the suspect is on record.
func (r *Registry) Suspects(suspect Suspect) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[suspect]
	return e != nil && len(e.record.Crashes) > 0
}

// Changed returns a channel that gets a token when Due may return changes.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// Change is a change of the store's records that is due.
type Change struct {
	Record Record
	Delete bool // the record is to be deleted
	Urgent bool // the suspect is quarantined, or a request with it has crashed one server after the other, so that other daemons should learn of it at once
}

// Due returns the changes that this daemon should write to the store, the urgent ones first. They stay due until Apply or Remove shows them.
func (r *Registry) Due() (changes []Change) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for suspect, e := range r.entries {
		limit := suspicionTime
		if e.quarantined {
			limit = quarantineTime
		}
		if !e.dirty && now.Sub(e.changedAt) > limit && r.config.Owns(suspect) {
			r.clear(e, now, "no request for a long time")
		}
		if e.dirty {
			changes = append(changes, Change{Record: e.record, Delete: e.cleared, Urgent: e.quarantined || e.record.hasRepeat()})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		switch {
		case a.Urgent == b.Urgent:
			return 0
		case a.Urgent:
			return -1
		default:
			return 1
		}
	})
	return changes
}

// Quarantined returns the number of suspects in quarantine.
func (r *Registry) Quarantined() (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.quarantined {
			count++
		}
	}
	return count
}
