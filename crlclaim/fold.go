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

// Stream is the log stream of claims, outcomes and releases.
const Stream crlid.Stream = "claims"

// Kinds of the entries of Stream.
const (
	KindClaim crljournal.Kind = iota + 1
	KindOutcome
	KindRelease
)

// Key identifies a non-idempotent request.
type Key struct {
	Organisation crlid.Organisation `cbor:"1,keyasint"`
	Key          string             `cbor:"2,keyasint"` // idempotency key, chosen by the caller
}

// Claim is the body of an entry that requests the right to run a request.
type Claim struct {
	Key         Key           `cbor:"1,keyasint"`
	Fingerprint [32]byte      `cbor:"2,keyasint"` // SHA-256 of the request
	Request     crlid.Request `cbor:"3,keyasint"`
	Deadline    time.Time     `cbor:"4,keyasint"` // latest time at which the winner may send the request
	Lifetime    time.Duration `cbor:"5,keyasint"` // time after the newest claim of the key for which the key stays claimed
}

// Phase is the state of a claimed request.
type Phase int

// Phases of a claimed request.
const (
	PhaseClaimed Phase = iota // no outcome is recorded
	PhaseDone                 // the request ran; its answer or the digest of it is recorded
	PhaseUnknown              // the request may have run
)

// Outcome is the body of an entry that records the result of a claimed request.
type Outcome struct {
	Key         Key                 `cbor:"1,keyasint"`
	Claim       crljournal.Position `cbor:"2,keyasint"` // position of the claim under which the request was sent
	Phase       Phase               `cbor:"3,keyasint"`
	Status      int                 `cbor:"4,keyasint"` // HTTP status of the answer
	ContentType string              `cbor:"5,keyasint"`
	Answer      []byte              `cbor:"6,keyasint"` // empty if Digest is set
	Digest      []byte              `cbor:"7,keyasint"` // SHA-256 of an answer that is too large to store
}

// Release is the body of an entry that states that a claimed request did not run.
type Release struct {
	Key   Key                 `cbor:"1,keyasint"`
	Claim crljournal.Position `cbor:"2,keyasint"` // position of the claim to release
}

// KeyState is the state of a claimed key.
type KeyState struct {
	Claim    Claim               `cbor:"1,keyasint"` // the winning claim
	Position crljournal.Position `cbor:"2,keyasint"` // journal position of the winning claim
	Expiry   time.Time           `cbor:"3,keyasint"` // log time from which the key may be claimed again
	Phase    Phase               `cbor:"4,keyasint"`
	Outcome  Outcome             `cbor:"5,keyasint"` // set unless Phase is PhaseClaimed
}

// Decision is the result of a claim.
type Decision int

// Results of a claim.
const (
	DecisionWon      Decision = iota // the claimant may send the request
	DecisionLost                     // an earlier claim of the same request holds the key
	DecisionConflict                 // an earlier claim holds the key for a request with another fingerprint
	DecisionLate                     // the claim reached the log after its deadline and is void
)

// Verdict is the decision on a claim, with the state of its key.
type Verdict struct {
	Decision Decision
	State    KeyState // zero if Decision is DecisionLate
}

// EntryVerdict is a verdict with the writer and the sequence number of the claim's entry.
type EntryVerdict struct {
	Writer   crlid.Incarnation
	Sequence uint64
	Verdict  Verdict
}

// Fold decides claims in offset order.
//
// Whether a key has expired depends on the times of the log alone, never on the daemon's clock. Every claim of a key renews its
// lifetime, even one that loses. A fold that began in the middle of the stream therefore agrees with the others on which keys
// are claimed once it has applied the entries of one lifetime.
type Fold struct {
	states    map[Key]*KeyState
	verdicts  []EntryVerdict
	logTime   time.Time // log time of the newest entry
	lastSweep time.Time
}

// NewFold returns a fold without claims.
func NewFold() *Fold { return &Fold{states: make(map[Key]*KeyState)} }

// Apply applies one entry at the log's time now.
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

// DrainVerdicts returns the verdicts on the claims that were applied since its last call.
func (f *Fold) DrainVerdicts() []EntryVerdict {
	verdicts := f.verdicts
	f.verdicts = nil
	return verdicts
}

// State returns the state of a key, and false if the key is not claimed or has expired.
func (f *Fold) State(key Key) (KeyState, bool) {
	s, ok := f.states[key]
	if !ok || !f.logTime.Before(s.Expiry) {
		return KeyState{}, false
	}
	return *s, true
}

// savedFold is the form in which a checkpoint stores a fold.
type savedFold struct {
	States  []*KeyState `cbor:"1,keyasint"`
	LogTime time.Time   `cbor:"2,keyasint"`
}

// Save returns the encoded state of all keys.
func (f *Fold) Save() ([]byte, error) {
	saved := savedFold{LogTime: f.logTime}
	for _, s := range f.states {
		saved.States = append(saved.States, s)
	}
	return crljournal.Encode(saved)
}

// Restore replaces the state with a saved one.
func (f *Fold) Restore(state []byte) error {
	var saved savedFold
	if err := cbor.Unmarshal(state, &saved); err != nil {
		return fmt.Errorf("restore claims from checkpoint of %d bytes: %w", len(state), err)
	}
	f.Reset()
	f.logTime = saved.LogTime
	for _, s := range saved.States {
		f.states[s.Claim.Key] = s
	}
	return nil
}

// Reset discards the state of all keys, and the verdicts that were not drained.
func (f *Fold) Reset() { *f = *NewFold() }

// sweepPeriod is the log time between two removals of expired keys. It affects memory use only: expired keys are ignored even
// before they are removed.
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

// decide returns the verdict on a claim and updates the state of its key.
func (f *Fold) decide(c Claim, entry crljournal.LoggedEntry) Verdict {
	if _, ok := f.State(c.Key); ok {
		state := f.states[c.Key]
		if renewed := f.logTime.Add(c.Lifetime); renewed.After(state.Expiry) {
			state.Expiry = renewed
		}
		decision := DecisionLost
		if state.Claim.Fingerprint != c.Fingerprint {
			decision = DecisionConflict
		}
		return Verdict{Decision: decision, State: *state}
	}
	if f.logTime.After(c.Deadline) {
		return Verdict{Decision: DecisionLate}
	}
	state := &KeyState{Claim: c, Position: entry.Position, Expiry: f.logTime.Add(c.Lifetime)}
	f.states[c.Key] = state
	return Verdict{Decision: DecisionWon, State: *state}
}

// applyOutcome records an outcome, unless it is of a claim that does not hold the key or an answer is already recorded.
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

// applyRelease frees a key, unless the release is of a claim that does not hold it or an outcome is already recorded.
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
