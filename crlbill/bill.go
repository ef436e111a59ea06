package crlbill

import (
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Stream is the log stream of bills.
const Stream crlid.Stream = "bills"

// KindBill is the kind of an entry whose body is a Bill.
const KindBill crljournal.Kind = 1

// Bill states the tokens and the cost of one request.
type Bill struct {
	Request      crlid.Request      `cbor:"1,keyasint" json:"request"`
	Organisation crlid.Organisation `cbor:"2,keyasint" json:"organisation"`
	Version      crlid.Version      `cbor:"3,keyasint" json:"version,omitempty"`
	Service      crlid.Service      `cbor:"4,keyasint" json:"service,omitempty"`
	Prompt       crlid.Tokens       `cbor:"5,keyasint" json:"prompt-tokens"`
	Answer       crlid.Tokens       `cbor:"6,keyasint" json:"answer-tokens"`
	Cost         crlid.MicroCost    `cbor:"7,keyasint" json:"micro-cost"`
	// Interrupted is true if the answer was not complete. A later bill of the complete answer replaces this one.
	Interrupted bool `cbor:"8,keyasint" json:"interrupted,omitempty"`
}

// Account sums the bills of an organisation for a version or a service.
type Account struct {
	Organisation crlid.Organisation `cbor:"1,keyasint" json:"organisation"`
	Version      crlid.Version      `cbor:"2,keyasint" json:"version,omitempty"`
	Service      crlid.Service      `cbor:"3,keyasint" json:"service,omitempty"`
	Requests     int                `cbor:"4,keyasint" json:"requests"`
	Interrupted  int                `cbor:"5,keyasint" json:"interrupted"` // number of Requests without a complete answer
	Answer       crlid.Tokens       `cbor:"6,keyasint" json:"answer-tokens"`
	Cost         crlid.MicroCost    `cbor:"7,keyasint" json:"micro-cost"`
}

// add adds a bill if sign is 1, or subtracts it if sign is -1.
func (a *Account) add(b Bill, sign int) {
	a.Requests += sign
	if b.Interrupted {
		a.Interrupted += sign
	}
	a.Answer += crlid.Tokens(sign) * b.Answer
	a.Cost += crlid.MicroCost(sign) * b.Cost
}

// Summary is the result of a Fold.
type Summary struct {
	Accounts   []Account `json:"accounts"`
	Requests   int       `json:"requests"`           // billed requests, each counted once
	Duplicates int       `json:"duplicates-dropped"` // bills that were dropped as repeats
}
