package crlbill

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

type accountKey struct {
	organisation crlid.Organisation
	version      crlid.Version
	service      crlid.Service
}

// Fold counts the first whole bill of each request, or an interrupted one until a whole one comes.
//
// It knows the requests of one to two horizons by the log's time, so its memory
// does not grow with the stream.
type Fold struct {
	horizon  time.Duration
	state    foldState
	accounts map[accountKey]*Account
}

// foldState is what a checkpoint carries of a fold.
type foldState struct {
	CurrentStart time.Time  `cbor:"1,keyasint"` // Began is the log's time at which Current began.
	Current      generation `cbor:"2,keyasint"`
	Previous     generation `cbor:"3,keyasint"`
	Accounts     []*Account `cbor:"4,keyasint"`
	Requests     int        `cbor:"5,keyasint"`
	Duplicates   int        `cbor:"6,keyasint"`
}

// generation holds the requests billed within one horizon; the value is set while a bill may yet be replaced.
type generation map[crlid.Request]*Bill

// NewFold returns a fold without bills that recognises repeats for at least the horizon.
func NewFold(horizon time.Duration) *Fold {
	f := &Fold{horizon: horizon}
	f.Reset()
	return f
}

// Apply counts one entry of the bills stream at the log's time now.
func (f *Fold) Apply(entry crljournal.LoggedEntry, now time.Time) {
	var b Bill
	if entry.Kind != KindBill || entry.Decode(&b) != nil {
		return
	}
	f.rotate(now)
	held, ok := f.find(b.Request)
	switch {
	case !ok:
		f.state.Requests++
	case held != nil && !b.Interrupted:
		f.account(*held).add(*held, -1)
	default:
		f.state.Duplicates++
		return
	}
	f.account(b).add(b, 1)
	f.state.Current[b.Request] = nil
	if b.Interrupted {
		f.state.Current[b.Request] = &b
	}
}

// Whole reports whether the fold counted a bill of a whole answer for a request.
func (f *Fold) CountedComplete(request crlid.Request) bool {
	held, ok := f.find(request)
	return ok && held == nil
}

// Summary returns the accounts ordered by organisation, version and service.
func (f *Fold) Summary() Summary {
	s := Summary{Requests: f.state.Requests, Duplicates: f.state.Duplicates}
	for _, a := range f.sortedAccounts() {
		if a.Requests > 0 {
			s.Accounts = append(s.Accounts, *a)
		}
	}
	return s
}

// Save returns the whole state.
func (f *Fold) Save() ([]byte, error) {
	f.state.Accounts = f.sortedAccounts()
	return crljournal.Encode(f.state)
}

// Restore replaces the state by a saved one.
func (f *Fold) Restore(state []byte) error {
	f.Reset()
	if err := cbor.Unmarshal(state, &f.state); err != nil {
		f.Reset()
		return fmt.Errorf("restore bills: %w", err)
	}
	for _, a := range f.state.Accounts {
		f.accounts[accountKey{organisation: a.Organisation, version: a.Version, service: a.Service}] = a
	}
	return nil
}

// Reset forgets every bill.
func (f *Fold) Reset() {
	f.state = foldState{Current: make(generation), Previous: make(generation)}
	f.accounts = make(map[accountKey]*Account)
}

func (f *Fold) find(request crlid.Request) (*Bill, bool) {
	if held, ok := f.state.Current[request]; ok {
		return held, true
	}
	held, ok := f.state.Previous[request]
	return held, ok
}

func (f *Fold) rotate(now time.Time) {
	if now.Sub(f.state.CurrentStart) < f.horizon {
		return
	}
	f.state.Previous, f.state.Current = f.state.Current, make(generation)
	f.state.CurrentStart = now
}

func (f *Fold) sortedAccounts() []*Account {
	accounts := make([]*Account, 0, len(f.accounts))
	for _, a := range f.accounts {
		accounts = append(accounts, a)
	}
	slices.SortFunc(accounts, func(a, b *Account) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Service, b.Service))
	})
	return accounts
}

func (f *Fold) account(b Bill) *Account {
	key := accountKey{organisation: b.Organisation, version: b.Version, service: b.Service}
	a, ok := f.accounts[key]
	if !ok {
		a = &Account{Organisation: b.Organisation, Version: b.Version, Service: b.Service}
		f.accounts[key] = a
	}
	return a
}
