package crlmember

import (
	"slices"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=Status -trimprefix=Status -transform=kebab -json -text -output=status_enumer.go

// Status is what is known of a daemon.
type Status int

// The statuses of a daemon.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusGone
)

// Member is one run of a daemon.
type Member struct {
	Name        crlid.Daemon      `json:"n" cbor:"1,keyasint"`
	Incarnation crlid.Incarnation `json:"i" cbor:"2,keyasint"`
	Address     string            `json:"a" cbor:"3,keyasint"` // Address is an IP number and a port.
	Domain      crlid.Domain      `json:"d" cbor:"4,keyasint"`
}

// Same reports whether both are the same run of the same daemon.
func (m Member) Same(o Member) bool { return m.Name == o.Name && m.Incarnation == o.Incarnation }

// News is a statement about a member; a higher sequence of the same incarnation goes first.
type MemberState struct {
	Member
	Sequence uint64 `json:"s"` // Sequence is raised only by the member itself.
	Status   Status `json:"t"`
}

// TableConfig configures a Table.
type TableConfig struct {
	Self           Member
	SuspectTimeout time.Duration // Suspect is how long a suspected member has to deny it.
	EvictAfter     time.Duration // Forget is how long a gone member is remembered.
	Repeats        int           // Repeats is how often each piece of news is told.
}

// Table holds what a daemon knows of all others.
type Table struct {
	config         TableConfig
	sequence       uint64
	entries        map[crlid.Daemon]*entry
	ended          map[crlid.Incarnation]bool
	logged         map[crlid.Incarnation]loggedRun
	urgent         []crlid.Daemon // urgent are to be probed before all others.
	ring           []crlid.Daemon // ring is the order of probes and of background news.
	nextProbe      int
	nextBackground int
	leaving        bool
}

type entry struct {
	state       MemberState
	statusSince time.Time // since is when the status began.
	firstSeen   time.Time // known is when the incarnation was first seen.
	sends       int
}

// claim is a run that the log names.
type loggedRun struct {
	name      crlid.Daemon
	firstSeen time.Time
}

// NewTable returns a table that knows no other daemon.
func NewTable(config TableConfig) *Table {
	return &Table{config: config, entries: make(map[crlid.Daemon]*entry), ended: make(map[crlid.Incarnation]bool), logged: make(map[crlid.Incarnation]loggedRun)}
}

// Self returns the daemon's own news.
func (t *Table) Self() MemberState {
	news := MemberState{Member: t.config.Self, Sequence: t.sequence}
	if t.leaving {
		news.Status = StatusGone
	}
	return news
}

// Heard takes in what a member said of itself in a call, which may have been on its way for long.
func (t *Table) RecordCall(news MemberState, now time.Time) {
	if news.Name == t.config.Self.Name || t.ended[news.Incarnation] {
		return
	}
	e, ok := t.entries[news.Name]
	if ok && e.state.Incarnation != news.Incarnation {
		// Incarnations have no order: a probe tells which one runs.
		t.urgent = append(t.urgent, news.Name)
		return
	}
	if ok {
		// The sequence never falls, and rumours of a lower one are past.
		news.Sequence = max(news.Sequence, e.state.Sequence)
	}
	t.set(news, now)
}

// Answered takes in the reply of a probe sent at a moment: every other run known by then has ended.
func (t *Table) RecordReply(news MemberState, sent, now time.Time) {
	if news.Name == t.config.Self.Name || t.ended[news.Incarnation] {
		return
	}
	t.markOthersEnded(news.Name, news.Incarnation, sent)
	if e, ok := t.entries[news.Name]; ok && e.state.Incarnation != news.Incarnation && !t.ended[e.state.Incarnation] {
		return
	}
	if e, ok := t.entries[news.Name]; ok && e.state.Incarnation == news.Incarnation {
		news.Sequence = max(news.Sequence, e.state.Sequence)
	}
	t.set(news, now)
}

// Refused takes in that at the address of the daemon no process listened after a moment.
func (t *Table) RecordRefusal(name crlid.Daemon, sent, now time.Time) {
	t.markOthersEnded(name, "", sent)
	if e, ok := t.entries[name]; ok && t.ended[e.state.Incarnation] {
		t.RecordEnd(e.state.Member, now)
	}
}

// Claim notes that the log names the run as a member, so that later probes can prove its end.
func (t *Table) RecordLogged(member Member, now time.Time) {
	if _, ok := t.logged[member.Incarnation]; ok || member.Same(t.config.Self) {
		return
	}
	t.logged[member.Incarnation] = loggedRun{name: member.Name, firstSeen: now}
	// One process runs under a name at a time, so a claim of this daemon's name is an earlier run.
	if member.Name == t.config.Self.Name {
		t.ended[member.Incarnation] = true
	}
}

// endOthers marks the runs of a daemon that were known before a probe and did not answer it.
func (t *Table) markOthersEnded(name crlid.Daemon, answered crlid.Incarnation, sent time.Time) {
	for incarnation, c := range t.logged {
		if c.name == name && incarnation != answered && c.firstSeen.Before(sent) {
			t.ended[incarnation] = true
		}
	}
	e, ok := t.entries[name]
	if ok && e.state.Incarnation != answered && e.firstSeen.Before(sent) {
		t.ended[e.state.Incarnation] = true
	}
}

