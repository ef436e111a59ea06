package crlworkload

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

const (
	// fewDaemons is the number of daemons up to which each message states all servers, as crlrelay has no feeders then.
	fewDaemons = 24
	// changesMark is the first rank in the path of a request whose sender takes messageChanges; the second one is the sequence of the latest reply that it
	// has, 0 for none. Earlier versions read only the last rank of a request, which is the sender's.
	changesMark = math.MaxInt32
	// changeBytesPerDaemon is the part of a message for changes, for each daemon of the follower's subtree. With two messages each way a second, in base64,
	// that is 1.4 kB/s for each daemon, within the 2 kB/s that the exchange may send between failure domains.
	changeBytesPerDaemon = 250
	// minChangeBytes is what a follower without followers gets, inside its failure domain; maxChangeBytes bounds the link between the readers.
	minChangeBytes, maxChangeBytes = 2000, 8000
	// changeBytes is the greatest size of a change: a difference of keys of up to 20 bits and three numbers.
	changeBytes = 6
	// leastChange is the significance from which a change is sent, as a part of the larger amount.
	leastChange = 1.0 / 32
	// idleSignificance is that of a server with load that the receiver sees as idle, above all others.
	idleSignificance = 2.0
)

// Amounts below which a change counts as a part of these.
const (
	notableRequests = 4.0
	notableSeconds  = 0.2
	notableTokens   = 16_000.0
)

// codedServer is the load of a server as in messages.
type codedServer struct {
	key   serverKey
	codes [3]code
}

// encodeServers returns the servers with any load, at most maxServers.
func encodeServers(servers serverLoads) []codedServer {
	coded := make([]codedServer, 0, len(servers))
	for _, s := range servers {
		a := s.amount
		codes := [3]code{encodeNumber(a.Requests, 1), encodeNumber(a.PromptSeconds, promptUnit), encodeNumber(a.Tokens, tokenUnit)}
		if codes != [3]code{} {
			coded = append(coded, codedServer{s.key, codes})
		}
	}
	return coded[:min(len(coded), maxServers)]
}

// amount returns the load that the codes stand for.
func (s codedServer) amount() Amount {
	return Amount{Requests: s.codes[0].value(1), PromptSeconds: s.codes[1].value(promptUnit), Tokens: s.codes[2].value(tokenUnit)}
}

// significance returns how much a change matters, from 0 to 1, and more for a server that would be seen as idle.
func significance(before, after codedServer) float64 {
	if before.codes == ([3]code{}) && after.codes != ([3]code{}) {
		return idleSignificance
	}
	a, b := before.amount(), after.amount()
	part := func(a, b, notable float64) float64 { return math.Abs(a-b) / max(a, b, notable) }
	return max(part(a.Requests, b.Requests, notableRequests), part(a.PromptSeconds, b.PromptSeconds, notableSeconds), part(a.Tokens, b.Tokens, notableTokens))
}

// changedServer is a server with what the receiver holds and what it should.
type changedServer struct {
	server       codedServer
	significance float64
}

// selectChanges returns the changes from what a receiver holds that matter, in the order of keys: those that fit into a number of bytes, the largest first,
// and all servers that it would see as idle. What is left out is compared again for the next message.
func selectChanges(held, want []codedServer, limit int) []codedServer {
	var changes []changedServer
	add := func(before, after codedServer) {
		if s := significance(before, after); s >= leastChange {
			changes = append(changes, changedServer{after, s})
		}
	}
	for len(held) > 0 || len(want) > 0 {
		switch {
		case len(want) == 0 || len(held) > 0 && held[0].key < want[0].key:
			add(held[0], codedServer{key: held[0].key})
			held = held[1:]
		case len(held) == 0 || want[0].key < held[0].key:
			add(codedServer{key: want[0].key}, want[0])
			want = want[1:]
		default:
			add(held[0], want[0])
			held, want = held[1:], want[1:]
		}
	}
	slices.SortStableFunc(changes, func(a, b changedServer) int { return cmp.Compare(b.significance, a.significance) })
	count := min(len(changes), limit/changeBytes)
	for count < len(changes) && changes[count].significance >= idleSignificance {
		count++
	}
	selected := make([]codedServer, 0, count)
	for _, c := range changes[:count] {
		selected = append(selected, c.server)
	}
	slices.SortFunc(selected, func(a, b codedServer) int { return cmp.Compare(a.key, b.key) })
	return selected
}

// withChanges returns what a receiver holds after changes. Servers without load are left out.
func withChanges(held, changes []codedServer) []codedServer {
	merged := make([]codedServer, 0, len(held)+len(changes))
	for len(held) > 0 || len(changes) > 0 {
		next := codedServer{}
		switch {
		case len(changes) == 0 || len(held) > 0 && held[0].key < changes[0].key:
			next, held = held[0], held[1:]
		default:
			if len(held) > 0 && held[0].key == changes[0].key {
				held = held[1:]
			}
			next, changes = changes[0], changes[1:]
		}
		if next.codes != ([3]code{}) {
			merged = append(merged, next)
		}
	}
	return merged
}

