package crljournal

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// CheckpointerConfig configures a Checkpointer.
type CheckpointerConfig struct {
	Writer  *Writer
	Self    crlid.Daemon
	Members func() []crlid.Daemon // Members returns the daemons that write checkpoints, with Self.
	Age     time.Duration         // Age is when a checkpoint is replaced; far below the log's retention.
	// Due returns a checkpoint if the newest one is older than age, and false if not.
	Due func(ctx context.Context, age time.Duration) (Checkpoint, bool, error)
}

// Checkpointer restates a stream before the records that its fold needs expire.
type Checkpointer struct {
	config CheckpointerConfig
}

// NewCheckpointer returns a Checkpointer that writes nothing until Run is called.
func NewCheckpointer(config CheckpointerConfig) *Checkpointer { return &Checkpointer{config: config} }

// checkpointChecks is how often in the age of a checkpoint a daemon looks whether one is due.
const checksPerAge = 16

// Run writes checkpoints until ctx ends.
func (c *Checkpointer) Run(ctx context.Context) error {
	for {
		if crlclock.Sleep(ctx, c.config.Age/checksPerAge); ctx.Err() != nil {
			return ctx.Err()
		}
		if err := c.check(ctx); err != nil && ctx.Err() == nil {
			klog.Warningf("journal: %v", err)
		}
	}
}

// check writes a checkpoint if one is due; a daemon of a later rank waits longer, in case those before it are gone.
func (c *Checkpointer) check(ctx context.Context) error {
	rank := RendezvousRank(string(c.config.Writer.config.Stream), c.config.Self, c.config.Members())
	if rank < 0 {
		return nil
	}
	const waitShare = checksPerAge / 2
	age := c.config.Age + time.Duration(rank)*c.config.Age/waitShare
	checkpoint, due, err := c.config.Due(ctx, age)
	if err != nil || !due {
		return err
	}
	return checkpoint.Write(ctx, c.config.Writer, uuid.NewString())
}

// Rank returns the place of a daemon among the members by rendezvous hash of a key, 0 for the first and -1 for none.
func RendezvousRank(key string, self crlid.Daemon, members []crlid.Daemon) int {
	return slices.Index(Rendezvous(key, members), self)
}

// Rendezvous returns the members in the order of their hashes with a key.
func Rendezvous(key string, members []crlid.Daemon) []crlid.Daemon {
	weight := func(d crlid.Daemon) uint64 { return xxhash.Sum64String(key + "\x00" + string(d)) }
	return slices.SortedFunc(slices.Values(members), func(a, b crlid.Daemon) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
}
