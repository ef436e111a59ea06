package crlbill

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Loop runs tasks one after the other on the goroutine that owns the fold and the held bills of a Ledger. Do waits until the task
// has run; if Do fails, the task never runs.
type Loop interface {
	Do(ctx context.Context, task func()) error
}

// HoldClient sends a HoldRequest to a peer, whose Ledger.HoldForPeer answers it.
type HoldClient interface {
	Hold(ctx context.Context, to crlid.Daemon, request HoldRequest) (HoldReply, error)
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Loop        Loop
	Writer      *crljournal.Writer
	HoldClient  HoldClient
	Incarnation crlid.Incarnation     // incarnation of this daemon
	Domain      crlid.Domain          // failure domain of this daemon
	Peers       func() []crlid.Daemon // the other daemons of the fleet
	Horizon     time.Duration         // time, by the log's clock, for which a repeated bill is recognised
}

// Ledger appends bills to the log, holds the bills of peers and counts all bills.
type Ledger struct {
	config    LedgerConfig
	replica   *crljournal.Replica // feeds fold with the entries of Stream
	fold      *Fold
	heldBills *HeldBills  // bills of peers
	sender    *holdSender // asks peers to hold the bills of this daemon
}

// NewLedger returns a ledger without bills.
func NewLedger(config LedgerConfig) *Ledger {
	fold := NewFold(config.Horizon)
	return &Ledger{
		config: config, fold: fold, heldBills: NewHeldBills(), sender: newHoldSender(config),
		replica: crljournal.NewReplica(crljournal.ReplicaConfig{Fold: fold, Horizon: config.Horizon}),
	}
}

// logOnlyTimeout is how long Commit waits for the log before it also asks peers to hold the bill.
const logOnlyTimeout = 150 * time.Millisecond

// Open asks peers to hold a request that begins, so that they bill it as interrupted if this daemon stops before Commit. The bill is
// the interrupted one. Open does not wait for the peers.
func (l *Ledger) Open(bill Bill) { l.sender.openRequest(bill) }

// Close notifies the peers that an open request needs no bill. It does not wait for them.
func (l *Ledger) Close(request crlid.Request) { l.sender.closeRequest(request) }

// Commit appends a bill and waits until it is durable: on the log, or held by two peers besides this daemon (by one if there is only
// one).
//
// An error means that ctx ended first. The bill may still become durable later: if the Writer accepted it, it stays queued for
// the log. If the Writer rejected it, for example because its queue was full, only peers that hold the bill append it.
func (l *Ledger) Commit(ctx context.Context, bill Bill) error {
	ticket, err := l.config.Writer.Submit(KindBill, bill)
	if err == nil {
		waitCtx, cancel := context.WithTimeout(ctx, logOnlyTimeout)
		err = ticket.Wait(waitCtx)
		cancel()
	}
	if err == nil {
		return nil
	}
	held := l.sender.requestHold(bill)
	select {
	case <-held:
		return nil
	case <-ticketDone(ticket):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ticketDone returns the channel of a ticket, or nil, which blocks for ever, if nothing was submitted.
func ticketDone(ticket crljournal.Ticket) <-chan crlid.Offset {
	if ticket.Sequence == 0 {
		return nil
	}
	return ticket.Done()
}

// Run sends the bills and open requests of this daemon to peers until ctx ends.
func (l *Ledger) Run(ctx context.Context) error { return l.sender.run(ctx) }

// HoldForPeer stores the bills and open requests of a peer, which asks for it through its HoldClient.
func (l *Ledger) HoldForPeer(ctx context.Context, request HoldRequest) (HoldReply, error) {
	reply := HoldReply{Domain: l.config.Domain, Incarnation: l.config.Incarnation}
	// If Do fails, its task never runs, so nothing was stored.
	if err := l.config.Loop.Do(ctx, func() { reply.Held = l.heldBills.Add(request, time.Now()) }); err != nil {
		return HoldReply{}, err
	}
	return reply, nil
}

// Deliver applies a batch of Stream. If the batch ends at the head of the stream, it also appends the held bills that peers did
// not append in time.
func (l *Ledger) Deliver(ctx context.Context, batch crljournal.Batch) error {
	return l.config.Loop.Do(ctx, func() {
		l.replica.Fold(batch)
		if !batch.CaughtUp() {
			return
		}
		l.heldBills.DropCounted(l.fold.CountedComplete)
		l.sender.dropCounted(l.fold.CountedComplete)
		l.appendAll(l.heldBills.Due(time.Now()))
	})
}

// Drain appends the complete bills that this daemon holds for peers; call it before the daemon stops. It does not wait for the log:
// flush the Writer afterwards.
func (l *Ledger) Drain(ctx context.Context) error {
	return l.config.Loop.Do(ctx, func() { l.appendAll(l.heldBills.Complete()) })
}

// appendAll submits bills that are held for peers. It must run on the loop.
func (l *Ledger) appendAll(bills []Bill) {
	for _, bill := range bills {
		if _, err := l.config.Writer.Submit(KindBill, bill); err != nil {
			klog.Warningf("bill: submit bill of request %s, held for a peer, failed: %v", bill.Request, err)
		}
	}
}

// Checkpoint returns a checkpoint of the bills and true if the newest one in the stream is older than age.
func (l *Ledger) Checkpoint(ctx context.Context, age time.Duration) (crljournal.Checkpoint, bool, error) {
	var checkpoint crljournal.Checkpoint
	var due bool
	var err error
	loopErr := l.config.Loop.Do(ctx, func() {
		if due = l.replica.CheckpointDue(time.Now(), age); due {
			checkpoint, err = l.replica.Checkpoint()
		}
	})
	if loopErr != nil {
		return crljournal.Checkpoint{}, false, loopErr
	}
	return checkpoint, due, err
}

// Summary returns the totals of the bills that this daemon has read from the log so far.
func (l *Ledger) Summary(ctx context.Context) (Summary, error) {
	var s Summary
	if err := l.config.Loop.Do(ctx, func() { s = l.fold.Summary() }); err != nil {
		return Summary{}, err
	}
	return s, nil
}
