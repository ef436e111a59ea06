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

// Stream is the log stream of publications.
const Stream crlid.Stream = "configuration"

// KindPublication is the kind of an entry that holds a Publication.
const KindPublication crljournal.Kind = 1

// Publication asks to put a whole file in force.
type Publication struct {
	ID      string       `cbor:"1,keyasint" json:"id"`      // ID identifies the publication over retries.
	Base    crlid.Offset `cbor:"2,keyasint" json:"base"`    // Base is the offset in force that the file was made from.
	Force   bool         `cbor:"3,keyasint" json:"force"`   // Force ignores Base.
	Content []byte       `cbor:"4,keyasint" json:"content"` // Content is the whole file.
}

// Decision is the verdict of the fold on a publication.
type Decision int

// The verdicts on a publication.
const (
	DecisionAccepted Decision = iota
	DecisionStaleBase
	DecisionInvalid
)

// Verdict tells what became of a publication.
type Verdict struct {
	Decision Decision     `json:"decision"`
	Offset   crlid.Offset `json:"offset"` // Offset is that of the publication.
	InForce  crlid.Offset `json:"in-force"`
	Reason   string       `json:"reason,omitempty"`
}

// Accepted is the configuration in force and where it came from.
type Accepted struct {
	Offset        crlid.Offset
	Content       []byte
	Configuration *Configuration
}

// verdictsKept bounds how many verdicts a fold remembers.
const maxVerdicts = 256

// Fold decides publications in offset order; its zero offset in force is crlid.NoOffset.
type Fold struct {
	inForce    Accepted
	incomplete bool // blind is true after entries were lost: bases can't be compared.
	verdicts   map[string]Verdict
	ids        []string
}

// NewFold returns a fold with no configuration in force.
func NewFold() *Fold {
	return &Fold{inForce: Accepted{Offset: crlid.NoOffset}, verdicts: make(map[string]Verdict)}
}

// InForce returns the configuration in force; its Configuration is nil before the first.
func (f *Fold) InForce() Accepted { return f.inForce }

// Blind reports whether the fold lost entries and decides nothing until a checkpoint or a forced publication.
func (f *Fold) Incomplete() bool { return f.incomplete }

// Verdict returns what became of a publication that the fold has seen.
func (f *Fold) Verdict(id string) (Verdict, bool) {
	v, ok := f.verdicts[id]
	return v, ok
}

// Apply decides one entry of the configuration stream.
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

// savedFold is the state of a fold in a checkpoint.
type savedFold struct {
	Offset     crlid.Offset       `cbor:"1,keyasint"`
	Content    []byte             `cbor:"2,keyasint"`
	IDs        []string           `cbor:"3,keyasint"`
	Verdicts   map[string]Verdict `cbor:"4,keyasint"`
	Incomplete bool               `cbor:"5,keyasint"`
}

// Save returns the state of the fold.
func (f *Fold) Save() ([]byte, error) {
	state, err := cbor.Marshal(savedFold{
		Offset: f.inForce.Offset, Content: f.inForce.Content, IDs: f.ids, Verdicts: f.verdicts, Incomplete: f.incomplete,
	})
	if err != nil {
		return nil, fmt.Errorf("save configuration %d: %w", f.inForce.Offset, err)
	}
	return state, nil
}

// Restore replaces the state of the fold by a saved one.
func (f *Fold) Restore(state []byte) error {
	var saved savedFold
	if err := cbor.Unmarshal(state, &saved); err != nil {
		return fmt.Errorf("restore configuration: %w", err)
	}
	restored := NewFold()
	restored.ids, restored.incomplete = saved.IDs, saved.Incomplete
	maps.Copy(restored.verdicts, saved.Verdicts)
	if saved.Offset != crlid.NoOffset {
		accepted, err := parseAccepted(saved.Offset, saved.Content)
		if err != nil {
			return fmt.Errorf("restore configuration %d: %w", saved.Offset, err)
		}
		restored.inForce = accepted
	}
	*f = *restored
	return nil
}

// Reset empties the fold after entries were lost.
func (f *Fold) Reset() {
	*f = *NewFold()
	f.incomplete = true
}

func (f *Fold) decide(p Publication, offset crlid.Offset) Verdict {
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

// accept returns a content that passes the checker.
func parseAccepted(offset crlid.Offset, content []byte) (Accepted, error) {
	parsed, err := Parse("configuration", content)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Offset: offset, Content: content, Configuration: parsed}, nil
}

func (f *Fold) recordVerdict(id string, v Verdict) {
	f.verdicts[id] = v
	f.ids = append(f.ids, id)
	if len(f.ids) > maxVerdicts {
		delete(f.verdicts, f.ids[0])
		f.ids = f.ids[1:]
	}
}
