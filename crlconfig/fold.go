package crlconfig

import (
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

//go:generate go tool enumer -type=Decision -trimprefix=Decision -transform=kebab -json -text -output=decision_enumer.go

// Stream is the log stream that holds the publications.
const Stream crlid.Stream = "configuration"

// KindPublication marks a journal entry whose body is a Publication.
const KindPublication crljournal.Kind = 1

// Publication is an operator's request to replace the configuration in force by a complete file.
type Publication struct {
	ID      string       `cbor:"1,keyasint" json:"id"`      // the same for every retry of a publication
	Base    crlid.Offset `cbor:"2,keyasint" json:"base"`    // offset of the configuration that the file was made from
	Force   bool         `cbor:"3,keyasint" json:"force"`   // accept the file whatever Base is
	Content []byte       `cbor:"4,keyasint" json:"content"` // the complete file
}

// Decision is the result of a publication. All but DecisionAccepted leave the configuration in force as it was.
type Decision int

// The results of a publication.
const (
	DecisionAccepted  Decision = iota
	DecisionStaleBase          // another configuration than the publication's base is in force
	DecisionInvalid            // the file does not pass the checker
)

// Verdict is the Decision on one publication, with offsets and a reason for the operator.
type Verdict struct {
	Decision Decision     `json:"decision"`
	Offset   crlid.Offset `json:"offset"`           // offset of the publication
	InForce  crlid.Offset `json:"in-force"`         // offset of the configuration in force after the decision
	Reason   string       `json:"reason,omitempty"` // why the publication was refused
}

// Accepted is an accepted configuration with the offset and the file that it was published with.
type Accepted struct {
	Offset        crlid.Offset
	Content       []byte
	Configuration *Configuration
}

// maxVerdicts is the number of verdicts that a Fold retains, so that a retried publication gets the verdict of its first try.
// Older ones are dropped.
const maxVerdicts = 256

// Fold decides publications in offset order. It implements crljournal.Fold for Stream and is not safe for concurrent use.
type Fold struct {
	inForce    Accepted           // its offset is crlid.NoOffset before the first accepted publication
	incomplete bool               // earlier records are missing, so the base of a publication can't be checked
	verdicts   map[string]Verdict // by the publication's ID
	ids        []string           // keys of verdicts, the oldest first
}

// NewFold returns a fold with no configuration in force.
func NewFold() *Fold {
	return &Fold{inForce: Accepted{Offset: crlid.NoOffset}, verdicts: make(map[string]Verdict)}
}

// InForce returns the configuration in force after the publications applied so far. Its Configuration is nil before the first
// accepted one.
func (f *Fold) InForce() Accepted { return f.inForce }

// Incomplete reports whether earlier records are missing, since the log lost them or their checkpoint could not be read. Such
// a fold decides only forced publications until it is restored from a checkpoint or accepts one of these.
func (f *Fold) Incomplete() bool { return f.incomplete }

// Verdict returns the verdict on a publication, and false for one that is undecided or older than the retained verdicts.
func (f *Fold) Verdict(id string) (Verdict, bool) {
	v, ok := f.verdicts[id]
	return v, ok
}

// Apply decides the publication in one journal entry. It ignores entries that can't be decoded and repeated publications.
func (f *Fold) Apply(entry crljournal.LoggedEntry, _ time.Time) {
	var p Publication
	if err := entry.Decode(&p); err != nil {
		return
	}
	if _, ok := f.verdicts[p.ID]; ok {
		return
	}
	if f.incomplete && !p.Force {
		return
	}
	f.recordVerdict(p.ID, f.decide(p, entry.Position.Offset))
}

// savedFold is the encoding of a Fold in a checkpoint.
type savedFold struct {
	Offset     crlid.Offset       `cbor:"1,keyasint"`
	Content    []byte             `cbor:"2,keyasint"`
	IDs        []string           `cbor:"3,keyasint"`
	Verdicts   map[string]Verdict `cbor:"4,keyasint"`
	Incomplete bool               `cbor:"5,keyasint"`
}

// Save returns the state of the fold for a checkpoint.
func (f *Fold) Save() ([]byte, error) {
	state, err := cbor.Marshal(savedFold{
		Offset: f.inForce.Offset, Content: f.inForce.Content, IDs: f.ids, Verdicts: f.verdicts, Incomplete: f.incomplete,
	})
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint of configuration %d: %w", f.inForce.Offset, err)
	}
	return state, nil
}

// Restore replaces the state of the fold by one that Save returned. On an error the fold is unchanged.
func (f *Fold) Restore(state []byte) error {
	var saved savedFold
	if err := cbor.Unmarshal(state, &saved); err != nil {
		return fmt.Errorf("decode checkpoint of the configuration: %w", err)
	}
	restored := NewFold()
	restored.ids, restored.incomplete = saved.IDs, saved.Incomplete
	maps.Copy(restored.verdicts, saved.Verdicts)
	if saved.Offset != crlid.NoOffset {
		accepted, err := parseAccepted(saved.Offset, saved.Content)
		if err != nil {
			return fmt.Errorf("parse configuration %d of a checkpoint: %w", saved.Offset, err)
		}
		restored.inForce = accepted
	}
	*f = *restored
	return nil
}

// Reset empties the fold, for use when earlier records are missing. The fold is then incomplete until it is restored from a
// checkpoint or accepts a forced publication.
func (f *Fold) Reset() {
	*f = *NewFold()
	f.incomplete = true
}

// decide returns the verdict on a publication and puts its configuration in force if it is accepted.
func (f *Fold) decide(p Publication, offset crlid.Offset) Verdict {
	// The publications of one append have the same offset, so only the first of them can be accepted.
	if offset <= f.inForce.Offset {
		return f.reject(DecisionStaleBase, offset, "another publication of the same append is in force")
	}
	if !p.Force && p.Base != f.inForce.Offset {
		return f.reject(DecisionStaleBase, offset, fmt.Sprintf("made from %d but %d is in force", p.Base, f.inForce.Offset))
	}
	accepted, err := parseAccepted(offset, p.Content)
	if err != nil {
		return f.reject(DecisionInvalid, offset, err.Error())
	}
	f.inForce, f.incomplete = accepted, false
	return Verdict{Decision: DecisionAccepted, Offset: offset, InForce: offset}
}

func (f *Fold) reject(decision Decision, offset crlid.Offset, reason string) Verdict {
	return Verdict{Decision: decision, Offset: offset, InForce: f.inForce.Offset, Reason: reason}
}

// parseAccepted returns the configuration in the content, or an error if the content does not pass the checker.
func parseAccepted(offset crlid.Offset, content []byte) (Accepted, error) {
	parsed, err := Parse("configuration", content)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Offset: offset, Content: content, Configuration: parsed}, nil
}

// recordVerdict retains a verdict and drops the oldest beyond maxVerdicts.
func (f *Fold) recordVerdict(id string, v Verdict) {
	f.verdicts[id] = v
	f.ids = append(f.ids, id)
	if len(f.ids) > maxVerdicts {
		delete(f.verdicts, f.ids[0])
		f.ids = f.ids[1:]
	}
}
