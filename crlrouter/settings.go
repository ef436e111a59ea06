package crlrouter

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Settings are what one router reads at its start.
type Settings struct {
	Daemon      crlid.Daemon
	Domain      crlid.Domain
	Listen      string   // Listen is the address for callers.
	Readiness   string   // Readiness is the address that the balancer asks.
	Metrics     string   // Metrics is the address of metrics.
	Peer        string   // Peer is the address for other routers.
	Seeds       []string // Seeds are such addresses of a few other routers, which may be down or gone.
	Store       string   // Store is the address of the platform's store.
	MemoryBytes int64    // MemoryBytes is the memory that the process may use.
	First       bool     // First is set when the whole fleet starts for the first time.
	Strength    int      // Strength is the lesser of the link in Mbit/s and the processor in thousandths of a core.
	Bounds      Bounds
}

// Bounds are the limits that the deployment asks the router to keep.
type Bounds struct {
	Grace       time.Duration // Grace is the time from the signal to stop to the kill.
	Revocation  time.Duration // Revocation is how soon a key that was taken away must not work, 0 for no bound.
	RetryRatio  float64       // RetryRatio is the extra sends for each request in RetryWindow over all daemons.
	RetryWindow time.Duration
	RetrySlack  float64 // RetrySlack is the extra sends in RetryWindow beyond the ratio.
	ColdRatio   float64 // ColdRatio times a cold server's rate, and ColdSlack, bound the requests to it in a second.
	ColdSlack   float64
	Exposure    float64       // Exposure is the part of a service's requests until a roll-out's deadline that a bad version may get.
	Session     time.Duration // Session is how soon the next request of a session follows.
	Drain       time.Duration // Drain is how soon a server that leaves must get nothing, 0 for defaultDrain.
}

const (
	defaultDrain = 2 * time.Second // defaultDrain is the bound of today's deployments.
	// drainFraction leaves most of the bound to a reader that fails and its followers.
	serversPauseFraction = 0.35
	maxServersPause      = 800 * time.Millisecond // longestServersPause keeps a fresh proof from looking like an outage.
)

// serversPause returns the least time between two reads of the servers' entries, which change all the time.
func (b Bounds) serversPause() time.Duration {
	drain := b.Drain
	if drain <= 0 {
		drain = defaultDrain
	}
	return min(time.Duration(serversPauseFraction*float64(drain)), maxServersPause)
}
