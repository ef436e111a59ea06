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

// billHorizon is how long a repeated bill is recognised; repeats come within minutes after an outage ends.
const billDeduplicationPeriod = time.Hour

// methodHold asks a peer to hold what this daemon owes the log.
const methodHold crlpeer.Method = "hold-bills"

// billHolder hands holdings to peers.
type billHolder struct{ daemon *Daemon }

// Hold asks a peer to hold bills and open requests.
func (h billHolder) Hold(ctx context.Context, to crlid.Daemon, holding crlbill.HoldRequest) (crlbill.HoldReply, error) {
	var receipt crlbill.HoldReply
	err := h.daemon.config.Peers.Call(ctx, h.daemon.addressOf(to), methodHold, holding, &receipt)
	return receipt, err
}

func (d *Daemon) newLedger() *crlbill.Ledger {
	return crlbill.NewLedger(crlbill.LedgerConfig{
		Loop: d.loop, Writer: d.newWriter(crlbill.Stream), HoldClient: billHolder{d},
		Incarnation: d.incarnation, Domain: d.config.Settings.Domain, Horizon: billDeduplicationPeriod,
		Peers: func() []crlid.Daemon {
			return slices.DeleteFunc(d.members(), func(m crlid.Daemon) bool { return m == d.config.Settings.Name })
		},
	})
}

// checkpointers restate the streams whose folds outlive the log's retention.
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
