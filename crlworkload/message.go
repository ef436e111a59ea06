package crlworkload

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// messageVersion is the first byte of each message. A change of the layout needs another one.
const messageVersion = 1

// messageKind tells what a message holds.
type messageKind byte

const (
	messageLoad    messageKind = iota // a sum
	messageSame                       // the sum is that of an earlier message
	messageWake                       // there is load; the receiver should send its sum
	messageChanges                    // what changed in a sum since an earlier message, or a whole sum
)

// Bounds of a plausible message.
const (
	maxServers  = 4096
	maxServices = 256
	// maxDepth is the largest number of calls over which a sum may come. The relay tree has 6, and more while daemons look for sources. It bounds
	// the time for which daemons pass on the same load if their ranks are inconsistent.
	maxDepth = 24
	// maxServerRequests is far above what a server can hold.
	maxServerRequests = 100_000
	// maxServerSeconds and maxServerTokens are the largest numbers of unread prompt seconds and tokens at a server.
	maxServerSeconds = 300.0
	maxServerTokens  = 3_000_000.0
)

// Errors of decode.
var (
	errMalformed    = errors.New("the message can't be decoded")
	errOtherVersion = errors.New("the message is of another version")
	errImplausible  = errors.New("the message states an impossible load")
)

// header is the first part of a message.
type header struct {
	kind        messageKind
	daemon      daemonKey // sender
	incarnation uint32    // of the sender
	// path holds the ranks of the daemons over which a reply came, from the root of the tree to the sender. That of a request holds only
	// the sender's.
	path     []uint64
	sequence uint64     // rises with each message of an incarnation
	same     uint64     // for messageSame, the sequence of the earlier message
	base     uint64     // for messageChanges, the sequence of the earlier message, 0 if the sum is whole
	known    keysDigest // of the servers in the latest reply that a follower has, 0 for none
}

// daemonUnit is the unit of a number of daemons in messages, which is a sum of weights.
const daemonUnit = 1.0 / 16

// encodeMessage returns the JSON text of a message: the base64 code of header and body.
func encodeMessage(h header, body []byte) json.RawMessage {
	message := make([]byte, 0, 24+len(body))
	message = append(message, messageVersion, byte(h.kind))
	message = binary.BigEndian.AppendUint32(message, uint32(h.daemon))
	message = binary.BigEndian.AppendUint32(message, h.incarnation)
	message = binary.AppendUvarint(message, uint64(len(h.path)))
	for _, rank := range h.path {
		message = binary.AppendUvarint(message, rank)
	}
	message = binary.AppendUvarint(message, h.sequence)
	message = binary.AppendUvarint(message, uint64(h.known))
	if h.kind == messageSame {
		message = binary.AppendUvarint(message, h.same)
	}
	message = append(message, body...)
	encoded, err := json.Marshal(message)
	if err != nil {
		panic(err) // Bytes are always valid.
	}
	return encoded
}

// keysDigest identifies a sorted list of servers, 0 stands for none.
type keysDigest uint32

// digestOf returns the digest of a list.
func digestOf(keys []serverKey) keysDigest {
	if len(keys) == 0 {
		return 0
	}
	list := make([]byte, 0, 4*len(keys))
	for _, key := range keys {
		list = binary.BigEndian.AppendUint32(list, uint32(key))
	}
	return keysDigest(max(uint32(xxhash.Sum64(list)), 1))
}

// encodeLoad returns the body of a message about a sum, in two parts: what changes with each message, and the rest. The servers are left
// out if they are those that the receiver knows.
func encodeLoad(l *load, known keysDigest) (preamble, content []byte) {
	preamble = binary.AppendUvarint(preamble, uint64(l.depth+1))
	preamble = binary.AppendUvarint(preamble, uint64(max(l.meanAgeOrZero().Milliseconds(), 0)))
	content = make([]byte, 0, 8+5*len(l.servers)+64*len(l.services))
	content = binary.AppendUvarint(content, uint64(math.Round(l.daemons/daemonUnit)))
	content = appendServers(content, l.servers, known)
	return preamble, appendServices(content, l.services)
}

// meanAgeOrZero returns the mean age over the daemons, 0 if there are none.
func (l *load) meanAgeOrZero() time.Duration {
	if l.daemons <= 0 {
		return 0
	}
	return l.meanAge()
}

// appendServers appends the servers with any load: their number plus 1 and their keys, or 0 and the digest of the keys if these are known;
// then the codes of each.
func appendServers(content []byte, servers serverLoads, known keysDigest) []byte {
	coded := encodeServers(servers)
	keys := make([]serverKey, 0, len(coded))
	for _, s := range coded {
		keys = append(keys, s.key)
	}
	if digest := digestOf(keys); digest != 0 && digest == known {
		content = binary.AppendUvarint(content, 0)
		content = binary.BigEndian.AppendUint32(content, uint32(digest))
	} else {
		content = appendKeys(content, coded)
	}
	return appendCodes(content, coded)
}

// appendServices appends the vectors of services, each with a bit for each bucket that it holds.
func appendServices(content []byte, services map[serviceKey]*vector) []byte {
	keys := slices.Sorted(maps.Keys(services))
	keys = keys[:min(len(keys), maxServices)]
	content = binary.AppendUvarint(content, uint64(len(keys)))
	for _, key := range keys {
		present, codes := uint64(0), make([]byte, 0, 3*Buckets)
		for i, f := range services[key] {
			work, count := encodeNumber(f.work, workUnit), encodeNumber(f.count, countUnit)
			if work == 0 && count == 0 {
				continue
			}
			wait := code(0)
			if count > 0 {
				wait = encodeNumber(f.waits/f.count, waitUnit)
			}
			present |= 1 << i
			codes = append(codes, byte(work), byte(wait), byte(count))
		}
		content = binary.AppendUvarint(content, uint64(key))
		content = binary.AppendUvarint(content, present)
		content = append(content, codes...)
	}
	return content
}

