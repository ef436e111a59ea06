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

// methodConfirm asks a peer which configuration it has in force and when that was last confirmed current.
const methodConfirm crlpeer.Method = "confirm-configuration"

// confirmRequest holds the parameters of methodConfirm, which has none.
type confirmRequest struct{}

// registerMethods registers the methods for peers that no other part registers by itself.
func (d *Daemon) registerMethods() {
	d.mux.Register(methodConfirm, crlpeer.Typed(func(context.Context, confirmRequest) (crladmin.Confirmation, error) {
		return d.confirmation(), nil
	}))
	d.mux.Register(methodHold, crlpeer.Typed(d.ledger.HoldForPeer))
	d.mux.Register(methodFetch, crlpeer.Typed(d.serveFetch))
	d.mux.Register(methodAppend, crlpeer.Typed(d.appendForPeer))
	d.registerBurn()
}

// confirmation returns this daemon's own answer to methodConfirm.
func (d *Daemon) confirmation() crladmin.Confirmation {
	s := d.snapshots.Load()
	return crladmin.Confirmation{Daemon: d.config.Settings.Name, Offset: s.Offset, ConfirmationAge: time.Since(s.ConfirmedAt)}
}

// askPeers calls ask concurrently for every peer of the settings and returns the results in no particular order.
func askPeers[T any](d *Daemon, ask func(name crlid.Daemon, address string) T) []T {
	results := make([]T, 0, len(d.config.Settings.Peers)+1)
	var mu sync.Mutex // guards results
	var calls sync.WaitGroup
	for name, address := range d.config.Settings.Peers {
		calls.Go(func() {
			result := ask(name, address)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	calls.Wait()
	return results
}

// Confirmations asks every peer of the settings which configuration it has in force. The result includes this daemon and is
// sorted by name; the entry of a peer that didn't answer has an Error. It implements crladmin.Fleet.
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
