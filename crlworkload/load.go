package crlworkload

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// serverKey identifies a server in messages. It has 20 bits, so that the difference between two of 140 sorted keys takes two bytes.
type serverKey uint32

const serverKeyBits = 20

func serverKeyOf(server crlid.Server) serverKey {
	return serverKey(xxhash.Sum64String(string(server)) >> (64 - serverKeyBits))
}

// serviceKey identifies a service in messages.
type serviceKey uint32

const serviceKeyBits = 24

func serviceKeyOf(service crlid.Service) serviceKey {
	return serviceKey(xxhash.Sum64String(string(service)) >> (64 - serviceKeyBits))
}

const (
	// fullWeightTime is the time after its receipt for which a sum counts in full. It is renewed with each call, and these take half a
	// second.
	fullWeightTime = 1250 * time.Millisecond
	// dropTime is the time after its receipt from which a sum no longer counts.
	dropTime = 2500 * time.Millisecond
	// maxAge is the mean age of the load in a message from which it is ignored.
	maxAge = 3 * time.Second
)

// weight returns the part of a sum that counts some time after its receipt. It does not depend on the age that the sum had then, as the
// weights of all daemons on its way would multiply.
func weight(sinceReceipt time.Duration) float64 {
	return min(max(float64(dropTime-sinceReceipt)/float64(dropTime-fullWeightTime), 0), 1)
}

// load is a sum over daemons.
type load struct {
	daemons  float64     // number of the daemons, by weight
	ages     float64     // sum of the daemons' ages by the same weight, in seconds
	depth    int         // number of calls over which the oldest part came
	keys     []serverKey // of the servers in the order of the message that held the sum
	servers  map[serverKey]Amount
	services map[serviceKey]*vector
}

func newLoad() *load {
	return &load{servers: make(map[serverKey]Amount), services: make(map[serviceKey]*vector)}
}

// meanAge returns the mean age over the daemons, maxAge if there are none.
func (l *load) meanAge() time.Duration {
	if l.daemons <= 0 {
		return maxAge
	}
	return time.Duration(l.ages / l.daemons * float64(time.Second))
}

// isEmpty reports whether no daemon has any load.
func (l *load) isEmpty() bool { return len(l.servers) == 0 && len(l.services) == 0 }

// add adds a sum that was received some time ago, by its weight.
func (l *load) add(other *load, sinceReceipt time.Duration) {
	age, w := other.meanAge()+sinceReceipt, weight(sinceReceipt)
	if w == 0 {
		return
	}
	l.daemons += w * other.daemons
	l.ages += w * other.daemons * age.Seconds()
	l.depth = max(l.depth, other.depth)
	for key, amount := range other.servers {
		l.servers[key] = l.servers[key].plus(amount, w)
	}
	for key, v := range other.services {
		sum := l.services[key]
		if sum == nil {
			sum = new(vector)
			l.services[key] = sum
		}
		sum.add(v, w)
	}
}

// scale multiplies the load and the number of daemons.
func (l *load) scale(factor float64) {
	l.daemons *= factor
	l.ages *= factor
	for key, amount := range l.servers {
		l.servers[key] = Amount{}.plus(amount, factor)
	}
	for _, v := range l.services {
		old := *v
		*v = vector{}
		v.add(&old, factor)
	}
}

// report is the newest sum of another daemon.
type report struct {
	load        *load
	receivedAt  crlclock.Instant
	incarnation uint32
	sequence    uint64   // of the newest message
	full        uint64   // sequence of the message that held the load
	path        []uint64 // header.path
}

// isDropped reports whether the report no longer counts.
func (r *report) isDropped(now crlclock.Instant) bool {
	return r == nil || now.Sub(r.receivedAt) >= dropTime
}
