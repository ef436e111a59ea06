package crlbill

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Loop runs tasks on the goroutine that owns control state.
type Loop interface {
	Do(ctx context.Context, task func()) error
}

// Holder hands a holding to a peer.
type HoldClient interface {
	Hold(ctx context.Context, to crlid.Daemon, holding HoldRequest) (HoldReply, error)
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Loop        Loop
	Writer      *crljournal.Writer
	HoldClient  HoldClient
	Incarnation crlid.Incarnation // Incarnation is that of this daemon.
	Domain      crlid.Domain      // Domain is that of this daemon.
	Peers       func() []crlid.Daemon
	Horizon     time.Duration // Horizon is how long a repeated bill is recognised, by the log's time.
}

// Ledger carries bills to the log, holds those of peers and folds them.
type Ledger struct {
	config    LedgerConfig
	replica   *crljournal.Replica
	fold      *Fold
	heldBills *HeldBills
	sender    *holdSender
}

// NewLedger returns a ledger without bills.
func NewLedger(config LedgerConfig) *Ledger {
	fold := NewFold(config.Horizon)
	return &Ledger{
		config: config, fold: fold, heldBills: NewHeldBills(), sender: newHoldSender(config),
		replica: crljournal.NewReplica(crljournal.ReplicaConfig{Fold: fold, Horizon: config.Horizon}),
	}
}

// logPatience is how long a bill waits for the log alone before peers are asked to hold it too.
const logOnlyTimeout = 150 * time.Millisecond

// Open tells peers of a request that begins, so that it is billed as interrupted should this daemon die.
func (l *Ledger) Open(bill Bill) { l.sender.openRequest(bill) }

// Close tells peers that a request needs no bill.
func (l *Ledger) Close(request crlid.Request) { l.sender.closeRequest(request) }

// Commit makes a bill durable: on the log, or held by two peers besides this daemon.
//
// An error means that ctx ended first; the bill still goes to the log.
func (l *Ledger) Commit(ctx context.Context, bill Bill) error {
	ticket, err := l.config.Writer.Submit(KindBill, bill)
	if err == nil {
		patience, cancel := context.WithTimeout(ctx, logOnlyTimeout)
		err = ticket.Wait(patience)
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

// ticketDone returns the channel of a ticket, nil if nothing was submitted.
func ticketDone(ticket crljournal.Ticket) <-chan crlid.Offset {
	if ticket.Sequence == 0 {
		return nil
	}
	return ticket.Done()
}

// Run tells peers what this daemon owes the log until ctx ends.
func (l *Ledger) Run(ctx context.Context) error { return l.sender.run(ctx) }

// Receive holds what a peer owes the log.
func (l *Ledger) HoldForPeer(ctx context.Context, holding HoldRequest) (HoldReply, error) {
	receipt := HoldReply{Domain: l.config.Domain, Incarnation: l.config.Incarnation}
	// The task may still run after a failed Do, so what it writes is read only after it ran.
	if err := l.config.Loop.Do(ctx, func() { receipt.Held = l.heldBills.Add(holding, time.Now()) }); err != nil {
		return HoldReply{}, err
	}
	return receipt, nil
}

// Deliver folds a batch of the bills stream and appends what peers owe and should have appended by now.
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

// Drain appends what this daemon holds for peers, before it stops; the writer's flush then waits for the log.
func (l *Ledger) Drain(ctx context.Context) error {
	return l.config.Loop.Do(ctx, func() { l.appendAll(l.heldBills.Complete()) })
}

// appendAll appends bills of peers; it runs on the loop.
func (l *Ledger) appendAll(bills []Bill) {
	for _, bill := range bills {
		if _, err := l.config.Writer.Submit(KindBill, bill); err != nil {
			klog.Warningf("bill: %s of a peer waits on: %v", bill.Request, err)
		}
	}
}

// Checkpoint restates the bills if the newest checkpoint is older than age.
func (l *Ledger) Checkpoint(ctx context.Context, age time.Duration) (crljournal.Checkpoint, bool, error) {
	var checkpoint crljournal.Checkpoint
	var due bool
	var err error
	failed := l.config.Loop.Do(ctx, func() {
		if due = l.replica.CheckpointDue(time.Now(), age); due {
			checkpoint, err = l.replica.Checkpoint()
		}
	})
	if failed != nil {
		return crljournal.Checkpoint{}, false, failed
	}
	return checkpoint, due, err
}

// Summary returns what was billed so far.
func (l *Ledger) Summary(ctx context.Context) (Summary, error) {
	var s Summary
	if err := l.config.Loop.Do(ctx, func() { s = l.fold.Summary() }); err != nil {
		return Summary{}, err
	}
	return s, nil
}
