package crldaemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// methodFetch asks a peer for the configuration that it has in force.
const methodFetch crlpeer.Method = "fetch-configuration"

// Fractions of the freshness limit, given as divisors.
const (
	pollAgeDivisor       = 2 // peers are polled when the newest confirmation is older than Limits.Freshness / pollAgeDivisor
	checkIntervalDivisor = 5 // interval between two checks of the age, and time-out of one poll, as Limits.Freshness / checkIntervalDivisor
)

// fetchRequest holds the parameters of methodFetch, which has none.
type fetchRequest struct{}

// fetchReply is the result of methodFetch: the content of a configuration file and the log offset of its record.
type fetchReply struct {
	Offset  crlid.Offset `json:"offset"`
	Content []byte       `json:"content"`
}

func (d *Daemon) serveFetch(ctx context.Context, _ fetchRequest) (fetchReply, error) {
	served, err := d.store.Served(ctx)
	return fetchReply{Offset: served.Offset, Content: served.Content}, err
}

// runPeerPolls polls the peers when neither the log nor heartbeats have confirmed the configuration in force for longer than
// limit / pollAgeDivisor. It runs until ctx ends.
func (d *Daemon) runPeerPolls(ctx context.Context) error {
	limit := d.config.Settings.Limits.Freshness
	ticker := crlclock.NewTicker(limit / checkIntervalDivisor)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if d.snapshots.Load().Fresh(time.Now(), limit/pollAgeDivisor) {
			continue
		}
		if err := d.pollPeers(ctx, limit/checkIntervalDivisor); err != nil && ctx.Err() == nil {
			klog.V(1).Infof("daemon: poll of peers for the current configuration failed: %v", err)
		}
	}
}

// pollPeers asks every peer of the settings once which configuration it has in force. It fetches and adopts a newer one if a
// peer has one. Otherwise it records the latest time at which the replies show that the configuration in force here was
// current, if they show one.
func (d *Daemon) pollPeers(ctx context.Context, timeout time.Duration) error {
	poll := crlconfig.PeerPoll{Served: d.snapshots.Load().Offset, Started: time.Now()}
	poll.Replies = d.collectReplies(ctx, timeout)
	result := poll.Evaluate()
	if result.NewerPeer != "" {
		return d.fetchFrom(ctx, result.NewerPeer)
	}
	if result.ConfirmedAt.IsZero() {
		return nil
	}
	return d.store.Confirm(ctx, poll.Served, result.ConfirmedAt)
}

// collectReplies polls all peers of the settings concurrently and waits at most the timeout. A peer that fails to reply in time
// has a reply with Replied false.
func (d *Daemon) collectReplies(ctx context.Context, timeout time.Duration) []crlconfig.PeerReply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return askPeers(d, func(name crlid.Daemon, address string) crlconfig.PeerReply { return d.pollPeer(ctx, name, address) })
}

// pollPeer asks one peer which configuration it has in force. The age of the confirmation in the reply is subtracted from the
// time before the call, so that a slow call never makes the confirmation look newer than it is.
func (d *Daemon) pollPeer(ctx context.Context, name crlid.Daemon, address string) crlconfig.PeerReply {
	asked := time.Now()
	var c crladmin.Confirmation
	if err := d.config.Peers.Call(ctx, address, methodConfirm, confirmRequest{}, &c); err != nil {
		var failure *crlpeer.Error
		return crlconfig.PeerReply{Daemon: name, NotRunning: errors.As(err, &failure) && failure.Refused()}
	}
	return crlconfig.PeerReply{Daemon: name, Replied: true, Offset: c.Offset, ConfirmedAt: asked.Add(-c.ConfirmationAge)}
}

// fetchFrom fetches the configuration that a peer has in force, and adopts it if it is newer than the one in force here.
func (d *Daemon) fetchFrom(ctx context.Context, name crlid.Daemon) error {
	var reply fetchReply
	if err := d.config.Peers.Call(ctx, d.config.Settings.Peers[name], methodFetch, fetchRequest{}, &reply); err != nil {
		return fmt.Errorf("fetch configuration from %s: %w", name, err)
	}
	if err := d.store.Adopt(ctx, reply.Offset, reply.Content); err != nil {
		return err
	}
	klog.Infof("daemon: adopted configuration %d from peer %s", reply.Offset, name)
	return nil
}
