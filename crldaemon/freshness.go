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

// methodFetch asks a peer for the configuration that it serves.
const methodFetch crlpeer.Method = "fetch-configuration"

// Shares of the freshness limit.
const (
	queryAgeDivisor      = 2 // askShare is the part of the limit after which peers are asked.
	checkIntervalDivisor = 5 // periodShare is the part of the limit between two looks.
)

// fetchRequest is the empty message of methodFetch.
type fetchRequest struct{}

// fetchReply is a configuration as a peer serves it.
type fetchReply struct {
	Offset  crlid.Offset `json:"offset"`
	Content []byte       `json:"content"`
}

func (d *Daemon) serveFetch(ctx context.Context, _ fetchRequest) (fetchReply, error) {
	served, err := d.store.Served(ctx)
	return fetchReply{Offset: served.Offset, Content: served.Content}, err
}

// keepFresh asks peers for proof and newer configurations while the log gives none.
func (d *Daemon) runConfirmationQueries(ctx context.Context) error {
	limit := d.config.Settings.Limits.Freshness
	ticker := time.NewTicker(limit / checkIntervalDivisor)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if d.snapshots.Load().Fresh(time.Now(), limit/queryAgeDivisor) {
			continue
		}
		if err := d.queryPeers(ctx, limit/checkIntervalDivisor); err != nil && ctx.Err() == nil {
			klog.V(1).Infof("daemon: inquiry about the configuration: %v", err)
		}
	}
}

// inquire asks every other member once and takes what it shows.
func (d *Daemon) queryPeers(ctx context.Context, timeout time.Duration) error {
	inquiry := crlconfig.PeerPoll{Served: d.snapshots.Load().Offset, Started: time.Now()}
	inquiry.Replies = d.askMembers(ctx, timeout)
	conclusion := inquiry.Evaluate()
	if conclusion.NewerPeer != "" {
		return d.fetchFrom(ctx, conclusion.NewerPeer)
	}
	if conclusion.ConfirmedAt.IsZero() {
		return nil
	}
	return d.store.Confirm(ctx, inquiry.Served, conclusion.ConfirmedAt)
}

func (d *Daemon) askMembers(ctx context.Context, timeout time.Duration) []crlconfig.PeerReply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return askPeers(d, func(name crlid.Daemon, address string) crlconfig.PeerReply { return d.askMember(ctx, name, address) })
}

func (d *Daemon) askMember(ctx context.Context, name crlid.Daemon, address string) crlconfig.PeerReply {
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
		return fmt.Errorf("fetch configuration: %w", err)
	}
	if err := d.store.Adopt(ctx, reply.Offset, reply.Content); err != nil {
		return err
	}
	klog.Infof("daemon: configuration %d taken from %s", reply.Offset, name)
	return nil
}
