package crlclaim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// fatalReporter is satisfied by *testing.T and *rapid.T.
type fatalReporter interface{ Fatal(args ...any) }

// apply applies an entry with the given offset, whose log time is that number of seconds. For a claim it returns the verdict.
func apply(t fatalReporter, fold *Fold, kind crljournal.Kind, offset int, body any) Verdict {
	raw, err := crljournal.Encode(body)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(int64(offset), 0)
	fold.Apply(crljournal.LoggedEntry{
		Entry:    crljournal.Entry{Kind: kind, Body: raw},
		Position: crljournal.Position{Offset: crlid.Offset(offset)}, Time: now,
	}, now)
	if verdicts := fold.DrainVerdicts(); len(verdicts) == 1 {
		return verdicts[0].Verdict
	}
	return Verdict{}
}

// claimOf returns a claim of a key, with a lifetime in seconds and a deadline that has not passed.
func claimOf(key Key, lifetime int) Claim {
	const deadline = 1 << 33 // Unix seconds, in the year 2242
	return Claim{Key: key, Deadline: time.Unix(deadline, 0), Lifetime: time.Duration(lifetime) * time.Second}
}

// TestFoldGivesAClaimToOneUntilReleasedOrExpired applies random entries, with a save and restore of the fold at random places,
// and compares the fold with a simple model: a key has at most one winner until it is released or expires.
func TestFoldGivesAClaimToOneUntilReleasedOrExpired(t *testing.T) {
	type holder struct {
		position crljournal.Position
		expiry   int
		ran      bool
	}
	rapid.Check(t, func(t *rapid.T) {
		fold := NewFold()
		held := make(map[Key]holder)
		for offset := range rapid.IntRange(1, 60).Draw(t, "entries") {
			key := Key{Organisation: "o", Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")}
			h, holds := held[key]
			holds = holds && offset < h.expiry
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				lifetime := rapid.IntRange(1, 20).Draw(t, "lifetime")
				verdict := apply(t, fold, KindClaim, offset, claimOf(key, lifetime))
				if (verdict.Decision == DecisionWon) == holds {
					t.Fatalf("claim of %v at offset %d: %v, while the model has held = %t", key, offset, verdict.Decision, holds)
				}
				if !holds {
					h = holder{position: crljournal.Position{Offset: crlid.Offset(offset)}}
				}
				h.expiry = max(h.expiry, offset+lifetime)
				held[key], holds = h, true
			case 1:
				apply(t, fold, KindOutcome, offset, Outcome{Key: key, Claim: h.position, Phase: PhaseDone})
				h.ran = true
				held[key] = h
			case 2:
				apply(t, fold, KindRelease, offset, Release{Key: key, Claim: h.position})
				if holds && !h.ran {
					delete(held, key)
					holds = false
				}
			default:
				fold = saveAndRestore(t, fold)
				continue
			}
			if _, claimed := fold.State(key); claimed != holds {
				t.Fatalf("key %v at offset %d: claimed = %t, while the model has held = %t", key, offset, claimed, holds)
			}
		}
	})
}

func saveAndRestore(t fatalReporter, fold *Fold) *Fold {
	state, err := fold.Save()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewFold()
	if err := restored.Restore(state); err != nil {
		t.Fatal(err)
	}
	return restored
}

// TestFoldDecisions covers each decision and phase change. All log times are in 1970, so the test also shows that the fold does
// not use the clock of the daemon.
func TestFoldDecisions(t *testing.T) {
	key := Key{Organisation: "o", Key: "k"}
	other := claimOf(key, 100)
	other.Fingerprint[0] = 1
	late := claimOf(Key{Organisation: "o", Key: "late"}, 100)
	late.Deadline = time.Unix(3, 0)
	first := crljournal.Position{Offset: 1}
	fold := NewFold()
	for _, step := range []struct {
		offset int
		kind   crljournal.Kind
		body   any
		want   Decision
		phase  Phase
	}{
		{1, KindClaim, claimOf(key, 100), DecisionWon, PhaseClaimed},
		{2, KindClaim, other, DecisionConflict, PhaseClaimed},
		{4, KindClaim, late, DecisionLate, PhaseClaimed},
		{5, KindClaim, late, DecisionLate, PhaseClaimed},
		{6, KindRelease, Release{Key: key, Claim: crljournal.Position{Offset: 2}}, 0, PhaseClaimed},
		{7, KindClaim, claimOf(key, 100), DecisionLost, PhaseClaimed},
		{8, KindOutcome, Outcome{Key: key, Claim: first, Phase: PhaseUnknown}, 0, PhaseUnknown},
		{9, KindRelease, Release{Key: key, Claim: first}, 0, PhaseUnknown},
		{10, KindClaim, claimOf(key, 100), DecisionLost, PhaseUnknown},
		{11, KindOutcome, Outcome{Key: key, Claim: first, Phase: PhaseDone}, 0, PhaseDone},
		{12, KindOutcome, Outcome{Key: key, Claim: first, Phase: PhaseUnknown}, 0, PhaseDone},
		{109, KindClaim, claimOf(key, 100), DecisionLost, PhaseDone},
		{210, KindClaim, claimOf(key, 100), DecisionWon, PhaseClaimed},
	} {
		verdict := apply(t, fold, step.kind, step.offset, step.body)
		if step.kind == KindClaim && verdict.Decision != step.want {
			t.Errorf("claim at offset %d: %v, want %v", step.offset, verdict.Decision, step.want)
		}
		if s, ok := fold.State(key); !ok || s.Phase != step.phase {
			t.Errorf("key after offset %d: claimed = %t, phase %v, want it claimed in phase %v", step.offset, ok, s.Phase, step.phase)
		}
	}
}