// Rumour takes in what a peer said of a third daemon.
func (t *Table) MergeUpdate(news MemberState, now time.Time) {
	if news.Name == t.config.Self.Name {
		t.refute(news)
		return
	}
	if t.ended[news.Incarnation] {
		return
	}
	e, ok := t.entries[news.Name]
	switch {
	case !ok:
		if news.Status == StatusAlive {
			t.set(news, now)
		}
	case e.state.Incarnation != news.Incarnation:
		// Incarnations have no order: only the daemon itself says which one runs, unless the known one is gone.
		if e.state.Status == StatusGone && news.Status == StatusAlive {
			t.set(news, now)
		}
	case news.Sequence > e.state.Sequence,
		news.Sequence == e.state.Sequence && news.Status > e.state.Status:
		t.set(news, now)
	}
}

// deny raises the sequence above that of a rumour that this run is not alive.
func (t *Table) refute(news MemberState) {
	if !t.leaving && news.Incarnation == t.config.Self.Incarnation && news.Status != StatusAlive && news.Sequence >= t.sequence {
		t.sequence = news.Sequence + 1
	}
}

// Failed takes in that a probe of the member had no answer.
func (t *Table) RecordFailure(member Member, now time.Time) {
	e, ok := t.entries[member.Name]
	if !ok || e.state.Incarnation != member.Incarnation || e.state.Status != StatusAlive {
		return
	}
	news := e.state
	news.Status = StatusSuspect
	t.set(news, now)
}

// Ended takes in proof that no process of the incarnation runs any more.
func (t *Table) RecordEnd(member Member, now time.Time) {
	t.ended[member.Incarnation] = true
	e, ok := t.entries[member.Name]
	if ok && e.state.Incarnation == member.Incarnation {
		news := e.state
		news.Status = StatusGone
		t.set(news, now)
	}
}

// HasEnded reports whether it is proved that the run ended.
func (t *Table) HasEnded(member Member) bool { return t.ended[member.Incarnation] }

// Advance moves suspects that did not deny it in time to gone and forgets the long gone.
func (t *Table) Advance(now time.Time) {
	for name, e := range t.entries {
		age := now.Sub(e.statusSince)
		switch {
		case e.state.Status == StatusSuspect && age >= t.config.SuspectTimeout:
			news := e.state
			news.Status = StatusGone
			t.set(news, now)
		case e.state.Status == StatusGone && age >= t.config.EvictAfter:
			delete(t.entries, name)
			t.ring = slices.DeleteFunc(t.ring, func(n crlid.Daemon) bool { return n == name })
		}
	}
}

// Status returns what is known of a run; one that is unknown is gone.
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

// Members returns all that are neither gone nor leaving, this daemon among them, by name.
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

// Next returns the member to probe next, each in turn; ok is false when none is known.
func (t *Table) NextProbe() (member Member, ok bool) {
	for len(t.urgent) > 0 {
		name := t.urgent[0]
		t.urgent = t.urgent[1:]
		if e, ok := t.entries[name]; ok {
			return e.state.Member, true
		}
	}
	for range t.ring {
		t.nextProbe = (t.nextProbe + 1) % len(t.ring)
		if e := t.entries[t.ring[t.nextProbe]]; e.state.Status != StatusGone {
			return e.state.Member, true
		}
	}
	return Member{}, false
}

// fillers is how many entries of a digest are told in turn whether or not they changed.
const backgroundUpdates = 1

// Digest returns at most limit pieces of news, those told least often first.
func (t *Table) Digest(limit int) []MemberState {
	var fresh []*entry
	for _, e := range t.entries {
		if e.sends < t.config.Repeats {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return 2*(a.sends-b.sends) + strings.Compare(string(a.state.Name), string(b.state.Name))
	})
	var digest []MemberState
	for _, e := range fresh[:min(len(fresh), limit)] {
		e.sends++
		digest = append(digest, e.state)
	}
	for range min(backgroundUpdates, len(t.ring), limit-len(digest)) {
		t.nextBackground = (t.nextBackground + 1) % len(t.ring)
		digest = append(digest, t.entries[t.ring[t.nextBackground]].state)
	}
	return digest
}

func (t *Table) set(news MemberState, now time.Time) {
	e, ok := t.entries[news.Name]
	if !ok {
		e = &entry{}
		t.entries[news.Name] = e
		t.ring = append(t.ring, news.Name)
	}
	if !ok || e.state.Status != news.Status || e.state.Incarnation != news.Incarnation {
		e.statusSince = now
	}
	if e.state.Incarnation != news.Incarnation {
		e.firstSeen = now
	}
	if e.state != news {
		e.sends = 0
	}
	e.state = news
}

// Lives reports whether some run of the daemon is not gone.
func (t *Table) IsPresent(name crlid.Daemon) bool {
	e, ok := t.entries[name]
	return ok && e.state.Status != StatusGone
}

// EndedVM takes in that the platform removed the daemon's VM, unless the daemon is alive to its peers.
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

// Leave states that this daemon takes no further part in rosters.
func (t *Table) Leave() {
	t.sequence++
	t.leaving = true
}
