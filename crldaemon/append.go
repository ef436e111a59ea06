package crldaemon

import (
	"context"
	"fmt"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// methodAppend asks an appender, a daemon that appends batches of other daemons, to append a batch to a stream of the log.
const methodAppend crlpeer.Method = "append-batch"

// appendRequest holds the parameters of methodAppend.
type appendRequest struct {
	Stream  crlid.Stream `json:"stream"`
	Payload []byte       `json:"payload"`
}

// appendReply is the result of methodAppend.
type appendReply struct {
	Offset crlid.Offset `json:"offset"`
}

// Forward sends a batch to the combiner of a peer and returns the offset of its append. After an error, the batch may still
// have been appended. It implements crljournal.Forwarder.
func (d *Daemon) Forward(ctx context.Context, to crlid.Daemon, stream crlid.Stream, payload []byte) (crlid.Offset, error) {
	var reply appendReply
	request := appendRequest{Stream: stream, Payload: payload}
	if err := d.config.Peers.Call(ctx, d.addressOf(to), methodAppend, request, &reply); err != nil {
		return crlid.NoOffset, err
	}
	return reply.Offset, nil
}

// appendForPeer serves methodAppend. It returns once the log has acknowledged the append, or the append has failed.
func (d *Daemon) appendForPeer(ctx context.Context, request appendRequest) (appendReply, error) {
	combiner, ok := d.combiners[request.Stream]
	if !ok {
		return appendReply{}, fmt.Errorf("append batch of a peer: unknown stream %q", request.Stream)
	}
	offset, err := combiner.Append(ctx, request.Payload)
	return appendReply{Offset: offset}, err
}

// addressOf returns the address at which a daemon serves its peers, from the roster if the daemon is a member, and otherwise
// from the settings. The address is empty if neither has the daemon.
func (d *Daemon) addressOf(daemon crlid.Daemon) string {
	if roster := d.roster.Load(); roster != nil {
		for _, m := range roster.Members {
			if m.Name == daemon {
				return m.Address
			}
		}
	}
	return d.config.Settings.Peers[daemon]
}
