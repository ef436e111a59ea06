package crlrollout

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// versionHistory holds what is known of a service's versions beyond its current roll-out.
type versionHistory struct {
	ordered map[crlid.Version]crlid.Position // the newest order that named the version as its target
	barred  map[crlid.Version]crlid.Position // the order whose roll-out was rolled back, of versions that weren't ordered again
	set     *barredSet                       // barred, for plans; nil for none
}

// barredSet is an immutable set of versions that get no requests.
type barredSet struct{ versions map[crlid.Version]bool }

// has reports whether the set has a version. The nil set is empty.
func (b *barredSet) has(version crlid.Version) bool { return b != nil && b.versions[version] }

// maxVersions bounds the versions that a versionHistory remembers. Servers of those with older orders have long ended.
const maxVersions = 16

// remember records an order's position for a version in one of the maps of a versionHistory.
func remember(positions map[crlid.Version]crlid.Position, version crlid.Version, position crlid.Position) {
	positions[version] = position
	if len(positions) <= maxVersions {
		return
	}
	oldest := version
	for v, p := range positions {
		if p.Before(positions[oldest]) {
			oldest = v
		}
	}
	delete(positions, oldest)
}

// history returns the history of a service's versions, a new one if there is none. t.mu must be held.
func (t *Tracker) history(service crlid.Service) *versionHistory {
	h, ok := t.histories[service]
	if !ok {
		h = &versionHistory{ordered: make(map[crlid.Version]crlid.Position), barred: make(map[crlid.Version]crlid.Position)}
		t.histories[service] = h
	}
	return h
}

// bar records that the roll-out of an order was rolled back. Its target gets no requests until a later order names it. t.mu must be held.
func (t *Tracker) bar(service crlid.Service, version crlid.Version, order crlid.Position) {
	h := t.history(service)
	if ordered, ok := h.ordered[version]; ok && order.Before(ordered) {
		return
	}
	if known, ok := h.barred[version]; ok && !known.Before(order) {
		return
	}
	remember(h.barred, version, order)
	t.updateBarred(h)
	if r, ok := t.rollouts[service]; ok && r.order.Target == version && r.assessable() {
		r.verdict = verdictLearned
	}
}

// barUnordered bars a version of which it isn't known which order's roll-out was rolled back. Daemons that have read an order for it don't adopt this. t.mu must be
// held.
func (t *Tracker) barUnordered(service crlid.Service, version crlid.Version) {
	h := t.history(service)
	if _, ok := h.barred[version]; !ok {
		remember(h.barred, version, crlid.NoPosition)
		t.updateBarred(h)
	}
}

// unbar records that an order names a version as its target. t.mu must be held.
func (t *Tracker) unbar(service crlid.Service, version crlid.Version, order crlid.Position) {
	h := t.history(service)
	if known, ok := h.ordered[version]; !ok || known.Before(order) {
		remember(h.ordered, version, order)
	}
	if barred, ok := h.barred[version]; ok && barred.Before(order) {
		delete(h.barred, version)
		t.updateBarred(h)
	}
}

// updateBarred publishes the barred versions of a service for plans.
func (t *Tracker) updateBarred(h *versionHistory) {
	t.barredChanges++
	h.set = nil
	if len(h.barred) == 0 {
		return
	}
	h.set = &barredSet{versions: make(map[crlid.Version]bool, len(h.barred))}
	for version := range h.barred {
		h.set.versions[version] = true
	}
}

// barStatus bars the target of a status, unless the status is that of the service's current order or of another state. t.mu must be held.
func (t *Tracker) barStatus(status Status) {
	if r, ok := t.rollouts[status.Service]; status.State != StateRolledBack || ok && r.order.Target == status.Target {
		return
	}
	t.bar(status.Service, status.Target, t.history(status.Service).ordered[status.Target])
}

// isRolledBack reports whether the target gets no requests. A roll-out that another daemon has completed isn't, whatever this one found.
func (r *rollout) isRolledBack() bool {
	return r.status.State != StateCompleted && (r.verdict != verdictOpen || r.status.State == StateRolledBack)
}

