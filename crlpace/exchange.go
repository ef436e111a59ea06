package crlpace

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	messageVersion = 1
	maxMessageKeys = 8               // keys in a message; those with most observations come first
	maxFollowers   = 512             // reports that are kept
	reportLifetime = 4 * decayTime   // after which 2% of a report's weight is left
	idleTime       = 2 * time.Minute // without own observations, after which there is nothing to exchange
)

// message carries sums to another daemon: those of the sender's subtree to its source, or those outside a follower's subtree to that.
type message struct {
	Version   int               `json:"version"`
	Origin    crlid.Incarnation `json:"origin"`              // sender
	Unchanged bool              `json:"unchanged,omitempty"` // the sums of the sender's previous message still hold
	Models    []modelSums       `json:"models,omitempty"`
}

// modelSums holds the sums of one key.
type modelSums struct {
	Service crlid.Service `json:"service"`
	Model   crlid.Model   `json:"model,omitempty"`
	Sums    string        `json:"sums"` // float32 numbers in little-endian order, in base64
}

// report is the newest message of another daemon.
type report struct {
	receivedAt crlclock.Instant
	unchanged  bool // whether it has no sums and the previous message's hold
	models     map[Key]*sums
}

// exchange is the state of an Estimator's messages. Estimator.mu guards it.
type exchange struct {
	followers map[crlid.Incarnation]report // by origin
	source    report                       // newest reply of the source
	changed   bool                         // whether there are sums that the source doesn't have
	observed  crlclock.Instant             // time of the newest own observation or report of a follower
	dropped   int                          // messages that were ignored
}

// Dropped returns the number of messages that were ignored because they could not be decoded, or state implausible sums.
func (e *Estimator) Dropped() int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.exchange.dropped
}

// Request returns the sums of this daemon and its followers for the source. A daemon without an engine's requests asks only a new source.
func (e *Estimator) Request(isNew bool) json.RawMessage {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !isNew && len(e.models) == 0 {
		return nil
	}
	m := message{Version: messageVersion, Origin: e.config.Self, Unchanged: !isNew && !e.exchange.changed}
	if !m.Unchanged {
		m.Models = e.sums(now, func(key Key, total *sums) { e.exchange.addFollowers(total, key, "", now) })
	}
	e.exchange.changed = false
	return m.encode()
}

// Reply records a follower's sums and returns those outside its subtree, nil if there are none or the request is no valid message.
func (e *Estimator) Reply(request json.RawMessage) json.RawMessage {
	if request == nil {
		return nil
	}
	now := e.config.Now()
	origin, r, ok := e.decode(request, now)
	if !ok {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exchange.removeOld(now)
	if r.unchanged {
		return e.reply(origin, now)
	}
	if _, known := e.exchange.followers[origin]; known || len(e.exchange.followers) < maxFollowers {
		e.exchange.followers[origin] = r
		e.exchange.changed, e.exchange.observed = true, now
		e.refitAll(r, now)
	}
	return e.reply(origin, now)
}

// reply returns the sums outside a follower's subtree, nil if there are none.
func (e *Estimator) reply(origin crlid.Incarnation, now crlclock.Instant) json.RawMessage {
	m := message{Version: messageVersion, Origin: e.config.Self}
	if m.Models = e.sums(now, func(key Key, total *sums) { e.exchange.addRemote(total, key, origin, now) }); len(m.Models) == 0 {
		return nil
	}
	return m.encode()
}

// Pending reports whether this daemon or its followers have observed requests lately.
func (e *Estimator) Pending() bool {
	now := e.config.Now()
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.exchange.observed != 0 && now.Sub(e.exchange.observed) < idleTime
}

// Learn records the reply of the source, which replaces the previous one.
func (e *Estimator) Learn(reply json.RawMessage) {
	if reply == nil {
		return
	}
	now := e.config.Now()
	_, r, ok := e.decode(reply, now)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exchange.source = r
	// The weights of the newest observations follow the estimates.
	e.exchange.changed = e.exchange.changed || e.exchange.observed != 0
	e.refitAll(r, now)
}

// refitAll computes the estimates of the keys of a report.
func (e *Estimator) refitAll(r report, now crlclock.Instant) {
	for _, key := range slices.SortedFunc(maps.Keys(r.models), Key.compare) {
		if m := e.model(key); m != nil {
			e.solve(key, m, now)
			e.follow(key, m, now)
		}
	}
}

// minWeight is the weight of the sums of a key below which they are left out of messages.
const minWeight = 1e-3

// sums returns this daemon's sums and those that addOthers adds.
func (e *Estimator) sums(now crlclock.Instant, addOthers func(Key, *sums)) (models []modelSums) {
	type entry struct {
		key    Key
		total  sums
		weight float64
	}
	var entries []entry
	for _, key := range e.keys {
		state := e.models[key]
		total := state.own.sums(state.fit, now)
		addOthers(key, &total)
		total.limit()
		if weight := total.weight(); weight >= minWeight {
			entries = append(entries, entry{key, total, weight})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Model, b.key.Model))
	})
	for _, one := range entries[:min(len(entries), maxMessageKeys)] {
		models = append(models, modelSums{Service: one.key.Service, Model: one.key.Model, Sums: one.total.encode()})
	}
	return models
}

