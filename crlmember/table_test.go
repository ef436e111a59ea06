package crlmember

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestTable(self Member) *Table {
	return NewTable(TableConfig{Self: self, SuspectTimeout: 2 * time.Second, EvictAfter: time.Minute, Repeats: 3})
}

// TestTableSuspectsThenDropsAnUnresponsiveMember checks the steps from a failed probe to gone, and guards against taking a missing
// reply for the end of a run.
func TestTableSuspectsThenDropsAnUnresponsiveMember(t *testing.T) {
	table := newTestTable(member(0))
	table.RecordReply(MemberState{Member: member(1)}, epoch, epoch)
	table.RecordFailure(member(1), epoch)
	if s := table.Status(member(1)); s != StatusSuspect {
		t.Fatalf("status after a failed probe is %s, want suspect", s)
	}
	table.Advance(epoch.Add(time.Second))
	if s := table.Status(member(1)); s != StatusSuspect {
		t.Fatalf("status within the suspect timeout is %s, want suspect", s)
	}
	table.Advance(epoch.Add(2 * time.Second))
	if s := table.Status(member(1)); s != StatusGone || len(table.Members()) != 1 {
		t.Fatalf("status after the suspect timeout is %s, members are %v, want gone and only this daemon", s, table.Members())
	}
	if table.HasEnded(member(1)) {
		t.Fatal("an unanswered probe ended the run")
	}
}

// TestTableRefutesASuspicionOfItself checks that a suspected daemon raises its sequence, and that a peer then has it as alive again.
func TestTableRefutesASuspicionOfItself(t *testing.T) {
	table := newTestTable(member(0))
	table.MergeUpdate(MemberState{Member: member(0), Status: StatusSuspect}, epoch)
	if got := table.Self(); got.Sequence != 1 || got.Status != StatusAlive {
		t.Fatalf("own state is %+v, want alive with sequence 1", got)
	}
	peer := newTestTable(member(1))
	peer.RecordReply(MemberState{Member: member(0)}, epoch, epoch)
	peer.RecordFailure(member(0), epoch)
	peer.MergeUpdate(table.Self(), epoch)
	if s := peer.Status(member(0)); s != StatusAlive {
		t.Fatalf("status after the refutation is %s, want alive", s)
	}
}

// TestTableEndsARunOnlyByAProbeSentAfterItWasKnown guards against late messages that end a later run of the same daemon.
func TestTableEndsARunOnlyByAProbeSentAfterItWasKnown(t *testing.T) {
	old, restarted := member(1), member(1)
	restarted.Incarnation = "run-later"
	table := newTestTable(member(0))
	table.RecordReply(MemberState{Member: old}, epoch, epoch)
	table.RecordLogged(restarted, epoch.Add(2*time.Second))
	// The old run sent this reply before the log named the later run.
	table.RecordReply(MemberState{Member: old}, epoch.Add(time.Second), epoch.Add(3*time.Second))
	if table.HasEnded(restarted) {
		t.Fatal("a late reply of an earlier run ended a later run")
	}
	table.RecordCall(MemberState{Member: restarted}, epoch.Add(4*time.Second))
	if table.HasEnded(old) {
		t.Fatal("a call, which may be delayed, ended a run")
	}
	if next, _ := table.NextProbe(); next.Name != old.Name {
		t.Fatalf("daemon %s is probed next, want the one with two runs", next.Name)
	}
	table.RecordReply(MemberState{Member: restarted}, epoch.Add(5*time.Second), epoch.Add(5*time.Second))
	if !table.HasEnded(old) || table.HasEnded(restarted) || table.Status(restarted) != StatusAlive {
		t.Fatal("a probe did not establish which run is alive")
	}
}

// TestTableDigestIsBoundedAndSequencesNeverFall applies random events, and checks the limit of digests and that they never go back
// to an earlier sequence of a member.
func TestTableDigestIsBoundedAndSequencesNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable(member(0))
		highest := make(map[Member]uint64)
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			m := member(rapid.IntRange(1, 5).Draw(t, "member"))
			state := MemberState{
				Member: m, Sequence: uint64(rapid.IntRange(0, 4).Draw(t, "sequence")),
				Status: Status(rapid.IntRange(0, 2).Draw(t, "status")),
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				table.MergeUpdate(state, now)
			case 1:
				state.Status = StatusAlive
				table.RecordReply(state, now, now)
			case 2:
				table.RecordFailure(m, now)
			case 3:
				table.Advance(now)
			}
			for _, update := range table.Digest(3) {
				if update.Sequence < highest[update.Member] {
					t.Fatalf("sequence of %s fell from %d to %d", update.Name, highest[update.Member], update.Sequence)
				}
				highest[update.Member] = update.Sequence
			}
			if got := len(table.Digest(2)); got > 2 {
				t.Fatalf("digest has %d updates, want at most 2", got)
			}
		}
	})
}
