package crlrouter

import (
	"encoding/json"
	"log/slog"
	"slices"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlrelay"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlworkload"
)

// exchangeName identifies an exchange in messages between routers.
type exchangeName string

// Names of exchanges.
const (
	// exchangeRollouts is the only member of the messages of earlier versions, which ignore all others.
	exchangeRollouts exchangeName = "rollouts"
	exchangeLoad     exchangeName = "load"
	exchangePace     exchangeName = "pace"
	exchangeBrittle  exchangeName = "brittle"
	exchangeBarred   exchangeName = "barred"
)

// namedExchange is one of the exchanges that share the calls between routers.
type namedExchange struct {
	name     exchangeName
	exchange crlrelay.Exchange
}

// exchanges combines several exchanges into one. Its messages are JSON objects with one member for each exchange that has a message. Members
// with unknown names are ignored, so that routers of different versions exchange what both know.
type exchanges struct {
	parts   []namedExchange
	logger  *crllog.Logger
	ignored ignoredMessages
}

// ignoredMessages counts what other routers sent and was not understood.
type ignoredMessages struct {
	undecodable atomic.Int64 // messages
	unknown     atomic.Int64 // members of messages whose names are unknown
}

// newExchanges returns the load table of a router and the exchanges that it takes part in.
func (r *Router) newExchanges(rollouts *crlrollout.Tracker) (*crlworkload.Table, *exchanges) {
	workload := crlworkload.New(crlworkload.Config{
		Address: r.config.Settings.PeerListen, Incarnation: r.incarnation, Daemons: func() int { return r.follower.Count() }, Active: r.hasEngines,
		Rank: r.rank, Now: r.config.Clock,
	})
	evidence := newEvidenceExchange(rollouts, r.config.Clock, r.config.Logger)
	return workload, newExchanges(r.config.Logger, namedExchange{exchangeRollouts, evidence}, namedExchange{exchangeLoad, workload},
		namedExchange{exchangePace, r.pace}, namedExchange{exchangeBarred, crlrollout.NewBarredExchange(rollouts, r.config.Clock)})
}

// rank returns the place of this router in the roster, from 1, and 0 if it isn't listed. Sources come before their followers in a roster, unless
// these are looking for a source.
func (r *Router) rank() int {
	self := r.follower.Self()
	return 1 + slices.IndexFunc(r.follower.Roster().Members, func(m crlrelay.Member) bool { return m.Address == self.Address })
}

func newExchanges(logger *crllog.Logger, parts ...namedExchange) *exchanges {
	return &exchanges{parts: parts, logger: logger}
}

// add adds an exchange. It must not be called once messages are exchanged.
func (e *exchanges) add(name exchangeName, exchange crlrelay.Exchange) {
	e.parts = append(e.parts, namedExchange{name, exchange})
}

// Request returns the messages of all exchanges for the next call.
func (e *exchanges) Request(isNew bool) json.RawMessage {
	message := make(map[exchangeName]json.RawMessage, len(e.parts))
	for _, p := range e.parts {
		if part := p.exchange.Request(isNew); part != nil {
			message[p.name] = part
		}
	}
	return e.encode(message)
}

// Pending reports whether any exchange has messages.
func (e *exchanges) Pending() bool {
	pending := false
	for _, p := range e.parts {
		pending = p.exchange.Pending() || pending
	}
	return pending
}

// Reply applies the messages of a follower and returns the replies.
func (e *exchanges) Reply(request json.RawMessage) json.RawMessage { return e.Receive(request)() }

// Receive applies the messages of a follower and returns the function that composes the replies. Exchanges without a message get nil.
func (e *exchanges) Receive(request json.RawMessage) (reply func() json.RawMessage) {
	members := e.decode(request)
	replies := make([]func() json.RawMessage, 0, len(e.parts))
	for _, p := range e.parts {
		replies = append(replies, crlrelay.Receive(p.exchange, members[p.name]))
	}
	return func() json.RawMessage {
		message := make(map[exchangeName]json.RawMessage, len(e.parts))
		for i, p := range e.parts {
			if part := replies[i](); part != nil {
				message[p.name] = part
			}
		}
		return e.encode(message)
	}
}

// Learn applies the replies of a source.
func (e *exchanges) Learn(reply json.RawMessage) {
	members := e.decode(reply)
	for _, p := range e.parts {
		if part := members[p.name]; part != nil {
			p.exchange.Learn(part)
		}
	}
}

// decode returns the members of a message that belong to an exchange. A member that is null is left out, as earlier versions reply
// with one if no roll-out is running.
func (e *exchanges) decode(message json.RawMessage) map[exchangeName]json.RawMessage {
	if message == nil {
		return nil
	}
	var members map[exchangeName]json.RawMessage
	if err := json.Unmarshal(message, &members); err != nil {
		e.ignored.undecodable.Add(1)
		e.logger.Event(EventBadRecord, slog.String("key", "message of another router"), slog.String("cause", err.Error()))
		return nil
	}
	for name, part := range members {
		switch {
		case string(part) == "null":
			delete(members, name)
		case !e.has(name):
			e.ignored.unknown.Add(1)
			delete(members, name)
		}
	}
	return members
}

func (e *exchanges) has(name exchangeName) bool {
	for _, p := range e.parts {
		if p.name == name {
			return true
		}
	}
	return false
}

// encode returns the text of a message, nil if it has no members.
func (e *exchanges) encode(message map[exchangeName]json.RawMessage) json.RawMessage {
	if len(message) == 0 {
		return nil
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		e.logger.Event(EventBadRecord, slog.String("key", "message to another router"), slog.String("cause", err.Error()))
		return nil
	}
	return encoded
}

// exchangeCounters returns the counters of what other routers sent and this one ignored.
func (r *Router) exchangeCounters() []prometheus.Collector {
	counter := func(exchange exchangeName, cause string, value func() float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cranberrylock_router_peer_messages_ignored_total", Help: "Messages of other routers that were ignored, by exchange and cause.",
			ConstLabels: prometheus.Labels{"exchange": string(exchange), "cause": cause},
		}, value)
	}
	drops := func(cause string, value func(crlworkload.Drops) int) prometheus.Collector {
		return counter(exchangeLoad, cause, func() float64 { return float64(value(r.workload.Drops())) })
	}
	ignored := &r.exchanges.ignored
	return []prometheus.Collector{
		counter("all", "undecodable", func() float64 { return float64(ignored.undecodable.Load()) }),
		counter("all", "unknown-name", func() float64 { return float64(ignored.unknown.Load()) }),
		counter(exchangeBrittle, "malformed", func() float64 { return float64(r.brittleness.Ignored()) }),
		drops("malformed", func(d crlworkload.Drops) int { return d.Malformed }),
		drops("other-version", func(d crlworkload.Drops) int { return d.OtherVersion }),
		drops("implausible", func(d crlworkload.Drops) int { return d.Implausible }),
		drops("outdated", func(d crlworkload.Drops) int { return d.Outdated }),
		drops("looped", func(d crlworkload.Drops) int { return d.Looped }),
		drops("misdirected", func(d crlworkload.Drops) int { return d.Misdirected }),
		drops("excess", func(d crlworkload.Drops) int { return d.Excess }),
	}
}
