package crlrouter

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// Settings configures one router. While it runs, only Seeds and Bounds.Grace can change, and with MemoryBytes the runtime's limit. Each address is a host and a port.
type Settings struct {
	Daemon          crlid.Daemon
	Domain          crlid.Domain
	Listen          string   // address on which the router serves callers' requests
	ReadinessListen string   // address on which the router serves the load balancer's readiness probes
	MetricsListen   string   // address on which the router serves metrics scrapes
	PeerListen      string   // address on which the router serves calls from other routers
	HandoverListen  string   // address on which the router takes requests that others hand over, with the same port at all; empty for none
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
	Configuration  time.Duration // time from the acknowledgement of a configuration until it must be in force, 0 for defaultConfiguration
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
	defaultServerDrain   = 2 * time.Second // the bound of present deployments
	defaultConfiguration = 2 * time.Second // the shortest bound of present deployments
	// serversPauseFraction is the fraction of the drain bound between two reads of the servers' entries. The rest leaves time
	// for a failed reader and for the daemons that follow it.
	serversPauseFraction = 0.35
	maxServersPause      = 800 * time.Millisecond // plus maxRelayDelay, below outageThreshold, so that a normal gap is no outage
	// ordersLongPollFraction is the fraction of the bound on configurations for which the store holds a read of the orders: a read whose
	// reply is lost hides a change for as long as its confirmation counts as fresh.
	ordersLongPollFraction = 0.25
	maxOrdersLongPoll      = 1500 * time.Millisecond // short, so that several confirmations fit into the longest accepted age of one
	// relayDelayFraction is the fraction of a bound by which confirmations may be older than the time between two reads. What is left of the bound
	// is for a call that is being held, and for another source or a read of the store in its place.
	relayDelayFraction = 0.375
	// maxRelayDelay is how much older a follower's last confirmation needs to be than its reader's, with time for slow calls. It is
	// short enough for a follower to leave a reader that the store refuses well before the gap reaches outageThreshold.
	maxRelayDelay = 2 * crlrelay.FollowWait // 1 s
)

// drain returns ServerDrain or its default.
func (b Bounds) drain() time.Duration {
	if b.ServerDrain > 0 {
		return b.ServerDrain
	}
	return defaultServerDrain
}

// configuration returns Configuration or its default.
func (b Bounds) configuration() time.Duration {
	if b.Configuration > 0 {
		return b.Configuration
	}
	return defaultConfiguration
}

// fraction returns a fraction of a bound, at most the given limit.
func fraction(part float64, bound, limit time.Duration) time.Duration {
	return min(time.Duration(part*float64(bound)), limit)
}

// serversPause returns the minimum time between two reads of the servers' entries. Heartbeats change that topic all the time,
// so without a pause one read would follow the other at once.
func (b Bounds) serversPause() time.Duration {
	return fraction(serversPauseFraction, b.drain(), maxServersPause)
}

// serversMaxAge returns the age from which a confirmation of the servers' entries is too old for a router to rely on its source.
func (b Bounds) serversMaxAge() time.Duration {
	return b.serversPause() + fraction(relayDelayFraction, b.drain(), maxRelayDelay)
}

// ordersLongPoll returns how long the store holds a read of the operators' orders while there are no new ones.
func (b Bounds) ordersLongPoll() time.Duration {
	return fraction(ordersLongPollFraction, b.configuration(), maxOrdersLongPoll)
}

// ordersMaxAge returns the age from which a confirmation of the operators' orders is too old for a router to rely on its source.
func (b Bounds) ordersMaxAge() time.Duration {
	return b.ordersLongPoll() + fraction(relayDelayFraction, b.configuration(), maxRelayDelay)
}
