package crlrouter

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Settings configures one router. Only MemoryBytes and Seeds can change while it runs. Each address is a host and a port.
type Settings struct {
	Daemon          crlid.Daemon
	Domain          crlid.Domain
	Listen          string   // address on which the router serves callers' requests
	ReadinessListen string   // address on which the router serves the load balancer's readiness probes
	MetricsListen   string   // address on which the router serves metrics scrapes
	PeerListen      string   // address on which the router serves calls from other routers
	Seeds           []string // PeerListen of a few other routers, some of which may be unreachable
	StoreAddress    string   // address of the platform's store
	MemoryBytes     int64    // memory that the process may use, 0 if not stated
	StorePartitions int      // number of partitions of each topic of the store, 0 for defaultStorePartitions
	Strength        int      // the smaller number of the link's Mbit/s and the CPU's millicores; the strongest routers read the store
	Bounds          Bounds
}

// Bounds holds the limits that the deployment requires the router to keep.
type Bounds struct {
	Grace          time.Duration // time from the router's stop signal until its process is killed
	Revocation     time.Duration // time from the revocation of an API key until requests with it must be refused, 0 for no bound
	RetryRatio     float64       // extra sends per request in RetryWindow, over all routers
	RetryWindow    time.Duration // sliding window in which requests and extra sends are counted
	RetrySlack     float64       // extra sends in RetryWindow beyond the ratio, over all routers
	ColdRatio      float64       // a cold server gets at most ColdRatio * crlroute.Service.ColdRate + ColdSlack requests in any second
	ColdSlack      float64       // requests that a cold server may get in any second beyond ColdRatio * crlroute.Service.ColdRate
	Exposure       float64       // largest share of a service's requests up to a roll-out's deadline that a bad version may get
	ExposureSlack  float64       // requests that a bad version may get in that time beyond Exposure
	SessionTimeout time.Duration // longest time between two requests of a session
	ServerDrain    time.Duration // longest time from a server's announcement that it leaves to its last request, 0 for defaultServerDrain
}

// defaultStorePartitions is the number of partitions of a topic in present deployments.
const defaultStorePartitions = 12

// partitions returns the number of partitions of each topic of the store.
func (s *Settings) partitions() int {
	if s.StorePartitions > 0 {
		return s.StorePartitions
	}
	return defaultStorePartitions
}

const (
	defaultServerDrain = 2 * time.Second // the bound of present deployments
	// serversPauseFraction is the fraction of the drain bound between two reads of the servers' entries. The rest leaves time
	// for a failed reader and for the daemons that follow it.
	serversPauseFraction = 0.35
	maxServersPause      = 800 * time.Millisecond // plus relayDelay, below outageThreshold, so that a normal gap is no outage
)

// serversPause returns the minimum time between two reads of the servers' entries. Heartbeats change that topic all the time,
// so without a pause one read would follow the other at once.
func (b Bounds) serversPause() time.Duration {
	drain := b.ServerDrain
	if drain <= 0 {
		drain = defaultServerDrain
	}
	return min(time.Duration(serversPauseFraction*float64(drain)), maxServersPause)
}
