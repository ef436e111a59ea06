package crlclaim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

//go:generate go tool enumer -type=Phase -trimprefix=Phase -transform=kebab -json -text -output=phase_enumer.go
//go:generate go tool enumer -type=Decision -trimprefix=Decision -transform=kebab -json -text -output=decision_enumer.go

// Stream is the log stream of claims and outcomes.
const Stream crlid.Stream = "claims"

// The kinds of entries of the stream.
const (
	KindClaim crljournal.Kind = iota + 1
	KindOutcome
	KindRelease
)

// Key names a non-idempotent request.
type Key struct {
	Organisation crlid.Organisation `cbor:"1,keyasint"`
	Key          string             `cbor:"2,keyasint"`
}

// Claim asks for the right to run a request.
type Claim struct {
	Key         Key           `cbor:"1,keyasint"`
	Fingerprint [32]byte      `cbor:"2,keyasint"` // Fingerprint is a SHA-256 of the request.
	Request     crlid.Request `cbor:"3,keyasint"`
	Deadline    time.Time     `cbor:"4,keyasint"` // Deadline is the last moment at which the winner may send.
	Lifetime    time.Duration `cbor:"5,keyasint"` // Lifetime is how long the key stands after its newest claim.
}

// Phase is how far a claimed request has come.
type Phase int

// The phases of a claimed request.
const (
	PhaseClaimed Phase = iota
	PhaseDone
	PhaseUnknown
)

// Outcome records what became of a claimed request.
type Outcome struct {
	Key         Key                 `cbor:"1,keyasint"`
	Claim       crljournal.Position `cbor:"2,keyasint"` // Claim is the position of the claim that ran.
	Phase       Phase               `cbor:"3,keyasint"`
	Status      int                 `cbor:"4,keyasint"` // Status is the HTTP status of the answer.
	ContentType string              `cbor:"5,keyasint"`
	Answer      []byte              `cbor:"6,keyasint"` // Answer is empty when Digest is set.
	Digest      []byte              `cbor:"7,keyasint"` // Digest is the SHA-256 of an answer that is too large to keep.
}

// Release states that a claimed request did not run.
type Release struct {
	Key   Key                 `cbor:"1,keyasint"`
	Claim crljournal.Position `cbor:"2,keyasint"`
}

// Standing is what the fold holds for a key.
type KeyState struct {
	Claim    Claim               `cbor:"1,keyasint"`
	Position crljournal.Position `cbor:"2,keyasint"`
	Expiry   time.Time           `cbor:"3,keyasint"` // Expiry is the log's time from which the key is free again.
	Phase    Phase               `cbor:"4,keyasint"`
	Outcome  Outcome             `cbor:"5,keyasint"` // Outcome is set unless Phase is PhaseClaimed.
}

// Decision is the verdict of the fold on a claim.
type Decision int

// The verdicts on a claim.
const (
	DecisionWon      Decision = iota // DecisionWon gives the right to send.
	DecisionLost                     // DecisionLost means that another claim stands.
	DecisionConflict                 // DecisionConflict means that the key stands for another request body.
	DecisionLate                     // DecisionLate means that the claim reached the log after its deadline and is void.
)

// Verdict tells what became of a claim.
type Verdict struct {
	Decision Decision
	State    KeyState
}

// Decided is a verdict with the entry that asked for it.
type EntryVerdict struct {
	Writer   crlid.Incarnation
	Sequence uint64
	Verdict  Verdict
}

// Fold decides claims in offset order.
//
// Whether a key still stands follows from the log's times alone, never from a
// clock of the daemon. Every claim of a key renews its lifetime, also one that
// loses: so a fold that began in the middle of the stream agrees on which keys
// stand once it holds one lifetime of entries.
type Fold struct {
	states    map[Key]*KeyState
	verdicts  []EntryVerdict
	logTime   time.Time // now is the log's time.
	lastSweep time.Time
}

// NewFold returns a fold without claims.
func NewFold() *Fold { return &Fold{states: make(map[Key]*KeyState)} }

