package crlrouter

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Settings configure one router. Those that can change while it runs are MemoryBytes and Seeds.
type Settings struct {
	Daemon      crlid.Daemon
	Domain      crlid.Domain
	Listen      string   // address for client requests
	Readiness   string   // address for the load balancer's readiness probes
	Metrics     string   // address for metrics scrapes
	Peer        string   // address for calls from other routers
	Seeds       []string // peer addresses of a few other routers, some of which may be unreachable
	Store       string   // address of the platform's store
	MemoryBytes int64    // memory that the process may use, 0 if not stated
	First       bool     // all routers of the deployment start together, for the first time
	Strength    int      // the smaller number of the link's Mbit/s and the CPU's millicores; the strongest routers read the store
	Bounds      Bounds
}

// Bounds are the limits that the deployment requires the router to keep.
type Bounds struct {
	Grace       time.Duration // from the stop signal until the process is killed
	Revocation  time.Duration // within which a revoked key must be refused, 0 for no bound
	RetryRatio  float64       // extra sends per request in RetryWindow, over all daemons
	RetryWindow time.Duration
	RetrySlack  float64       // extra sends in RetryWindow beyond the ratio, over all daemons
	ColdRatio   float64       // a cold server gets at most ColdRatio * its rate + ColdSlack requests in any second
	ColdSlack   float64       // in requests
	Exposure    float64       // largest share of a service's requests up to a roll-out's deadline that a bad version may get
	Session     time.Duration // longest time between two requests of a session
	Drain       time.Duration // within which a leaving server must get no more requests, 0 for defaultDrain
}

const (
	defaultDrain = 2 * time.Second // the bound of present deployments
	// serversPauseFraction is the fraction of the drain bound between two reads of the servers' entries. The rest leaves time
	// for a failed reader and for the daemons that follow it.
	serversPauseFraction = 0.35
	maxServersPause      = 800 * time.Millisecond // plus relayDelay, below outageThreshold, so that a normal gap is no outage
)

// serversPause returns the minimum time between two reads of the servers' entries. Heartbeats change that topic all the time,
// so without a pause one read would follow the other at once.
func (b Bounds) serversPause() time.Duration {
	drain := b.Drain
	if drain <= 0 {
		drain = defaultDrain
	}
	return min(time.Duration(serversPauseFraction*float64(drain)), maxServersPause)
}
