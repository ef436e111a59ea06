package crlworkload

import (
	"cmp"
	"slices"
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
	keys     []serverKey // of the servers in the message that held the sum
	known    keysDigest  // for changes without keys, the digest of those; 0 otherwise
	servers  serverLoads
	services map[serviceKey]*vector
}

// serverLoads are the amounts of servers, sorted by key. An exchange takes half the time that it takes with maps.
type serverLoads []serverLoad

type serverLoad struct {
	key    serverKey
	amount Amount
}

// find returns the index of a server, or that at which it belongs.
func (l serverLoads) find(key serverKey) (index int, ok bool) {
	return slices.BinarySearchFunc(l, key, func(s serverLoad, key serverKey) int { return cmp.Compare(s.key, key) })
}

// get returns the amount of a server, 0 if it isn't listed.
func (l serverLoads) get(key serverKey) Amount {
	if i, ok := l.find(key); ok {
		return l[i].amount
	}
	return Amount{}
}

// set sets the amount of a server.
func (l *serverLoads) set(key serverKey, amount Amount) {
	i, ok := l.find(key)
	if !ok {
		*l = slices.Insert(*l, i, serverLoad{key: key})
	}
	(*l)[i].amount = amount
}

// remove removes a server.
func (l *serverLoads) remove(key serverKey) {
	if i, ok := l.find(key); ok {
		*l = slices.Delete(*l, i, i+1)
	}
}

// sumOf returns the sum of two lists, of which the second one is multiplied by weight.
func sumOf(a, b serverLoads, weight float64) serverLoads {
	sum := make(serverLoads, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].key < b[0].key:
			sum, a = append(sum, a[0]), a[1:]
		case len(a) == 0 || b[0].key < a[0].key:
			sum, b = append(sum, serverLoad{b[0].key, Amount{}.plus(b[0].amount, weight)}), b[1:]
		default:
			sum, a, b = append(sum, serverLoad{a[0].key, a[0].amount.plus(b[0].amount, weight)}), a[1:], b[1:]
		}
	}
	return sum
}

func newLoad() *load {
	return &load{services: make(map[serviceKey]*vector)}
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
	l.servers = sumOf(l.servers, other.servers, w)
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
	l.servers = sumOf(nil, l.servers, factor)
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
	supplied    supplied // for a follower that takes changes, what it holds of this daemon's replies
}

// isDropped reports whether the report no longer counts.
func (r *report) isDropped(now crlclock.Instant) bool {
	return r == nil || now.Sub(r.receivedAt) >= dropTime
}