// Apply folds one entry at the log's time now.
func (f *Fold) Apply(entry crljournal.LoggedEntry, now time.Time) {
	f.logTime = now
	f.sweep()
	switch entry.Kind {
	case KindClaim:
		f.applyClaim(entry)
	case KindOutcome:
		f.applyOutcome(entry)
	case KindRelease:
		f.applyRelease(entry)
	}
}

// Decided returns the verdicts since the last call.
func (f *Fold) DrainVerdicts() []EntryVerdict {
	decided := f.verdicts
	f.verdicts = nil
	return decided
}

// Standing returns what the fold holds for a key.
func (f *Fold) State(key Key) (KeyState, bool) {
	s, ok := f.states[key]
	if !ok || !f.logTime.Before(s.Expiry) {
		return KeyState{}, false
	}
	return *s, true
}

// savedFold is the state of a fold in a checkpoint.
type savedFold struct {
	States  []*KeyState `cbor:"1,keyasint"`
	LogTime time.Time   `cbor:"2,keyasint"`
}

// Save returns every standing.
func (f *Fold) Save() ([]byte, error) {
	saved := savedFold{LogTime: f.logTime}
	for _, s := range f.states {
		saved.States = append(saved.States, s)
	}
	return crljournal.Encode(saved)
}

// Restore replaces the standings by saved ones.
func (f *Fold) Restore(state []byte) error {
	var saved savedFold
	if err := cbor.Unmarshal(state, &saved); err != nil {
		return fmt.Errorf("restore claims: %w", err)
	}
	f.Reset()
	f.logTime = saved.LogTime
	for _, s := range saved.States {
		f.states[s.Claim.Key] = s
	}
	return nil
}

// Reset forgets every standing and verdict.
func (f *Fold) Reset() { *f = *NewFold() }

// sweepPeriod is how often expired standings are removed, in the log's time; when it happens changes no verdict.
const sweepPeriod = time.Minute

func (f *Fold) sweep() {
	if f.logTime.Sub(f.lastSweep) < sweepPeriod {
		return
	}
	f.lastSweep = f.logTime
	for k, s := range f.states {
		if !f.logTime.Before(s.Expiry) {
			delete(f.states, k)
		}
	}
}

func (f *Fold) applyClaim(entry crljournal.LoggedEntry) {
	var c Claim
	if err := entry.Decode(&c); err != nil {
		return
	}
	verdict := f.decide(c, entry)
	f.verdicts = append(f.verdicts, EntryVerdict{Writer: entry.Writer, Sequence: entry.Sequence, Verdict: verdict})
}

func (f *Fold) decide(c Claim, entry crljournal.LoggedEntry) Verdict {
	if _, ok := f.State(c.Key); ok {
		standing := f.states[c.Key]
		if renewed := f.logTime.Add(c.Lifetime); renewed.After(standing.Expiry) {
			standing.Expiry = renewed
		}
		decision := DecisionLost
		if standing.Claim.Fingerprint != c.Fingerprint {
			decision = DecisionConflict
		}
		return Verdict{Decision: decision, State: *standing}
	}
	if f.logTime.After(c.Deadline) {
		return Verdict{Decision: DecisionLate}
	}
	standing := &KeyState{Claim: c, Position: entry.Position, Expiry: f.logTime.Add(c.Lifetime)}
	f.states[c.Key] = standing
	return Verdict{Decision: DecisionWon, State: *standing}
}

func (f *Fold) applyOutcome(entry crljournal.LoggedEntry) {
	var o Outcome
	if err := entry.Decode(&o); err != nil {
		return
	}
	s, ok := f.states[o.Key]
	if !ok || s.Position != o.Claim || s.Phase == PhaseDone || o.Phase == PhaseClaimed {
		return
	}
	s.Phase = o.Phase
	s.Outcome = o
}

func (f *Fold) applyRelease(entry crljournal.LoggedEntry) {
	var r Release
	if err := entry.Decode(&r); err != nil {
		return
	}
	s, ok := f.states[r.Key]
	if !ok || s.Position != r.Claim || s.Phase != PhaseClaimed {
		return
	}
	delete(f.states, r.Key)
}
