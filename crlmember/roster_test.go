package crlmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

func placed(t *testing.T, offset crlid.Offset, r Record) crljournal.Placed {
	t.Helper()
	body, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return crljournal.Placed{Entry: crljournal.Entry{Kind: KindRecord, Body: body}, Position: crljournal.Position{Offset: offset}}
}

func TestFoldAcceptsOneSuccessorByAMember(t *testing.T) {
	f := NewFold()
	for _, step := range []struct {
		name   string
		offset crlid.Offset
		record Record
		took   bool
	}{
		{"the first", 3, Record{Base: NoTerm, Author: member(0), Members: memberList(2)}, true},
		{"a second first", 4, Record{Base: NoTerm, Author: member(1), Members: memberList(1)}, false},
		{"by a stranger", 5, Record{Base: 3, Author: member(2), Members: memberList(3)}, false},
		{"by a later run of a member", 6, Record{Base: 3, Author: Member{Name: member(0).Name, Incarnation: "later"}, Members: memberList(3)}, false},
		{"of nobody", 7, Record{Base: 3, Author: member(0)}, false},
		{"by a member", 8, Record{Base: 3, Author: member(0), Members: memberList(3)}, true},
		{"the loser of a race", 9, Record{Base: 3, Author: member(1), Members: memberList(1)}, false},
		{"by an orphan", 10, Record{Base: 8, Author: member(7), Orphan: true, Members: []Member{member(7)}}, true},
	} {
		if took := f.Apply(placed(t, step.offset, step.record)); took != step.took {
			t.Fatalf("%s: taken %t, want %t", step.name, took, step.took)
		}
	}
	if f.Roster().Term != 10 {
		t.Fatalf("term %d", f.Roster().Term)
	}
	f.Restore(Roster{Term: 8, Members: memberList(3)})
	if f.Roster().Term != 10 {
		t.Fatal("an older checkpoint changed the fold")
	}
}

func TestOnlyHomesOfARemovedMemberMove(t *testing.T) {
	before := Roster{Members: memberList(9)}
	after := Roster{Members: memberList(9)[:8]}
	moved, near := 0, 0
	for i := range 500 {
		server := crlid.Server(fmt.Sprintf("engine-%d", i))
		domain := crlid.Domain(fmt.Sprintf("domain-%d", i%3))
		old, _ := before.Home(server, domain)
		home, ok := after.Home(server, domain)
		if !ok || old.Domain != domain {
			t.Fatalf("home of %s in %s is %+v", server, domain, old)
		}
		if home.Domain == domain {
			near++
		}
		if !home.Same(old) {
			moved++
			if !old.Same(member(8)) {
				t.Fatalf("%s moved from %s, which stayed", server, old.Name)
			}
		}
	}
	if moved == 0 || near != 500 {
		t.Fatalf("moved %d, near %d", moved, near)
	}
	far, ok := after.Home("engine-1", "domain-without-daemons")
	if !ok || far.Name == "" {
		t.Fatal("a server in a domain without daemons has no home")
	}
}

func newTestProposer(self Member) *Proposer {
	return NewProposer(ProposerConfig{
		Self: self, Settle: time.Second, Stagger: time.Second, Lease: 4 * time.Second, GuardedLease: 5 * time.Second, FormerPeriod: time.Minute,
	})
}

func testView(n int, now time.Time) View {
	return View{
		Roster: Roster{Term: 5, Members: memberList(3)}, ConfirmedAt: now, Present: memberList(n),
		HasEnded: func(Member) bool { return false },
	}
}

func TestProposerAppendsOnlyLastingChanges(t *testing.T) {
	p := newTestProposer(member(0))
	if _, ok := p.Step(testView(4, epoch), epoch); ok {
		t.Fatal("a change was appended at once")
	}
	flap := epoch.Add(900 * time.Millisecond)
	p.Step(testView(3, flap), flap)
	now := epoch.Add(1500 * time.Millisecond)
	if _, ok := p.Step(testView(4, now), now); ok {
		t.Fatal("a change that did not last was appended")
	}
	now = now.Add(time.Second)
	r, ok := p.Step(testView(4, now), now)
	if !ok || r.Base != 5 || len(r.Members) != 4 {
		t.Fatalf("a lasting change was not appended: %+v", r)
	}
	second := newTestProposer(member(1))
	second.Step(testView(4, epoch), epoch)
	if _, ok := second.Step(testView(4, epoch.Add(1500*time.Millisecond)), epoch.Add(1500*time.Millisecond)); ok {
		t.Fatal("the second member did not wait for the first")
	}
}

func TestProposerKeepsItsPromise(t *testing.T) {
	p := newTestProposer(member(0))
	p.Step(testView(4, epoch), epoch)
	if p.Promise(4, testView(4, epoch), epoch) {
		t.Fatal("a promise for a past term")
	}
	pending := testView(4, epoch)
	pending.AppendPending = true
	if p.Promise(5, pending, epoch) {
		t.Fatal("a promise while an append may still land")
	}
	if !p.Promise(5, testView(4, epoch), epoch) {
		t.Fatal("no promise")
	}
	within := epoch.Add(4900 * time.Millisecond)
	if _, ok := p.Step(testView(4, within), within); ok {
		t.Fatal("a broken promise")
	}
	after := epoch.Add(5 * time.Second)
	if _, ok := p.Step(testView(4, after), after); !ok {
		t.Fatal("a promise outlived its time")
	}
}

func TestProposerAppendsNothingWithoutTheLog(t *testing.T) {
	p := newTestProposer(member(0))
	p.Step(testView(4, epoch), epoch)
	v := testView(4, epoch)
	now := epoch.Add(3 * time.Second)
	if _, ok := p.Step(v, now); ok {
		t.Fatal("an append without a recent read of the log")
	}
}

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
		t.Fatal("an orphan passed over a member that may live")
	}
	ended[member(2)] = true
	now := epoch.Add(2 * time.Hour)
	p.Step(view(now), now)
	if _, ok := p.Step(view(now.Add(4*time.Second)), now.Add(4*time.Second)); ok {
		t.Fatal("an orphan did not wait for the guarded lease")
	}
	if r, ok := p.Step(view(now.Add(5*time.Second)), now.Add(5*time.Second)); !ok || !r.Orphan {
		t.Fatal("an orphan never appended")
	}
}
