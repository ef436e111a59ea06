package crldaemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// methodFetch asks a peer for the configuration that it has in force.
const methodFetch crlpeer.Method = "fetch-configuration"

// Fractions of the freshness limit, given as divisors.
const (
	pollAgeDivisor       = 2 // peers are asked when the newest confirmation is older than limit / queryAgeDivisor
	checkIntervalDivisor = 5 // interval between two checks of the age, and time-out of one query
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

// runConfirmationQueries asks peers to confirm the configuration, or for a newer one, whenever neither the log nor heartbeats
// have confirmed it for limit / queryAgeDivisor. It runs until ctx ends.
func (d *Daemon) runPeerPolls(ctx context.Context) error {
	limit := d.config.Settings.Limits.Freshness
	ticker := time.NewTicker(limit / checkIntervalDivisor)
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
			klog.V(1).Infof("daemon: ask peers for the current configuration: %v", err)
		}
	}
}

// queryPeers asks every peer of the settings once. It adopts a newer configuration if a peer has one. Otherwise it stores the
// time at which the answers confirm the present configuration, if they do.
func (d *Daemon) pollPeers(ctx context.Context, timeout time.Duration) error {
	inquiry := crlconfig.PeerPoll{Served: d.snapshots.Load().Offset, Started: time.Now()}
	inquiry.Replies = d.collectReplies(ctx, timeout)
	conclusion := inquiry.Evaluate()
	if conclusion.NewerPeer != "" {
		return d.fetchFrom(ctx, conclusion.NewerPeer)
	}
	if conclusion.ConfirmedAt.IsZero() {
		return nil
	}
	return d.store.Confirm(ctx, inquiry.Served, conclusion.ConfirmedAt)
}

// collectAnswers asks all peers of the settings concurrently for their configurations, and waits at most the timeout.
func (d *Daemon) collectReplies(ctx context.Context, timeout time.Duration) []crlconfig.PeerReply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return askPeers(d, func(name crlid.Daemon, address string) crlconfig.PeerReply { return d.pollPeer(ctx, name, address) })
}

// askPeer asks one peer for its configuration. The age in its reply is counted back from the moment before the call, so
// that a slow call never makes the confirmation look newer than it is.
func (d *Daemon) pollPeer(ctx context.Context, name crlid.Daemon, address string) crlconfig.PeerReply {
	asked := time.Now()
	var c crladmin.Confirmation
	if err := d.config.Peers.Call(ctx, address, methodConfirm, confirmRequest{}, &c); err != nil {
		var failure *crlpeer.Error
		return crlconfig.PeerReply{Daemon: name, NotRunning: errors.As(err, &failure) && failure.Refused()}
	}
	return crlconfig.PeerReply{Daemon: name, Replied: true, Offset: c.Offset, ConfirmedAt: asked.Add(-c.ConfirmationAge)}
}

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
