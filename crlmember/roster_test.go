package crlmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// placed returns a journal entry at the offset that holds the record.
func loggedEntry(t *testing.T, offset crlid.Offset, r Record) crljournal.LoggedEntry {
	t.Helper()
	body, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return crljournal.LoggedEntry{Entry: crljournal.Entry{Kind: KindRecord, Body: body}, Position: crljournal.Position{Offset: offset}}
}

// TestFoldAcceptsOneSuccessorByAMember guards against two rosters that follow the same term, and against rosters by daemons that are
// bound by no promise: only the first record by a member of the base is accepted.
func TestFoldAcceptsOneSuccessorByAMember(t *testing.T) {
	f := NewFold()
	for _, step := range []struct {
		name     string
		offset   crlid.Offset
		record   Record
		accepted bool
	}{
		{"first roster", 3, Record{Base: NoTerm, Author: member(0), Members: memberList(2)}, true},
		{"second record without a base", 4, Record{Base: NoTerm, Author: member(1), Members: memberList(1)}, false},
		{"by a daemon outside the base", 5, Record{Base: 3, Author: member(2), Members: memberList(3)}, false},
		{
			"by a later run of a member", 6,
			Record{Base: 3, Author: Member{Name: member(0).Name, Incarnation: "later"}, Members: memberList(3)},
			false,
		},
		{"without members", 7, Record{Base: 3, Author: member(0)}, false},
		{"by a member", 8, Record{Base: 3, Author: member(0), Members: memberList(3)}, true},
		{"second successor of the same base", 9, Record{Base: 3, Author: member(1), Members: memberList(1)}, false},
		{"by an outsider after all members ended", 10, Record{Base: 8, Author: member(7), Orphan: true, Members: []Member{member(7)}}, true},
	} {
		if accepted := f.Apply(loggedEntry(t, step.offset, step.record)); accepted != step.accepted {
			t.Fatalf("%s: accepted %t, want %t", step.name, accepted, step.accepted)
		}
	}
	if f.Roster().Term != 10 {
		t.Fatalf("roster has term %d, want 10", f.Roster().Term)
	}
	f.Restore(Roster{Term: 8, Members: memberList(3)})
	if f.Roster().Term != 10 {
		t.Fatal("a checkpoint of an earlier term replaced the roster")
	}
}

// TestOnlyHomesOfARemovedMemberMove checks that the removal of a daemon moves only the homes that it had, and that a server's home
// is in its failure domain if that has a member.
func TestOnlyHomesOfARemovedMemberMove(t *testing.T) {
	before := Roster{Members: memberList(9)}
	after := Roster{Members: memberList(9)[:8]}
	moved, inDomain := 0, 0
	for i := range 500 {
		server := crlid.Server(fmt.Sprintf("engine-%d", i))
		domain := crlid.Domain(fmt.Sprintf("domain-%d", i%3))
		oldHome, _ := before.Home(server, domain)
		home, ok := after.Home(server, domain)
		if !ok || oldHome.Domain != domain {
			t.Fatalf("home of server %s in %s is %+v, want a member of its domain", server, domain, oldHome)
		}
		if home.Domain == domain {
			inDomain++
		}
		if !home.Same(oldHome) {
			moved++
			if !oldHome.Same(member(8)) {
				t.Fatalf("home of server %s moved from %s, which is still a member", server, oldHome.Name)
			}
		}
	}
	if moved == 0 || inDomain != 500 {
		t.Fatalf("%d homes moved, want some; %d of 500 are in the domain of their server", moved, inDomain)
	}
	fallback, ok := after.Home("engine-1", "domain-without-daemons")
	if !ok || fallback.Name == "" {
		t.Fatal("a server in a domain without members has no home")
	}
}

func newTestProposer(self Member) *Proposer {
	return NewProposer(ProposerConfig{
		Self: self, Settle: time.Second, Stagger: time.Second, Lease: 4 * time.Second, GuardedLease: 5 * time.Second, FormerPeriod: time.Minute,
	})
}

