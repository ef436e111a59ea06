package crlmember

import (
	"slices"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=Status -trimprefix=Status -transform=kebab -json -text -output=status_enumer.go

// Status is the last known status of a daemon.
type Status int

// Statuses of a daemon. Among updates with the same sequence, the one with the higher status takes precedence.
const (
	StatusAlive   Status = iota
	StatusSuspect        // did not answer a probe, and has SuspectTimeout to refute the suspicion
	StatusGone           // did not refute the suspicion in time, is known to have ended, or is leaving
)

// Member is one run of a daemon, from the start of its process to its end.
type Member struct {
	Name        crlid.Daemon      `json:"n" cbor:"1,keyasint"`
	Incarnation crlid.Incarnation `json:"i" cbor:"2,keyasint"`
	Address     string            `json:"a" cbor:"3,keyasint"` // IP address and port
	Domain      crlid.Domain      `json:"d" cbor:"4,keyasint"`
}

// Same reports whether both are the same run of the same daemon.
func (m Member) Same(o Member) bool { return m.Name == o.Name && m.Incarnation == o.Incarnation }

// MemberState is the state of a member as daemons send it to each other. Among states of the same incarnation, the one with the
// higher sequence takes precedence.
type MemberState struct {
	Member
	Sequence uint64 `json:"s"` // raised only by the member itself
	Status   Status `json:"t"`
}

// TableConfig configures a Table.
type TableConfig struct {
	Self           Member
	SuspectTimeout time.Duration // how long a suspected member has to refute the suspicion
	EvictAfter     time.Duration // how long a gone member is kept in the table
	Repeats        int           // how many heartbeats carry each update
}

// Table holds the last known state of all other daemons.
type Table struct {
	config         TableConfig
	sequence       uint64
	entries        map[crlid.Daemon]*entry
	ended          map[crlid.Incarnation]bool      // runs that are known to have no process any more
	logged         map[crlid.Incarnation]loggedRun // runs that a roster in the log names
	urgentProbes   []crlid.Daemon                  // to be probed before all others
	ring           []crlid.Daemon                  // order of probes and of background updates
	lastProbe      int                             // index in ring of the latest daemon considered for a probe
	lastBackground int                             // index in ring of the latest background update
	leaving        bool                            // whether Leave was called
}

// entry is the state of one other daemon.
type entry struct {
	state       MemberState
	statusSince time.Time // when the member got its current status
	firstSeen   time.Time // when the incarnation was first seen
	sends       int       // heartbeats that carried the state since it last changed
}

// loggedRun is a run that a roster in the log names.
type loggedRun struct {
	name      crlid.Daemon
	firstSeen time.Time
}

// NewTable returns a Table without other daemons.
func NewTable(config TableConfig) *Table {
	return &Table{
		config: config, entries: make(map[crlid.Daemon]*entry),
		ended: make(map[crlid.Incarnation]bool), logged: make(map[crlid.Incarnation]loggedRun),
	}
}

// Self returns this daemon's own state.
func (t *Table) Self() MemberState {
	state := MemberState{Member: t.config.Self, Sequence: t.sequence}
	if t.leaving {
		state.Status = StatusGone
	}
	return state
}

// RecordCall applies the state that a member sent of itself in a call. The call may have been in flight for long, so it is no
// evidence that another run of the member has ended.
func (t *Table) RecordCall(state MemberState, now time.Time) {
	if state.Name == t.config.Self.Name || t.ended[state.Incarnation] {
		return
	}
	e, ok := t.entries[state.Name]
	if ok && e.state.Incarnation != state.Incarnation {
		// Incarnations have no order: a probe has to find out which one is running.
		t.urgentProbes = append(t.urgentProbes, state.Name)
		return
	}
	if ok {
		// The sequence never decreases, so a lower one in the call is outdated.
		state.Sequence = max(state.Sequence, e.state.Sequence)
	}
	t.set(state, now)
}

// RecordReply applies the state in the reply to a probe. Every other run of the member that was known before the probe was sent
// has ended.
func (t *Table) RecordReply(state MemberState, sentAt, now time.Time) {
	if state.Name == t.config.Self.Name || t.ended[state.Incarnation] {
		return
	}
	t.markOthersEnded(state.Name, state.Incarnation, sentAt)
	if e, ok := t.entries[state.Name]; ok && e.state.Incarnation != state.Incarnation && !t.ended[e.state.Incarnation] {
		// The known run was first seen after the probe was sent, so it may be later than the one that replied.
		return
	}
	if e, ok := t.entries[state.Name]; ok && e.state.Incarnation == state.Incarnation {
		state.Sequence = max(state.Sequence, e.state.Sequence)
	}
	t.set(state, now)
}

// RecordRefusal applies a refused connection: no process listened at the daemon's address at some moment after sentAt, so every
// run of the daemon that was known before has ended.
func (t *Table) RecordRefusal(name crlid.Daemon, sentAt, now time.Time) {
	t.markOthersEnded(name, "", sentAt)
	if e, ok := t.entries[name]; ok && t.ended[e.state.Incarnation] {
		t.RecordEnd(e.state.Member, now)
	}
}

// RecordLogged records that a roster in the log names the run, so that later probes can establish its end.
func (t *Table) RecordLogged(member Member, now time.Time) {
	if _, ok := t.logged[member.Incarnation]; ok || member.Same(t.config.Self) {
		return
	}
	t.logged[member.Incarnation] = loggedRun{name: member.Name, firstSeen: now}
	// Only one process runs under a name at a time, so another run under this daemon's name is an earlier one.
	if member.Name == t.config.Self.Name {
		t.ended[member.Incarnation] = true
	}
}

// markOthersEnded marks as ended the runs of a daemon that were known before a probe was sent, except for the run
// answered, which replied to the probe and is empty if none did.
func (t *Table) markOthersEnded(name crlid.Daemon, answered crlid.Incarnation, sentAt time.Time) {
	for incarnation, run := range t.logged {
		if run.name == name && incarnation != answered && run.firstSeen.Before(sentAt) {
			t.ended[incarnation] = true
		}
	}
	e, ok := t.entries[name]
	if ok && e.state.Incarnation != answered && e.firstSeen.Before(sentAt) {
		t.ended[e.state.Incarnation] = true
	}
}

// MergeUpdate applies an update that a peer sent. If it states this run of this daemon as suspected or gone, the daemon refutes it.
func (t *Table) MergeUpdate(state MemberState, now time.Time) {
	if state.Name == t.config.Self.Name {
		t.refute(state)
		return
	}
	if t.ended[state.Incarnation] {
		return
	}
	e, ok := t.entries[state.Name]
	switch {
	case !ok:
		if state.Status == StatusAlive {
			t.set(state, now)
		}
	case e.state.Incarnation != state.Incarnation:
		// Incarnations have no order: only the daemon itself establishes which one is running, unless the known one is gone.
		if e.state.Status == StatusGone && state.Status == StatusAlive {
			t.set(state, now)
		}
	case state.Sequence > e.state.Sequence,
		state.Sequence == e.state.Sequence && state.Status > e.state.Status:
		t.set(state, now)
	}
}

// refute raises this daemon's sequence above that of an update that states this run as suspected or gone, so that its own state
// takes precedence. It does nothing if the daemon is leaving.
func (t *Table) refute(state MemberState) {
	if !t.leaving && state.Incarnation == t.config.Self.Incarnation && state.Status != StatusAlive && state.Sequence >= t.sequence {
		t.sequence = state.Sequence + 1
	}
}

// RecordFailure applies the failure of a probe that the member did not answer: it becomes suspected.
func (t *Table) RecordFailure(member Member, now time.Time) {
	e, ok := t.entries[member.Name]
	if !ok || e.state.Incarnation != member.Incarnation || e.state.Status != StatusAlive {
		return
	}
	state := e.state
	state.Status = StatusSuspect
	t.set(state, now)
}

// RecordEnd marks the run as gone for good: it is known that its process no longer exists.
func (t *Table) RecordEnd(member Member, now time.Time) {
	t.ended[member.Incarnation] = true
	e, ok := t.entries[member.Name]
	if ok && e.state.Incarnation == member.Incarnation {
		state := e.state
		state.Status = StatusGone
		t.set(state, now)
	}
}

// HasEnded reports whether the run is known to have ended, rather than only to be unreachable.
func (t *Table) HasEnded(member Member) bool { return t.ended[member.Incarnation] }

// Advance turns suspected members that did not refute the suspicion within SuspectTimeout to gone, and evicts those that have
// been gone for EvictAfter.
func (t *Table) Advance(now time.Time) {
	for name, e := range t.entries {
		age := now.Sub(e.statusSince)
		switch {
		case e.state.Status == StatusSuspect && age >= t.config.SuspectTimeout:
			state := e.state
			state.Status = StatusGone
			t.set(state, now)
		case e.state.Status == StatusGone && age >= t.config.EvictAfter:
			delete(t.entries, name)
			t.ring = slices.DeleteFunc(t.ring, func(n crlid.Daemon) bool { return n == name })
		}
	}
}

// Status returns the last known status of a run, [StatusGone] for one that is not in the table.
func (t *Table) Status(member Member) Status {
	if member.Same(t.config.Self) {
		return StatusAlive
	}
	e, ok := t.entries[member.Name]
	if !ok || e.state.Incarnation != member.Incarnation {
		return StatusGone
	}
	return e.state.Status
}

// Members returns the daemons that are present, that is, alive or suspected, sorted by name. They include this daemon unless it
// is leaving.
func (t *Table) Members() []Member {
	var members []Member
	if !t.leaving {
		members = append(members, t.config.Self)
	}
	for _, e := range t.entries {
		if e.state.Status != StatusGone {
			members = append(members, e.state.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return members
}

// NextProbe returns the member to probe next, each in turn; ok is false if none is present.
func (t *Table) NextProbe() (member Member, ok bool) {
	for len(t.urgentProbes) > 0 {
		name := t.urgentProbes[0]
		t.urgentProbes = t.urgentProbes[1:]
		if e, ok := t.entries[name]; ok {
			return e.state.Member, true
		}
	}
	for range t.ring {
		t.lastProbe = (t.lastProbe + 1) % len(t.ring)
		if e := t.entries[t.ring[t.lastProbe]]; e.state.Status != StatusGone {
			return e.state.Member, true
		}
	}
	return Member{}, false
}

// backgroundUpdates is the number of updates in a digest that go through all daemons in turn, whether or not they changed.
const backgroundUpdates = 1

// Digest returns at most limit updates for a heartbeat: the changed states, those that were sent least often first, and then
// background updates.
func (t *Table) Digest(limit int) []MemberState {
	var pending []*entry
	for _, e := range t.entries {
		if e.sends < t.config.Repeats {
			pending = append(pending, e)
		}
	}
	// Updates with the fewest sends come first, and updates with equally many sends in order of the member's name.
	slices.SortFunc(pending, func(a, b *entry) int {
		return 2*(a.sends-b.sends) + strings.Compare(string(a.state.Name), string(b.state.Name))
	})
	var digest []MemberState
	for _, e := range pending[:min(len(pending), limit)] {
		e.sends++
		digest = append(digest, e.state)
	}
	for range min(backgroundUpdates, len(t.ring), limit-len(digest)) {
		t.lastBackground = (t.lastBackground + 1) % len(t.ring)
		digest = append(digest, t.entries[t.ring[t.lastBackground]].state)
	}
	return digest
}

// set stores the state of a member and adds the member to the ring if it is new.
func (t *Table) set(state MemberState, now time.Time) {
	e, ok := t.entries[state.Name]
	if !ok {
		e = &entry{}
		t.entries[state.Name] = e
		t.ring = append(t.ring, state.Name)
	}
	if !ok || e.state.Status != state.Status || e.state.Incarnation != state.Incarnation {
		e.statusSince = now
	}
	if e.state.Incarnation != state.Incarnation {
		e.firstSeen = now
	}
	if e.state != state {
		e.sends = 0
	}
	e.state = state
}

// IsPresent reports whether the daemon is in the table and not gone; it may be suspected.
func (t *Table) IsPresent(name crlid.Daemon) bool {
	e, ok := t.entries[name]
	return ok && e.state.Status != StatusGone
}

// RecordVMRemoval marks all known runs of a daemon as ended, because the platform no longer lists its VM. It does nothing while
// heartbeats show the daemon as alive.
func (t *Table) RecordVMRemoval(name crlid.Daemon, now time.Time) {
	e, ok := t.entries[name]
	if ok && e.state.Status == StatusAlive {
		return
	}
	t.markOthersEnded(name, "", now)
	if ok {
		t.RecordEnd(e.state.Member, now)
	}
}

// Leave makes this daemon announce itself as gone, so that rosters no longer include it.
func (t *Table) Leave() {
	t.sequence++
	t.leaving = true
}
