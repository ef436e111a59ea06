package crlfleet

import (
	"encoding/json"
	"math"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	// maxHops is the number of daemons that pass an observation on: twice the depth of the relay tree of the largest fleets.
	maxHops = 8
	// hopTime is added to the age of an observation with each daemon that passes it on, so that it never looks newer than it is: more than the way of a call.
	hopTime = 100 * time.Millisecond
	// minAdvance is the time by which an observation has to be newer than the known one. Otherwise it would be renewed by coming back from those that were told.
	minAdvance = 500 * time.Millisecond
	// maxExchangedServices bounds the services in a message, and the memory for services without servers.
	maxExchangedServices = 256
)

// observation is when servers of a service stated something, as far as this daemon knows.
type observation struct {
	at   crlclock.Instant // 0 for never
	hops int              // daemons that passed it on, 0 for an answer to this daemon
}

// record replaces the observation by that of an answer to this daemon, unless it is older.
func (o *observation) record(at crlclock.Instant) {
	if at > o.at {
		*o = observation{at: at}
	}
}

// merge replaces the observation by another daemon's if that is newer, and reports whether it did.
func (o *observation) merge(m *observationMessage, now crlclock.Instant) bool {
	if m == nil || m.AgeMS < 0 || m.AgeMS > brittleExpiry.Milliseconds() || m.Hops < 0 || m.Hops >= maxHops {
		return false
	}
	at := now.Add(-time.Duration(m.AgeMS)*time.Millisecond - hopTime)
	if at < o.at.Add(minAdvance) {
		return false
	}
	*o = observation{at: at, hops: m.Hops + 1}
	return true
}

// message returns the observation for other daemons, nil if there is none.
func (o *observation) message(now crlclock.Instant) *observationMessage {
	age := now.Sub(o.at)
	if o.at == 0 || age > brittleExpiry || o.hops >= maxHops {
		return nil
	}
	return &observationMessage{AgeMS: max(age.Milliseconds(), 0), Hops: o.hops}
}

// observationMessage is an observation in messages, which hold no points in time, because the clocks of daemons are not compared.
type observationMessage struct {
	AgeMS int64 `json:"age-ms"`
	Hops  int   `json:"hops,omitempty"`
}

// brittlenessMessage is what the servers of a service stated, in messages.
type brittlenessMessage struct {
	MaxRejections float64             `json:"max-rejections"`
	Stated        *observationMessage `json:"stated"`
	Sound         *observationMessage `json:"sound,omitempty"`
}

// BrittlenessExchange tells daemons which services are brittle, for those whose own requests don't: daemons that have just started, and those without
// callers or places. It implements crlrelay.DeferredExchange; its methods may be called concurrently.
type BrittlenessExchange struct {
	fleet   *Fleet
	ignored atomic.Int64
}

// NewBrittlenessExchange returns the exchange of a fleet.
func NewBrittlenessExchange(fleet *Fleet) *BrittlenessExchange {
	return &BrittlenessExchange{fleet: fleet}
}

// Ignored returns the number of messages that could not be decoded.
func (e *BrittlenessExchange) Ignored() int { return int(e.ignored.Load()) }

// Request returns the message for a source, nil if no service is known to have been brittle lately.
func (e *BrittlenessExchange) Request(bool) json.RawMessage { return e.message() }

// Reply applies a follower's message and returns the one for it.
func (e *BrittlenessExchange) Reply(request json.RawMessage) json.RawMessage {
	return e.Receive(request)()
}

// Receive applies a follower's message and returns the function that returns the one for it.
func (e *BrittlenessExchange) Receive(request json.RawMessage) (reply func() json.RawMessage) {
	e.Learn(request)
	return e.message
}

// Pending reports whether there is a message.
func (e *BrittlenessExchange) Pending() bool { return e.message() != nil }

// Learn applies the message of another daemon; nil is none.
func (e *BrittlenessExchange) Learn(encoded json.RawMessage) {
	if encoded == nil {
		return
	}
	var message map[crlid.Service]brittlenessMessage
	if err := json.Unmarshal(encoded, &message); err != nil || len(message) > maxExchangedServices {
		e.ignored.Add(1)
		return
	}
	f, now := e.fleet, e.fleet.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, m := range message {
		if _, known := f.loads[name]; known || len(f.loads) < maxExchangedServices {
			f.serviceLoad(name).brittle.merge(m, now)
		}
	}
}

// merge applies what another daemon knows.
func (b *serviceBrittleness) merge(m brittlenessMessage, now crlclock.Instant) {
	if m.Stated == nil || m.MaxRejections < 0 || math.IsInf(m.MaxRejections, 0) {
		return
	}
	wasActive := b.isActive(now)
	if b.stated.merge(m.Stated, now) {
		b.maxRejections = max(m.MaxRejections, minMaxRejections)
	}
	b.sound.merge(m.Sound, now)
	if !wasActive && b.isActive(now) {
		// Servers have stated it to others for a while.
		b.beganAt, b.settledAt = now, now
	}
}

// message returns what this daemon knows of all services, nil for nothing.
func (e *BrittlenessExchange) message() json.RawMessage {
	f, now := e.fleet, e.fleet.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var message map[crlid.Service]brittlenessMessage
	for name, l := range f.loads {
		stated := l.brittle.stated.message(now)
		if stated == nil {
			continue
		}
		if message == nil {
			message = make(map[crlid.Service]brittlenessMessage)
		}
		message[name] = brittlenessMessage{MaxRejections: l.brittle.maxRejections, Stated: stated, Sound: l.brittle.sound.message(now)}
	}
	if message == nil {
		return nil
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		e.ignored.Add(1)
		return nil
	}
	return encoded
}
