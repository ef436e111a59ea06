package crlpeer

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	minAcceptPause    = 5 * time.Millisecond // pause after the first failure in a row, doubled with each further one, as in net/http
	maxAcceptPause    = time.Second
	acceptLogInterval = 10 * time.Second // shortest time between two log lines about failures
)

// acceptBackoff is the pause between failed attempts to accept a connection. The failures of a listener that is still open have
// passing causes, such as a process without a free descriptor.
type acceptBackoff struct {
	pause    time.Duration // latest pause, 0 after a success
	failures int           // since the last log line
	loggedAt time.Time
}

// wait logs a failure, unless another was logged within acceptLogInterval, and pauses until the next attempt or the end of ctx.
func (b *acceptBackoff) wait(ctx context.Context, err error) {
	b.pause = min(max(2*b.pause, minAcceptPause), maxAcceptPause)
	b.failures++
	if now := time.Now(); now.Sub(b.loggedAt) >= acceptLogInterval {
		klog.Warningf("peer: connections of peers could not be accepted, %d failures: %v", b.failures, err)
		b.failures, b.loggedAt = 0, now
	}
	crlclock.Sleep(ctx, b.pause)
}
