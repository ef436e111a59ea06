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
	Members func() []crlid.Daemon // the daemons that write checkpoints, including Self
	Age     time.Duration         // age at which the newest checkpoint is replaced; far below the retention time of the log
	// Due returns a new checkpoint and true if the newest one in the stream is older than age, and false if it is not.
	Due func(ctx context.Context, age time.Duration) (Checkpoint, bool, error)
}

// Checkpointer writes checkpoints of a fold to its stream, before records that the fold needs exceed the retention time.
type Checkpointer struct {
	config CheckpointerConfig
}

// NewCheckpointer returns a Checkpointer that is idle until Run is called.
func NewCheckpointer(config CheckpointerConfig) *Checkpointer { return &Checkpointer{config: config} }

// checksPerAge is how many times per CheckpointerConfig.Age a daemon checks whether a checkpoint is due.
const checksPerAge = 16

// Run writes checkpoints when they are due, until ctx ends. A failed check is logged and repeated at the next one.
func (c *Checkpointer) Run(ctx context.Context) error {
	for {
		if crlclock.Sleep(ctx, c.config.Age/checksPerAge); ctx.Err() != nil {
			return ctx.Err()
		}
		if err := c.check(ctx); err != nil && ctx.Err() == nil {
			klog.Warningf("journal: check for a due checkpoint of %s: %v", c.config.Writer.config.Stream, err)
		}
	}
}

// check writes a checkpoint if one is due.
//
// A daemon of a higher rank waits for a greater age, so it writes a checkpoint only if no daemon of a lower rank has written
// one, for example because those daemons have stopped.
func (c *Checkpointer) check(ctx context.Context) error {
	rank := RendezvousRank(string(c.config.Writer.config.Stream), c.config.Self, c.config.Members())
	if rank < 0 {
		return nil
	}
	const ranksPerAge = checksPerAge / 2 // successive ranks wait for checkpoint ages that are two checks apart
	age := c.config.Age + time.Duration(rank)*c.config.Age/ranksPerAge
	checkpoint, due, err := c.config.Due(ctx, age)
	if err != nil || !due {
		return err
	}
	return checkpoint.Write(ctx, c.config.Writer, uuid.NewString())
}

// RendezvousRank returns the index of self in the order of Rendezvous, or -1 if self is not among the members.
func RendezvousRank(key string, self crlid.Daemon, members []crlid.Daemon) int {
	return slices.Index(Rendezvous(key, members), self)
}

// Rendezvous returns the members in rendezvous-hash order for a key. All daemons compute the same order, and it changes little
// when members join or leave.
func Rendezvous(key string, members []crlid.Daemon) []crlid.Daemon {
	weight := func(d crlid.Daemon) uint64 { return xxhash.Sum64String(key + "\x00" + string(d)) }
	return slices.SortedFunc(slices.Values(members), func(a, b crlid.Daemon) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
}
