package crlbill

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Holding is what a daemon gives a peer to hold until the log has it.
type HoldRequest struct {
	From   crlid.Incarnation `json:"from"`
	Open   []Bill            `json:"open"`   // Open holds the interrupted bills of requests that began.
	Closed []crlid.Request   `json:"closed"` // Closed names requests that need no bill.
	Bills  []Bill            `json:"bills"`  // Bills waits for the log.
}

// Receipt is the answer to a Holding.
type HoldReply struct {
	Domain      crlid.Domain      `json:"failure-domain"` // Domain is that of the peer.
	Incarnation crlid.Incarnation `json:"incarnation"`    // Incarnation is that of the peer; a new one holds nothing.
	Held        bool              `json:"held"`           // Held is false when the peer has no room.
}

// Bounds of a Book.
const (
	maxHeldBills       = 32 << 10        // maxHeld bounds the bills and open requests of all peers together.
	peerTimeout        = time.Minute     // goneAfter is the silence after which an incarnation counts as gone.
	ownerAppendTimeout = 3 * time.Second // flushAfter is how long the daemon that owes a bill may take before a holder appends it.
	reappendInterval   = time.Minute     // appendsAgain is when a bill that the fold still misses is appended anew.
)

// Book holds what peers owe the log.
//
// It is a pure state machine. A held bill is dropped when the fold has counted
// it; until then the holder appends it itself, and the fold drops the repeat.
type HeldBills struct {
	byRequest map[crlid.Request]*heldBill
	lastHeard map[crlid.Incarnation]time.Time // alive is when a peer was last heard.
}

// heldBill is one bill or open request of a peer.
type heldBill struct {
	bill Bill
	from crlid.Incarnation
	due  time.Time // due is when a whole bill is appended by its holder.
}

// NewBook returns a book that holds nothing.
func NewHeldBills() *HeldBills {
	return &HeldBills{byRequest: make(map[crlid.Request]*heldBill), lastHeard: make(map[crlid.Incarnation]time.Time)}
}

// Hold takes over a holding at time now and reports whether there was room for all of it.
func (b *HeldBills) Add(holding HoldRequest, now time.Time) bool {
	b.lastHeard[holding.From] = now
	room := len(b.byRequest)+len(holding.Open)+len(holding.Bills) <= maxHeldBills
	if room {
		b.addBills(holding, now)
	}
	// A request may have begun and been refused within one holding.
	for _, request := range holding.Closed {
		if h, ok := b.byRequest[request]; ok && h.bill.Interrupted {
			delete(b.byRequest, request)
		}
	}
	return room
}

func (b *HeldBills) addBills(holding HoldRequest, now time.Time) {
	for _, bill := range holding.Open {
		if _, ok := b.byRequest[bill.Request]; !ok {
			b.byRequest[bill.Request] = &heldBill{bill: bill, from: holding.From}
		}
	}
	for _, bill := range holding.Bills {
		b.byRequest[bill.Request] = &heldBill{bill: bill, from: holding.From, due: now.Add(ownerAppendTimeout)}
	}
}

// Counted drops what the fold has counted as whole.
func (b *HeldBills) DropCounted(whole func(crlid.Request) bool) {
	for request := range b.byRequest {
		if whole(request) {
			delete(b.byRequest, request)
		}
	}
}

// Due returns the bills to append at time now: those that their daemon should
// have appended by now, and the open requests of daemons that are gone.
func (b *HeldBills) Due(now time.Time) []Bill {
	var due []Bill
	for request, h := range b.byRequest {
		gone := now.Sub(b.lastHeard[h.from]) > peerTimeout
		switch {
		case h.bill.Interrupted && gone:
			delete(b.byRequest, request)
		case h.bill.Interrupted || now.Before(h.due):
			continue
		default:
			h.due = now.Add(reappendInterval)
		}
		due = append(due, h.bill)
	}
	b.dropInactivePeers(now)
	return due
}

// Whole returns every bill of a whole answer that is held.
func (b *HeldBills) Complete() []Bill {
	var bills []Bill
	for _, h := range b.byRequest {
		if !h.bill.Interrupted {
			bills = append(bills, h.bill)
		}
	}
	return bills
}

func (b *HeldBills) dropInactivePeers(now time.Time) {
	holds := make(map[crlid.Incarnation]bool)
	for _, h := range b.byRequest {
		holds[h.from] = true
	}
	for from, heard := range b.lastHeard {
		if !holds[from] && now.Sub(heard) > peerTimeout {
			delete(b.lastHeard, from)
		}
	}
}