// supplied is what a receiver holds of this daemon's messages.
type supplied struct {
	sequence uint64 // of the message that made it so, 0 for none
	servers  []codedServer
}

// encode returns the body of the next message to a receiver that holds the message base, 0 for none, and updates what it will hold then. daemons is the
// number of daemons whose share of the traffic the message has.
func (s *supplied) encode(l *load, sequence, base uint64, daemons float64) (preamble, content []byte) {
	if base == 0 || base != s.sequence {
		s.servers, base = nil, 0
	}
	limit := math.MaxInt
	if base != 0 {
		limit = int(min(max(changeBytesPerDaemon*daemons, minChangeBytes), maxChangeBytes))
	}
	want := encodeServers(l.servers)
	changes := selectChanges(s.servers, want, limit)
	dense := len(want) > 0 && 3*len(want) <= min(5*len(changes), limit) && sameKeys(s.servers, want)
	s.servers, s.sequence = withChanges(s.servers, changes), sequence
	preamble = binary.AppendUvarint(preamble, uint64(l.depth+1))
	preamble = binary.AppendUvarint(preamble, uint64(max(l.meanAgeOrZero().Milliseconds(), 0)))
	preamble = binary.AppendUvarint(preamble, base)
	content = make([]byte, 0, 8+changeBytes*len(changes)+64*len(l.services))
	content = binary.AppendUvarint(content, uint64(math.Round(l.daemons/daemonUnit)))
	if dense {
		s.servers = want
		content = appendDense(content, want)
	} else {
		content = appendCodes(appendKeys(content, changes), changes)
	}
	return preamble, appendServices(content, l.services)
}

// appendKeys appends the number of servers plus 1 and their keys.
func appendKeys(content []byte, servers []codedServer) []byte {
	content = binary.AppendUvarint(content, uint64(len(servers)+1))
	last := serverKey(0)
	for _, s := range servers {
		content = binary.AppendUvarint(content, uint64(s.key-last))
		last = s.key
	}
	return content
}

// sameKeys reports whether two lists have the same servers.
func sameKeys(a, b []codedServer) bool {
	return slices.EqualFunc(a, b, func(a, b codedServer) bool { return a.key == b.key })
}

// appendDense appends all servers without their keys, which the receiver knows: 0, the digest of the keys and their number; then the codes.
func appendDense(content []byte, servers []codedServer) []byte {
	keys := make([]serverKey, 0, len(servers))
	for _, s := range servers {
		keys = append(keys, s.key)
	}
	content = binary.AppendUvarint(content, 0)
	content = binary.BigEndian.AppendUint32(content, uint32(digestOf(keys)))
	content = binary.AppendUvarint(content, uint64(len(servers)))
	return appendCodes(content, servers)
}

// dense reads what appendDense wrote after the 0. The keys are set by apply.
func (r *reader) dense(l *load) {
	l.known = keysDigest(binary.BigEndian.Uint32(r.bytes(4)))
	count := r.uvarint(maxServers)
	r.failed = r.failed || l.known == 0 || len(r.rest) < 3*int(count)
	l.keys = make([]serverKey, 0)
	if !r.failed {
		l.keys = make([]serverKey, count)
	}
}

// appendCodes appends the codes of servers.
func appendCodes(content []byte, servers []codedServer) []byte {
	for _, s := range servers {
		content = append(content, byte(s.codes[0]), byte(s.codes[1]), byte(s.codes[2]))
	}
	return content
}

// apply completes a load that holds changes by the rest of the load that they refer to. It fails if that has other servers.
func (l *load) apply(before serverLoads) (ok bool) {
	if l.known != 0 {
		for i := range l.servers {
			if len(before) != len(l.servers) {
				return false
			}
			l.keys[i], l.servers[i].key = before[i].key, before[i].key
		}
		ok, l.known = l.known == digestOf(l.keys), 0
		return ok
	}
	var merged serverLoads
	for held, changes := before, l.servers; len(held) > 0 || len(changes) > 0; {
		next := serverLoad{}
		if len(changes) == 0 || len(held) > 0 && held[0].key < changes[0].key {
			next, held = held[0], held[1:]
		} else {
			if len(held) > 0 && held[0].key == changes[0].key {
				held = held[1:]
			}
			next, changes = changes[0], changes[1:]
		}
		if next.amount != (Amount{}) {
			merged = append(merged, next)
		}
	}
	l.servers, l.keys = merged, nil
	return true
}

// requestPath returns the path of a request: the sender's rank, and before it that it takes changes, in a fleet for which that is worth it.
func (t *Table) requestPath(isNew bool) []uint64 {
	if t.config.Daemons() <= fewDaemons {
		return []uint64{t.ownRank()}
	}
	held := uint64(0)
	if !isNew && t.source != nil && t.sourceTakes && t.source.sequence <= math.MaxInt32 {
		held = t.source.sequence
	}
	return []uint64{changesMark, held, t.ownRank()}
}

// changesHeld returns whether the sender of a request takes changes, and the sequence of the reply that it has.
func (h *header) changesHeld() (sequence uint64, ok bool) {
	if len(h.path) != 3 || h.path[0] != changesMark {
		return 0, false
	}
	return h.path[1], true
}