// tellsRolledBack reports whether other daemons are told that the target gets no requests. An inherited status is not passed on: all daemons read it, and those that
// ran before the order know which order it is of.
func (r *rollout) tellsRolledBack() bool {
	return r.isRolledBack() && (r.verdict != verdictOpen || !r.statusInherited)
}

// settle records that the roll-out of an order was completed: its target may be the only version that still runs, so no bar of that order counts any more.
// t.mu must be held.
func (t *Tracker) settle(order Order) { t.unbar(order.Service, order.Target, order.Position.Next()) }

// BarredVersion is a version that was rolled back, in messages between daemons.
type BarredVersion struct {
	Service crlid.Service `json:"service"`
	Version crlid.Version `json:"version"`
	Order   crlid.Offset  `json:"order"` // of the order whose roll-out was rolled back
	Era     crlid.Era     `json:"era,omitempty"`
}

// barred returns all versions that were rolled back, and the number of changes of those that are barred.
func (t *Tracker) barred() (versions []BarredVersion, changes int) {
	versions = []BarredVersion{} // An empty list is a message, null is none.
	t.mu.Lock()
	defer t.mu.Unlock()
	add := func(service crlid.Service, version crlid.Version, order crlid.Position) {
		versions = append(versions, BarredVersion{service, version, order.Offset, order.Era})
	}
	for _, service := range slices.Sorted(maps.Keys(t.histories)) {
		h := t.histories[service]
		for _, version := range slices.Sorted(maps.Keys(h.barred)) {
			add(service, version, h.barred[version])
		}
		if r, ok := t.rollouts[service]; ok && r.tellsRolledBack() {
			add(service, r.order.Target, r.order.Position)
		}
	}
	return versions, t.barredChanges
}

// learnBarred applies what another daemon knows of versions that were rolled back.
func (t *Tracker) learnBarred(versions []BarredVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range versions {
		t.bar(v.Service, v.Version, crlid.Position{Era: v.Era, Offset: v.Order})
	}
}

// BarredExchange tells daemons which versions were rolled back before the current order, for those that start afterwards. It implements crlrelay.Exchange.
type BarredExchange struct {
	tracker   *Tracker
	now       crlclock.Clock
	mu        sync.Mutex // guards the fields below
	changes   int        // as of changedAt
	changedAt crlclock.Instant
}

// NewBarredExchange returns the exchange of a tracker.
func NewBarredExchange(tracker *Tracker, now crlclock.Clock) *BarredExchange {
	return &BarredExchange{tracker: tracker, now: now}
}

// barredRepeatTime is how long after a change each message has the barred versions, so that they arrive although calls fail.
const barredRepeatTime = 5 * time.Second

// message returns the barred versions if they have changed of late, or the other daemon doesn't know them; nil otherwise.
func (e *BarredExchange) message(isNew bool) json.RawMessage {
	versions, changes := e.tracker.barred()
	e.mu.Lock()
	defer e.mu.Unlock()
	if changes != e.changes {
		e.changes, e.changedAt = changes, e.now()
	}
	hasChanged := e.changedAt > 0 && e.now().Sub(e.changedAt) < barredRepeatTime
	if !isNew && !hasChanged {
		return nil
	}
	message, err := json.Marshal(versions)
	if err != nil {
		return nil // Names of any content can be encoded.
	}
	return message
}

// Request returns the message for the next call to a source.
func (e *BarredExchange) Request(isNew bool) json.RawMessage { return e.message(isNew) }

// Reply applies the message of a follower and returns the reply. A follower that sends one may be new.
func (e *BarredExchange) Reply(request json.RawMessage) json.RawMessage {
	e.Learn(request)
	return e.message(request != nil)
}

// Pending returns false: messages wait for other calls.
func (e *BarredExchange) Pending() bool { return false }

// Learn applies a message. One that can't be decoded changes nothing.
func (e *BarredExchange) Learn(message json.RawMessage) {
	var versions []BarredVersion
	if message == nil || json.Unmarshal(message, &versions) != nil {
		return
	}
	for _, v := range versions {
		if v.Service == "" || v.Version == "" {
			return
		}
	}
	e.tracker.learnBarred(versions)
}