func (m message) encode() json.RawMessage {
	encoded, err := json.Marshal(m)
	if err != nil { // A struct of strings, numbers and truth values has no value that can't be encoded.
		return nil
	}
	return encoded
}

// decode returns the origin and the sums of a message. One that can't be decoded or is implausible is counted and ignored as a whole.
func (e *Estimator) decode(encoded json.RawMessage, now crlclock.Instant) (origin crlid.Incarnation, r report, ok bool) {
	defer func() {
		if !ok {
			e.mu.Lock()
			e.exchange.dropped++
			e.mu.Unlock()
		}
	}()
	var m message
	if err := json.Unmarshal(encoded, &m); err != nil || m.Version != messageVersion || m.Origin == "" || m.Origin == e.config.Self ||
		len(m.Models) > maxMessageKeys {
		return "", report{}, false
	}
	r = report{receivedAt: now, unchanged: m.Unchanged, models: make(map[Key]*sums, len(m.Models))}
	for _, one := range m.Models {
		total, valid := decodeSums(one.Sums)
		if !valid || !total.plausible() {
			return "", report{}, false
		}
		r.models[Key{Service: one.Service, Model: one.Model}] = total
	}
	return m.Origin, r, true
}

// addRemote adds the sums of all other daemons but a follower's subtree.
func (x *exchange) addRemote(total *sums, key Key, except crlid.Incarnation, now crlclock.Instant) {
	x.addFollowers(total, key, except, now)
	x.source.addTo(total, key, now)
}

func (x *exchange) addFollowers(total *sums, key Key, except crlid.Incarnation, now crlclock.Instant) {
	for origin, r := range x.followers {
		if origin != except {
			r.addTo(total, key, now)
		}
	}
}

// addTo adds the report's sums of a key to total, with the weight that their age leaves them.
func (r report) addTo(total *sums, key Key, now crlclock.Instant) {
	received, ok := r.models[key]
	age := now.Sub(r.receivedAt)
	if !ok || age > reportLifetime {
		return
	}
	aged := *received
	aged.scale(decayFactor(age, decayTime))
	total.add(&aged)
}

// removeOld drops reports past their lifetime.
func (x *exchange) removeOld(now crlclock.Instant) {
	for origin, r := range x.followers {
		if now.Sub(r.receivedAt) > reportLifetime {
			delete(x.followers, origin)
		}
	}
}

// weight returns the weight of all observations.
func (s *sums) weight() float64 { return s[promptWeight] + s[shortWeight] + s[tokenWeight] }

// limit scales sums down whose weight no receiver would accept. Daemons that follow each other in a circle could add up their sums so far.
func (s *sums) limit() {
	if heaviest := max(s[promptWeight], s[shortWeight], s[tokenWeight]); heaviest > maxWeight {
		s.scale(maxWeight / heaviest)
	}
}

func (s *sums) encode() string {
	encoded := make([]byte, 0, 4*sumCount)
	for _, v := range s {
		encoded = binary.LittleEndian.AppendUint32(encoded, math.Float32bits(float32(v)))
	}
	return base64.RawStdEncoding.EncodeToString(encoded)
}

func decodeSums(encoded string) (*sums, bool) {
	decoded, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil || len(decoded) != 4*sumCount {
		return nil, false
	}
	s := new(sums)
	for i := range s {
		s[i] = float64(math.Float32frombits(binary.LittleEndian.Uint32(decoded[4*i:])))
	}
	return s, true
}