// reader reads the parts of a message. After the first part that is missing, it returns zeros and failed is set.
type reader struct {
	rest   []byte
	known  []serverKey
	failed bool
}

func (r *reader) bytes(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) uvarint(limit uint64) uint64 {
	value, n := binary.Uvarint(r.rest)
	if r.failed || n <= 0 || value > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

// rank returns the sender's rank.
func (h *header) rank() uint64 { return h.path[len(h.path)-1] }

// decodeMessage returns the parts of a message; l is nil unless its kind is messageLoad. known are the servers that the message may leave out.
func decodeMessage(message json.RawMessage, known []serverKey) (h header, l *load, err error) {
	var raw []byte
	if err := json.Unmarshal(message, &raw); err != nil || len(raw) == 0 {
		return header{}, nil, errMalformed
	}
	if raw[0] != messageVersion {
		return header{}, nil, errOtherVersion
	}
	r := &reader{rest: raw[1:], known: known}
	h.kind = messageKind(r.bytes(1)[0])
	h.daemon = daemonKey(binary.BigEndian.Uint32(r.bytes(4)))
	h.incarnation = binary.BigEndian.Uint32(r.bytes(4))
	for range r.uvarint(maxDepth) {
		h.path = append(h.path, r.uvarint(math.MaxInt32))
	}
	h.sequence = r.uvarint(math.MaxUint64)
	h.known = keysDigest(r.uvarint(math.MaxUint32))
	switch h.kind {
	case messageLoad:
		l, _ = r.load(false)
	case messageChanges:
		r.known = nil // Its lists of servers are always complete.
		l, h.base = r.load(true)
	case messageSame:
		h.same = r.uvarint(math.MaxUint64)
	case messageWake:
	}
	switch {
	case r.failed || len(r.rest) > 0 || len(h.path) == 0 || h.kind > messageChanges:
		return header{}, nil, errMalformed
	case l != nil && !l.isPlausible():
		return header{}, nil, errImplausible
	}
	return h, l, nil
}

// load reads the body of a message about a sum, or about changes since the message base.
func (r *reader) load(changes bool) (l *load, base uint64) {
	l = newLoad()
	l.depth = int(r.uvarint(math.MaxInt32))
	age := time.Duration(r.uvarint(math.MaxInt32)) * time.Millisecond
	if changes {
		base = r.uvarint(math.MaxUint64)
	}
	l.daemons = float64(r.uvarint(math.MaxInt32)) * daemonUnit
	l.ages = l.daemons * age.Seconds()
	if changes && len(r.rest) > 0 && r.rest[0] == 0 {
		r.rest = r.rest[1:]
		r.failed = r.failed || base == 0
		r.dense(l)
	} else {
		l.keys = r.keys()
	}
	for _, key := range l.keys {
		codes := r.bytes(3)
		l.servers = append(l.servers, serverLoad{key, Amount{
			Requests: code(codes[0]).value(1), PromptSeconds: code(codes[1]).value(promptUnit), Tokens: code(codes[2]).value(tokenUnit),
		}})
	}
	for range r.uvarint(maxServices) {
		service := serviceKey(r.uvarint(1 << serviceKeyBits))
		present, v := r.uvarint(1<<Buckets-1), new(vector)
		for ; present != 0 && !r.failed; present &= present - 1 {
			codes := r.bytes(3)
			f := &v[bits.TrailingZeros64(present)]
			f.work, f.count = code(codes[0]).value(workUnit), code(codes[2]).value(countUnit)
			f.waits = code(codes[1]).value(waitUnit) * f.count
		}
		l.services[service] = v
	}
	return l, base
}

// keys reads the list of servers.
func (r *reader) keys() (keys []serverKey) {
	count := r.uvarint(maxServers + 1)
	if count == 0 {
		if digest := keysDigest(binary.BigEndian.Uint32(r.bytes(4))); digest != digestOf(r.known) {
			r.failed = true
		}
		return r.known
	}
	key := serverKey(0)
	for range count - 1 {
		step := serverKey(r.uvarint(1 << serverKeyBits))
		r.failed = r.failed || step == 0 && len(keys) > 0 // Each server is listed once.
		key += step
		r.failed = r.failed || key >= 1<<serverKeyBits // A sum that wraps around would leave the list unsorted.
		keys = append(keys, key)
	}
	return keys
}

// Largest amounts of a server that a message can state and its receiver takes.
var (
	largestRequests = largestCoded(maxServerRequests, 1)
	largestSeconds  = largestCoded(maxServerSeconds, promptUnit)
	largestTokens   = largestCoded(maxServerTokens, tokenUnit)
)

// largestCoded returns the largest number with a code that isn't above the limit.
func largestCoded(limit, unit float64) float64 {
	c := encodeNumber(limit, unit)
	if c.value(unit) > limit {
		c--
	}
	return c.value(unit)
}

// bound reduces the amounts of servers to plausible ones. Receivers ignore a whole message if one server has more, so that a single overloaded
// server would hide the load of all others.
func (l *load) bound() {
	for i := range l.servers {
		a := &l.servers[i].amount
		a.Requests, a.PromptSeconds, a.Tokens = min(a.Requests, largestRequests), min(a.PromptSeconds, largestSeconds), min(a.Tokens, largestTokens)
	}
}

// isPlausible reports whether servers can have the load.
func (l *load) isPlausible() bool {
	for _, s := range l.servers {
		a := s.amount
		if a.Requests > maxServerRequests || a.PromptSeconds > maxServerSeconds || a.Tokens > maxServerTokens {
			return false
		}
	}
	return true
}
