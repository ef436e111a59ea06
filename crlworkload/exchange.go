package crlworkload

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	// sendInterval is the shortest time between two messages to a source. Calls are held for half a second, but end at once when records
	// change.
	sendInterval = 400 * time.Millisecond
	// wakeTime is the time for which a daemon without load reports that it has none, after a source stated that others have some.
	wakeTime = 3 * time.Second
	// probeInterval is the time between two calls by which the second reader, which otherwise calls nobody, learns whether the daemons of
	// the first reader have load.
	probeInterval = 2 * time.Second
	// maxFollowers bounds the memory for reports. No daemon of the relay tree has as many followers.
	maxFollowers = 1024
)

// sentState is what was sent to the source last.
type sentState struct {
	at       crlclock.Instant
	content  []byte // nil if the source may not have it
	sequence uint64 // of the message that held the content
	load     bool   // whether the content held any load
}

// Request returns the next message to the source, nil for none: the load of this daemon and its followers.
func (t *Table) Request(isNew bool) json.RawMessage {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchangedAt = now
	if isNew {
		t.sent = sentState{load: t.sent.load}
		t.sourceTakes, t.supplied = false, supplied{}
	}
	if !t.isExchanging() || !isNew && now.Sub(t.sent.at) < sendInterval {
		return nil
	}
	sum := t.collect(now, 0, false)
	t.addOwn(sum, now)
	t.limit(sum)
	sum.bound()
	if sum.isEmpty() && !t.sent.load && now >= t.awakeUntil {
		return nil
	}
	path := t.requestPath(isNew)
	if t.sourceTakes {
		return t.requestChanges(sum, path, now)
	}
	preamble, content := encodeLoad(sum, 0)
	t.sent.at = now
	if bytes.Equal(content, t.sent.content) {
		h := t.nextHeader(messageSame)
		h.same, h.known, h.path = t.sent.sequence, digestOf(t.sourceKeys), path
		return encodeMessage(h, nil)
	}
	h := t.nextHeader(messageLoad)
	h.known, h.path = digestOf(t.sourceKeys), path
	t.sent = sentState{at: now, content: content, sequence: h.sequence, load: !sum.isEmpty()}
	return encodeMessage(h, append(preamble, content...))
}

// requestChanges returns what changed in the sum since the latest message to a source that has it, and the whole sum otherwise.
func (t *Table) requestChanges(sum *load, path []uint64, now crlclock.Instant) json.RawMessage {
	base := uint64(0)
	if t.confirmed && t.sent.content != nil {
		base = t.supplied.sequence
	}
	t.confirmed = false
	h := t.nextHeader(messageChanges)
	h.path = path
	preamble, content := t.supplied.encode(sum, h.sequence, base, sum.daemons)
	t.sent = sentState{at: now, content: content, sequence: h.sequence, load: !sum.isEmpty()}
	return encodeMessage(h, append(preamble, content...))
}

// isExchanging reports whether there is anybody to exchange load with, and any service with load.
func (t *Table) isExchanging() bool { return t.config.Daemons() > 1 && t.config.Active() }

// nextHeader returns the header of this daemon's next message.
func (t *Table) nextHeader(kind messageKind) header {
	t.sequence++
	return header{kind: kind, daemon: t.self, incarnation: t.incarnation, path: []uint64{t.ownRank()}, sequence: t.sequence}
}

// Pending reports whether this daemon or a follower has load, or others were found to have some lately. It also does every probeInterval, to
// find out.
func (t *Table) Pending() bool {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isExchanging() {
		return false
	}
	if len(t.own) > 0 || len(t.flows) > 0 || t.sent.load || now < t.awakeUntil || now.Sub(t.exchangedAt) >= probeInterval {
		return true
	}
	for _, r := range t.followers {
		if !r.load.isEmpty() && !r.isDropped(now) {
			return true
		}
	}
	return false
}

// Reply applies the message of a follower and returns the reply.
func (t *Table) Reply(request json.RawMessage) json.RawMessage { return t.Receive(request)() }

// Receive applies the message of a follower, and returns the function that returns the reply, nil for none: the load of all daemons but that
// follower and its own followers. A follower that sent no message is told if there is any load.
func (t *Table) Receive(request json.RawMessage) (reply func() json.RawMessage) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if request == nil {
		return t.wake
	}
	h, l, err := decodeMessage(request, nil)
	if err != nil {
		t.countDrop(err)
		return t.wake
	}
	old := t.followers[h.daemon]
	r := &report{load: l, receivedAt: now, incarnation: h.incarnation, sequence: h.sequence, full: h.sequence}
	if h.kind == messageSame && old != nil && old.incarnation == h.incarnation && old.full == h.same {
		r.load, r.full = old.load, old.full
	}
	if old != nil && old.incarnation == h.incarnation {
		r.supplied = old.supplied
	}
	if h.base != 0 && !r.complete(h, old) {
		t.drops.Outdated++
		return t.wake
	}
	switch {
	case r.load == nil:
		return t.wake // Makes the follower send its sum.
	case old == nil && len(t.followers) >= maxFollowers:
		t.drops.Excess++
		return t.wake
	case !t.maySupply(h.rank(), now):
		t.drops.Misdirected++
		return t.wake
	case !t.accepts(h, r, old):
		return t.wake
	}
	t.followers[h.daemon], t.total = r, nil
	return func() json.RawMessage { return t.replyTo(h) }
}

