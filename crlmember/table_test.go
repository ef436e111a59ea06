package crlmember

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestTable(self Member) *Table {
	return NewTable(TableConfig{Self: self, SuspectTimeout: 2 * time.Second, EvictAfter: time.Minute, Repeats: 3})
}

func TestTableSuspectsThenDropsAnUnresponsiveMember(t *testing.T) {
	table := newTestTable(member(0))
	table.RecordReply(MemberState{Member: member(1)}, epoch, epoch)
	table.RecordFailure(member(1), epoch)
	if s := table.Status(member(1)); s != StatusSuspect {
		t.Fatalf("after a failed probe: %s", s)
	}
	table.Advance(epoch.Add(time.Second))
	if s := table.Status(member(1)); s != StatusSuspect {
		t.Fatalf("within the time to deny it: %s", s)
	}
	table.Advance(epoch.Add(2 * time.Second))
	if s := table.Status(member(1)); s != StatusGone || len(table.Members()) != 1 {
		t.Fatalf("after it: %s, members %v", s, table.Members())
	}
	if table.HasEnded(member(1)) {
		t.Fatal("silence was taken as proof of an end")
	}
}

func TestTableRefutesASuspicionOfItself(t *testing.T) {
	table := newTestTable(member(0))
	table.MergeUpdate(MemberState{Member: member(0), Status: StatusSuspect}, epoch)
	if got := table.Self(); got.Sequence != 1 || got.Status != StatusAlive {
		t.Fatalf("self = %+v", got)
	}
	peer := newTestTable(member(1))
	peer.RecordReply(MemberState{Member: member(0)}, epoch, epoch)
	peer.RecordFailure(member(0), epoch)
	peer.MergeUpdate(table.Self(), epoch)
	if s := peer.Status(member(0)); s != StatusAlive {
		t.Fatalf("after the denial: %s", s)
	}
}

func TestTableEndsARunOnlyByAProbeSentAfterItWasKnown(t *testing.T) {
	old, restarted := member(1), member(1)
	restarted.Incarnation = "run-later"
	table := newTestTable(member(0))
	table.RecordReply(MemberState{Member: old}, epoch, epoch)
	table.RecordLogged(restarted, epoch.Add(2*time.Second))
	// This reply of the old run left before the log named the later one.
	table.RecordReply(MemberState{Member: old}, epoch.Add(time.Second), epoch.Add(3*time.Second))
	if table.HasEnded(restarted) {
		t.Fatal("a late reply of an earlier run ended a later one")
	}
	table.RecordCall(MemberState{Member: restarted}, epoch.Add(4*time.Second))
	if table.HasEnded(old) {
		t.Fatal("a call, which may be late, ended a run")
	}
	if next, _ := table.NextProbe(); next.Name != old.Name {
		t.Fatalf("the daemon in doubt is not probed next but %s", next.Name)
	}
	table.RecordReply(MemberState{Member: restarted}, epoch.Add(5*time.Second), epoch.Add(5*time.Second))
	if !table.HasEnded(old) || table.HasEnded(restarted) || table.Status(restarted) != StatusAlive {
		t.Fatal("a probe did not tell which run lives")
	}
}

func TestTableDigestIsBoundedAndSequencesNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable(member(0))
		highest := make(map[Member]uint64)
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			m := member(rapid.IntRange(1, 5).Draw(t, "member"))
			news := MemberState{Member: m, Sequence: uint64(rapid.IntRange(0, 4).Draw(t, "sequence")), Status: Status(rapid.IntRange(0, 2).Draw(t, "status"))}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				table.MergeUpdate(news, now)
			case 1:
				news.Status = StatusAlive
				table.RecordReply(news, now, now)
			case 2:
				table.RecordFailure(m, now)
			case 3:
				table.Advance(now)
			}
			for _, n := range table.Digest(3) {
				if n.Sequence < highest[n.Member] {
					t.Fatalf("sequence of %s fell from %d to %d", n.Name, highest[n.Member], n.Sequence)
				}
				highest[n.Member] = n.Sequence
			}
			if got := len(table.Digest(2)); got > 2 {
				t.Fatalf("digest of %d", got)
			}
		}
	})
}