// testView returns the view of a roster of three members at term 5, while the first n daemons are present.
func testView(n int, now time.Time) View {
	return View{
		Roster: Roster{Term: 5, Members: memberList(3)}, ConfirmedAt: now, Present: memberList(n),
		HasEnded: func(Member) bool { return false },
	}
}

// TestProposerAppendsOnlyLastingChanges guards against rosters that follow short-lived changes, and against several members that
// append at once.
func TestProposerAppendsOnlyLastingChanges(t *testing.T) {
	p := newTestProposer(member(0))
	if _, ok := p.Step(testView(4, epoch), epoch); ok {
		t.Fatal("a change was appended at once")
	}
	interrupted := epoch.Add(900 * time.Millisecond)
	p.Step(testView(3, interrupted), interrupted)
	now := epoch.Add(1500 * time.Millisecond)
	if _, ok := p.Step(testView(4, now), now); ok {
		t.Fatal("a change that was interrupted was appended")
	}
	now = now.Add(time.Second)
	record, ok := p.Step(testView(4, now), now)
	if !ok || record.Base != 5 || len(record.Members) != 4 {
		t.Fatalf("a lasting change was not appended: %+v", record)
	}
	second := newTestProposer(member(1))
	second.Step(testView(4, epoch), epoch)
	if _, ok := second.Step(testView(4, epoch.Add(1500*time.Millisecond)), epoch.Add(1500*time.Millisecond)); ok {
		t.Fatal("the second member did not wait for the first")
	}
}

// TestProposerKeepsItsPromise guards against a roster that is appended while others rely on the promise to append none.
func TestProposerKeepsItsPromise(t *testing.T) {
	p := newTestProposer(member(0))
	p.Step(testView(4, epoch), epoch)
	if p.Promise(4, testView(4, epoch), epoch) {
		t.Fatal("promised for a past term")
	}
	pending := testView(4, epoch)
	pending.AppendPending = true
	if p.Promise(5, pending, epoch) {
		t.Fatal("promised while an append may still reach the log")
	}
	if !p.Promise(5, testView(4, epoch), epoch) {
		t.Fatal("refused to promise for the current term")
	}
	within := epoch.Add(4900 * time.Millisecond)
	if _, ok := p.Step(testView(4, within), within); ok {
		t.Fatal("appended a roster within the time of the promise")
	}
	after := epoch.Add(5 * time.Second)
	if _, ok := p.Step(testView(4, after), after); !ok {
		t.Fatal("appended no roster after the promise had expired")
	}
}

// TestProposerAppendsNothingWithoutTheLog guards against an append that reaches the log long after an outage began.
func TestProposerAppendsNothingWithoutTheLog(t *testing.T) {
	p := newTestProposer(member(0))
	p.Step(testView(4, epoch), epoch)
	v := testView(4, epoch)
	now := epoch.Add(3 * time.Second)
	if _, ok := p.Step(v, now); ok {
		t.Fatal("appended a roster without a recent read of the log")
	}
}

// TestOrphanWaitsForTheEndOfEveryMember checks that a daemon outside the roster replaces it only once all members are known to have
// ended and a guarded lease has passed since.
func TestOrphanWaitsForTheEndOfEveryMember(t *testing.T) {
	p := newTestProposer(member(8))
	ended := map[Member]bool{member(0): true, member(1): true}
	view := func(now time.Time) View {
		v := testView(0, now)
		v.Present = []Member{member(8)}
		v.HasEnded = func(m Member) bool { return ended[m] }
		return v
	}
	if _, ok := p.Step(view(epoch.Add(time.Hour)), epoch.Add(time.Hour)); ok {
		t.Fatal("replaced a roster with a member that may still be running")
	}
	ended[member(2)] = true
	now := epoch.Add(2 * time.Hour)
	p.Step(view(now), now)
	if _, ok := p.Step(view(now.Add(4*time.Second)), now.Add(4*time.Second)); ok {
		t.Fatal("replaced the roster before the guarded lease was over")
	}
	if record, ok := p.Step(view(now.Add(5*time.Second)), now.Add(5*time.Second)); !ok || !record.Orphan {
		t.Fatal("did not replace the roster after the guarded lease")
	}
}
