package crldaemon

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// billDeduplicationPeriod is how long a repeated bill of a request is recognised, by the log's time. Repeats arrive within
// minutes after an outage of the log ends.
const billDeduplicationPeriod = time.Hour

// methodHold asks a peer to hold copies of the bills that the log hasn't acknowledged and the list of open requests.
const methodHold crlpeer.Method = "hold-bills"

// billHolder sends bills to peers that hold them. It implements crlbill.Holder.
type holdClient struct{ daemon *Daemon }

// Hold asks a peer to hold bills and the list of open requests, and returns the peer's receipt.
func (h holdClient) Hold(ctx context.Context, to crlid.Daemon, holding crlbill.HoldRequest) (crlbill.HoldReply, error) {
	var receipt crlbill.HoldReply
	err := h.daemon.config.Peers.Call(ctx, h.daemon.addressOf(to), methodHold, holding, &receipt)
	return receipt, err
}

func (d *Daemon) newLedger() *crlbill.Ledger {
	return crlbill.NewLedger(crlbill.LedgerConfig{
		Loop: d.loop, Writer: d.newWriter(crlbill.Stream), HoldClient: holdClient{d},
		Incarnation: d.incarnation, Domain: d.config.Settings.Domain, Horizon: billDeduplicationPeriod,
		Peers: func() []crlid.Daemon {
			return slices.DeleteFunc(d.members(), func(m crlid.Daemon) bool { return m == d.config.Settings.Name })
		},
	})
}

// checkpointers returns the checkpointers of claims and bills. The folds of these streams need records for longer than the
// log retains them, so their state is appended again as a checkpoint.
func (d *Daemon) checkpointers() []*crljournal.Checkpointer {
	due := map[crlid.Stream]func(context.Context, time.Duration) (crljournal.Checkpoint, bool, error){
		crlclaim.Stream: d.registry.Checkpoint, crlbill.Stream: d.ledger.Checkpoint,
	}
	var checkpointers []*crljournal.Checkpointer
	for stream, f := range due {
		checkpointers = append(checkpointers, crljournal.NewCheckpointer(crljournal.CheckpointerConfig{
			Writer: d.writers[stream], Self: d.config.Settings.Name, Members: d.members,
			Age: d.config.Settings.Limits.CheckpointAge, Due: f,
		}))
	}
	return checkpointers
}
