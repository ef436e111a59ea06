package crlrouter

import (
	"log/slog"
	"sync/atomic"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// Order is one decoded record of the operators' topic. At most one of Table, Rollout and Evacuated is set; none is set for a
// record with an unknown key and for a withdrawn configuration.
type Order struct {
	Offset    crlid.Offset
	Withdrawn bool // the record deletes its key, which withdraws the earlier order under that key
	Table     *crlroute.Table
	Rollout   *crlrollout.Order // if Withdrawn, only its Service and Offset are set
	Evacuated crlid.Domain      // failure domain whose evacuation begins or, if Withdrawn, ends
}

// Codec translates between the router's types and the records of a platform's store. Its methods may be called
// concurrently.
type Codec interface {
	// DecodeOrder fails for a record that is not a valid order.
	DecodeOrder(record crlplatform.KeyedRecord) (Order, error)
	// DecodeServer fails for a record that is not the valid entry of a backend server.
	DecodeServer(record crlplatform.KeyedRecord) (crlfleet.Entry, error)
	// DecodeStatus returns ok false for a record that is not a valid status.
	DecodeStatus(record crlplatform.KeyedRecord) (status crlrollout.Status, ok bool)
	// EncodeStatus returns the record that DecodeStatus decodes. The offset is not part of it.
	EncodeStatus(status crlrollout.Status) (crlplatform.KeyedRecord, error)
}

// Log events for records that are read from or written to the store.
const (
	EventConfiguration crllog.Event = "configuration"
	EventOrder         crllog.Event = "order"
	EventBadRecord     crllog.Event = "bad-record"
	EventStatus        crllog.Event = "rollout-status"
	EventStatusDelayed crllog.Event = "rollout-delayed"
)

// activeTable is the routing table in force.
type activeTable struct {
	table     *crlroute.Table
	appliedAt crlclock.Instant
}

// orderProcessor applies the operators' orders and holds the current routing table.
type orderProcessor struct {
	codec       Codec
	fleet       *crlfleet.Fleet
	rollouts    *crlrollout.Tracker
	now         crlclock.Clock
	logger      *crllog.Logger
	current     atomic.Pointer[activeTable]
	tableOffset crlid.Offset // offset of the record that the current table came from
	initialised bool         // whether the orders from before this daemon's start have been applied
}

// apply applies new orders, which are sorted by offset. The replica that calls it makes one call at a time.
func (o *orderProcessor) apply(records []crlplatform.KeyedRecord, _ crlclock.Instant) {
	for _, r := range records {
		order, err := o.codec.DecodeOrder(r)
		if err != nil {
			o.logger.Event(EventBadRecord, slog.String("key", r.Key), slog.Int64("offset", int64(r.Offset)), slog.String("cause", err.Error()))
			continue
		}
		switch {
		case order.Table != nil:
			o.applyTable(order)
		case order.Rollout != nil:
			o.applyRollout(order)
		case order.Evacuated != "":
			o.applyEvacuation(order)
		}
	}
	o.initialised = true
}

// offsetInForce returns the offset of the record that the current table came from, [crlid.NoOffset] without one.
func (o *orderProcessor) offsetInForce() crlid.Offset { return o.tableOffset }

// applyTable replaces the routing table unless the version of the current one is at least as new. Offsets don't count: after a newer version an older one may
// be written, and a daemon that read only that record gets the newer version later, from its source.
func (o *orderProcessor) applyTable(order Order) {
	current := o.current.Load()
	if current != nil && order.Table.Version() <= current.table.Version() {
		return
	}
	o.tableOffset = order.Offset
	o.current.Store(&activeTable{table: order.Table, appliedAt: o.now()})
	o.logger.Event(EventConfiguration, slog.Int64("configuration", order.Table.Version()),
		slog.Int64("offset", int64(order.Offset)), slog.Int("routes", order.Table.RouteCount()))
}

func (o *orderProcessor) applyRollout(order Order) {
	r := *order.Rollout
	if order.Withdrawn {
		o.rollouts.Withdraw(r.Service)
	} else {
		o.rollouts.AddOrder(r, !o.initialised, o.now())
	}
	o.logger.Event(EventOrder, slog.String("order", "rollout"), slog.String("service", string(r.Service)),
		slog.String("target", string(r.Target)), slog.Bool("withdrawn", order.Withdrawn), slog.Int64("offset", int64(order.Offset)))
}

func (o *orderProcessor) applyEvacuation(order Order) {
	o.fleet.Evacuate(order.Evacuated, !order.Withdrawn)
	o.logger.Event(EventOrder, slog.String("order", "evacuate"), slog.String("failure-domain", string(order.Evacuated)),
		slog.Bool("withdrawn", order.Withdrawn), slog.Int64("offset", int64(order.Offset)))
}
