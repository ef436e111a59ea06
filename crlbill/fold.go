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

// Fold counts the first complete bill of each request, or an interrupted one until a complete one replaces it.
//
// It retains the identifiers of the requests of the last one to two horizons by the log's time, so its memory does not grow with
// the length of the stream.
type Fold struct {
	horizon  time.Duration
	state    foldState
	accounts map[accountKey]*Account // also in state.Accounts, which is only up to date after Save and Restore
}

// foldState is the part of a fold that a checkpoint stores.
type foldState struct {
	CurrentStart time.Time  `cbor:"1,keyasint"` // log time at which Current was begun
	Current      generation `cbor:"2,keyasint"`
	Previous     generation `cbor:"3,keyasint"`
	Accounts     []*Account `cbor:"4,keyasint"`
	Requests     int        `cbor:"5,keyasint"`
	Duplicates   int        `cbor:"6,keyasint"`
}

// generation maps the requests billed within one horizon to their interrupted bill, or to nil if the complete bill was counted.
type generation map[crlid.Request]*Bill

// NewFold returns a fold without bills that recognises repeated bills for at least the horizon.
func NewFold(horizon time.Duration) *Fold {
	f := &Fold{horizon: horizon}
	f.Reset()
	return f
}

// Apply counts one entry of Stream at the log's time now.
func (f *Fold) Apply(entry crljournal.LoggedEntry, now time.Time) {
	var b Bill
	if entry.Kind != KindBill || entry.Decode(&b) != nil {
		return
	}
	f.rotate(now)
	interrupted, counted := f.find(b.Request)
	switch {
	case !counted:
		f.state.Requests++
	case interrupted != nil && !b.Interrupted:
		f.account(*interrupted).add(*interrupted, -1)
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

// CountedComplete reports whether the bill of a complete answer to the request was counted within the horizon.
func (f *Fold) CountedComplete(request crlid.Request) bool {
	interrupted, counted := f.find(request)
	return counted && interrupted == nil
}

// Summary returns the totals, with the accounts sorted by organisation, version and service.
func (f *Fold) Summary() Summary {
	s := Summary{Requests: f.state.Requests, Duplicates: f.state.Duplicates}
	for _, a := range f.sortedAccounts() {
		if a.Requests > 0 {
			s.Accounts = append(s.Accounts, *a)
		}
	}
	return s
}

// Save returns the encoded state.
func (f *Fold) Save() ([]byte, error) {
	f.state.Accounts = f.sortedAccounts()
	return crljournal.Encode(f.state)
}

// Restore replaces the state with a saved one, or empties it if that can't be decoded.
func (f *Fold) Restore(state []byte) error {
	f.Reset()
	if err := cbor.Unmarshal(state, &f.state); err != nil {
		f.Reset()
		return fmt.Errorf("restore bills from checkpoint of %d bytes: %w", len(state), err)
	}
	for _, a := range f.state.Accounts {
		f.accounts[accountKey{organisation: a.Organisation, version: a.Version, service: a.Service}] = a
	}
	return nil
}

// Reset discards all bills.
func (f *Fold) Reset() {
	f.state = foldState{Current: make(generation), Previous: make(generation)}
	f.accounts = make(map[accountKey]*Account)
}

// find reports whether a bill of the request was counted, and returns the bill if it is an interrupted one, else nil.
func (f *Fold) find(request crlid.Request) (*Bill, bool) {
	if interrupted, counted := f.state.Current[request]; counted {
		return interrupted, true
	}
	interrupted, counted := f.state.Previous[request]
	return interrupted, counted
}

// rotate begins a new generation once per horizon and drops the one before the last.
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

// account returns the account that a bill belongs to, which it creates if there is none.
func (f *Fold) account(b Bill) *Account {
	key := accountKey{organisation: b.Organisation, version: b.Version, service: b.Service}
	a, ok := f.accounts[key]
	if !ok {
		a = &Account{Organisation: b.Organisation, Version: b.Version, Service: b.Service}
		f.accounts[key] = a
	}
	return a
}
