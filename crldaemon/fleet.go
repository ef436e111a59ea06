package crldaemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// methodConfirm asks a peer which configuration it has in force.
const methodConfirm crlpeer.Method = "confirm-configuration"

// confirmRequest is the empty message of methodConfirm.
type confirmRequest struct{}

func (d *Daemon) registerMethods() {
	d.mux.Register(methodConfirm, crlpeer.Typed(func(context.Context, confirmRequest) (crladmin.Confirmation, error) {
		return d.confirmation(), nil
	}))
	d.mux.Register(methodHold, crlpeer.Typed(d.ledger.HoldForPeer))
	d.mux.Register(methodFetch, crlpeer.Typed(d.serveFetch))
	d.mux.Register(methodAppend, crlpeer.Typed(d.appendForPeer))
	d.registerBurn()
}

func (d *Daemon) confirmation() crladmin.Confirmation {
	s := d.snapshots.Load()
	return crladmin.Confirmation{Daemon: d.config.Settings.Name, Offset: s.Offset, ConfirmationAge: time.Since(s.ConfirmedAt)}
}

// askPeers asks every peer of the settings at once and returns their answers in no order.
func askPeers[T any](d *Daemon, ask func(name crlid.Daemon, address string) T) []T {
	answers := make([]T, 0, len(d.config.Settings.Peers)+1)
	var mu sync.Mutex // mu guards answers.
	var calls sync.WaitGroup
	for name, address := range d.config.Settings.Peers {
		calls.Go(func() {
			answer := ask(name, address)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	calls.Wait()
	return answers
}

// Confirmations asks every peer which configuration it has in force.
func (d *Daemon) Confirmations(ctx context.Context) []crladmin.Confirmation {
	confirmations := append(askPeers(d, func(name crlid.Daemon, address string) crladmin.Confirmation {
		return d.askConfirmation(ctx, name, address)
	}), d.confirmation())
	slices.SortFunc(confirmations, func(a, b crladmin.Confirmation) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return confirmations
}

func (d *Daemon) askConfirmation(ctx context.Context, name crlid.Daemon, address string) crladmin.Confirmation {
	var c crladmin.Confirmation
	if err := d.config.Peers.Call(ctx, address, methodConfirm, confirmRequest{}, &c); err != nil {
		return crladmin.Confirmation{Daemon: name, Offset: crlid.NoOffset, Error: err.Error()}
	}
	return c
}
