package crlbill

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// HoldRequest asks a peer to hold bills and open requests of a daemon until they are on the log.
type HoldRequest struct {
	From   crlid.Incarnation `json:"from"`   // incarnation of the sender
	Open   []Bill            `json:"open"`   // requests that have begun, as interrupted bills
	Closed []crlid.Request   `json:"closed"` // open requests that need no bill
	Bills  []Bill            `json:"bills"`  // complete bills that are not yet on the log
}

// HoldReply is a peer's reply to a HoldRequest.
type HoldReply struct {
	Domain      crlid.Domain      `json:"failure-domain"` // failure domain of the peer
	Incarnation crlid.Incarnation `json:"incarnation"`    // incarnation of the peer; a restarted peer has another one, and holds nothing
	Held        bool              `json:"held"`           // false if the peer had no room and did not store Open and Bills
}

// Limits and periods of HeldBills.
const (
	maxHeldBills       = 32 << 10        // limit on the bills and open requests of all peers together
	peerTimeout        = time.Minute     // time without a HoldRequest after which an incarnation counts as stopped
	ownerAppendTimeout = 3 * time.Second // time that the daemon which sent a bill has to append it before the holder does
	reappendInterval   = time.Minute     // time after which a bill that the fold has not counted is appended again
)

// HeldBills holds bills and open requests of peers that are not yet on the log.
//
// It is a state machine without I/O and not safe for concurrent use. A bill is held until the fold has counted it. If its daemon
// does not append it in time, the holder does; should both append it, the fold drops the repeat.
type HeldBills struct {
	byRequest    map[crlid.Request]*heldBill
	lastReceived map[crlid.Incarnation]time.Time // time of the last HoldRequest of each incarnation
}

// heldBill is one bill or open request of a peer; an open request is an interrupted bill.
type heldBill struct {
	bill Bill
	from crlid.Incarnation
	due  time.Time // time from which the holder appends the bill itself; unused for an open request
}

// NewHeldBills returns an empty HeldBills.
func NewHeldBills() *HeldBills {
	return &HeldBills{byRequest: make(map[crlid.Request]*heldBill), lastReceived: make(map[crlid.Incarnation]time.Time)}
}

// Add applies a HoldRequest received at time now. It returns false, and stores neither bills nor open requests, if there is no room
// for all of them. Requests are closed in either case.
func (b *HeldBills) Add(request HoldRequest, now time.Time) bool {
	b.lastReceived[request.From] = now
	room := len(b.byRequest)+len(request.Open)+len(request.Bills) <= maxHeldBills
	if room {
		b.addBills(request, now)
	}
	// Close after opening: one HoldRequest may contain both the start and the end of a request.
	for _, id := range request.Closed {
		if h, ok := b.byRequest[id]; ok && h.bill.Interrupted {
			delete(b.byRequest, id)
		}
	}
	return room
}

func (b *HeldBills) addBills(request HoldRequest, now time.Time) {
	for _, bill := range request.Open {
		if _, ok := b.byRequest[bill.Request]; !ok {
			b.byRequest[bill.Request] = &heldBill{bill: bill, from: request.From}
		}
	}
	for _, bill := range request.Bills {
		b.byRequest[bill.Request] = &heldBill{bill: bill, from: request.From, due: now.Add(ownerAppendTimeout)}
	}
}

// DropCounted removes the requests of which the fold has counted a complete bill, as reported by the function countedComplete.
func (b *HeldBills) DropCounted(countedComplete func(crlid.Request) bool) {
	for request := range b.byRequest {
		if countedComplete(request) {
			delete(b.byRequest, request)
		}
	}
}

// Due returns the bills that this daemon has to append at time now: those that the daemon which sent them did not append in time, and
// the open requests of daemons that have stopped. It drops the latter.
func (b *HeldBills) Due(now time.Time) []Bill {
	var due []Bill
	for request, h := range b.byRequest {
		stopped := now.Sub(b.lastReceived[h.from]) > peerTimeout
		switch {
		case h.bill.Interrupted && stopped:
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

// Complete returns all held bills of complete answers.
func (b *HeldBills) Complete() []Bill {
	var bills []Bill
	for _, h := range b.byRequest {
		if !h.bill.Interrupted {
			bills = append(bills, h.bill)
		}
	}
	return bills
}

// dropInactivePeers removes the incarnations that have stopped and of which nothing is held.
func (b *HeldBills) dropInactivePeers(now time.Time) {
	needed := make(map[crlid.Incarnation]bool)
	for _, h := range b.byRequest {
		needed[h.from] = true
	}
	for from, received := range b.lastReceived {
		if !needed[from] && now.Sub(received) > peerTimeout {
			delete(b.lastReceived, from)
		}
	}
}