// complete adds the rest of a sum to a report of changes, and reports whether it is known: the sender's message that they refer to.
func (r *report) complete(h header, old *report) bool {
	if old == nil || old.load == nil || old.incarnation != h.incarnation || old.full != h.base {
		return false
	}
	return r.load.apply(old.load.servers)
}

// replyTo returns the reply to a follower.
func (t *Table) replyTo(follower header) json.RawMessage {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isExchanging() {
		return nil
	}
	sum := t.collect(now, follower.daemon, true)
	t.addOwn(sum, now)
	t.limit(sum)
	sum.bound()
	held, takesChanges := follower.changesHeld()
	report := t.followers[follower.daemon]
	if !takesChanges || report == nil {
		preamble, content := encodeLoad(sum, follower.known)
		h := t.nextHeader(messageLoad)
		h.path = append(t.sourcePath(now), h.path...)
		return encodeMessage(h, append(preamble, content...))
	}
	h := t.nextHeader(messageChanges)
	h.path = append(t.sourcePath(now), h.path...)
	preamble, content := report.supplied.encode(sum, h.sequence, held, report.load.daemons)
	return encodeMessage(h, append(preamble, content...))
}

// wake returns a message that there is load, nil if there is none.
func (t *Table) wake() json.RawMessage {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isExchanging() || len(t.own) == 0 && len(t.flows) == 0 && t.others(now).isEmpty() {
		return nil
	}
	return encodeMessage(t.nextHeader(messageWake), nil)
}

// Learn applies the reply of the source.
func (t *Table) Learn(reply json.RawMessage) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h, l, err := decodeMessage(reply, t.sourceKeys)
	t.sourceKeys = nil
	if err != nil {
		t.countDrop(err)
		return
	}
	if h.kind != messageLoad && h.kind != messageChanges {
		t.awakeUntil, t.sent.content = now.Add(wakeTime), nil
		return
	}
	t.sourceKeys = l.keys
	r := &report{load: l, receivedAt: now, incarnation: h.incarnation, sequence: h.sequence, full: h.sequence, path: h.path}
	if slices.Contains(h.path, t.ownRank()) {
		t.drops.Looped++
		return
	}
	old := t.source
	if h.daemon != t.sourceKey {
		old = nil
	}
	if h.base != 0 && !r.complete(h, old) {
		t.drops.Outdated++
		return
	}
	if !t.accepts(h, r, old) {
		return
	}
	t.sourceTakes, t.confirmed = h.kind == messageChanges, true
	t.source, t.sourceKey, t.total = r, h.daemon, nil
	if !l.isEmpty() {
		t.awakeUntil = now.Add(wakeTime)
	}
}

// ownRank returns the rank of this daemon as in messages.
func (t *Table) ownRank() uint64 { return uint64(max(t.config.Rank(), 0)) }

// sourcePath returns the path of the source's newest reply, nil if there is no recent one.
func (t *Table) sourcePath(now crlclock.Instant) []uint64 {
	if t.source == nil || now.Sub(t.source.receivedAt) > fullWeightTime {
		return nil
	}
	return slices.Clone(t.source.path)
}

// maySupply reports whether this daemon may exchange load with a follower of the given rank. One with an earlier rank, which has not found a
// better source, is accepted if this daemon's own load reaches the root of the tree without it.
func (t *Table) maySupply(follower uint64, now crlclock.Instant) bool {
	own, path := t.ownRank(), t.sourcePath(now)
	if own == 0 || follower == 0 || slices.Contains(path, follower) {
		return false
	}
	return own < follower || len(path) > 0 && path[0] == 1
}

// accepts reports whether a report may replace an older one of the same daemon, and counts it otherwise.
func (t *Table) accepts(h header, r, old *report) bool {
	switch {
	case h.daemon == t.self || r.load.depth > maxDepth:
		t.drops.Looped++
	// Daemons may know of different numbers of daemons for a time.
	case r.load.daemons > 2*float64(max(t.config.Daemons(), 1)):
		t.drops.Implausible++
	case r.load.meanAgeOrZero() >= maxAge, old != nil && old.incarnation == h.incarnation && old.sequence >= h.sequence:
		t.drops.Outdated++
	default:
		return true
	}
	return false
}

// countDrop counts a message that was not decoded.
func (t *Table) countDrop(err error) {
	switch {
	case errors.Is(err, errOtherVersion):
		t.drops.OtherVersion++
	case errors.Is(err, errImplausible):
		t.drops.Implausible++
	default:
		t.drops.Malformed++
	}
}
