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

// Order is one record of the operators; at most one of Table, Rollout and Evacuated is set.
type Order struct {
	Offset    crlid.Offset
	Withdrawn bool // Withdrawn is set when the record drops its key.
	Table     *crlroute.Table
	Rollout   *crlrollout.Order
	Evacuated crlid.Domain
}

// Codec decodes the records of a platform's store.
type Codec interface {
	DecodeOrder(record crlplatform.KeyedRecord) (Order, error)
	DecodeServer(record crlplatform.KeyedRecord) (crlfleet.Entry, error)
	DecodeStatus(record crlplatform.KeyedRecord) (status crlrollout.Status, ok bool)
	EncodeStatus(status crlrollout.Status) (crlplatform.KeyedRecord, error)
}

// Events that are logged when beliefs change.
const (
	EventConfiguration crllog.Event = "configuration"
	EventOrder         crllog.Event = "order"
	EventBadRecord     crllog.Event = "bad-record"
	EventStatus        crllog.Event = "rollout-status"
)

// orders keeps what operators ordered.
type orderProcessor struct {
	codec       Codec
	fleet       *crlfleet.Fleet
	rollouts    *crlrollout.Tracker
	now         crlclock.Clock
	logger      *crllog.Logger
	table       atomic.Pointer[crlroute.Table]
	tableOffset crlid.Offset // newest is the offset of the configuration in force.
	initialised bool         // started is set once the orders of before this daemon's start are known.
}

// change takes orders in the order of the topic; the replica that calls it does so one at a time.
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

// configure puts a configuration in force unless a later one is already.
func (o *orderProcessor) applyTable(order Order) {
	current := o.table.Load()
	if current != nil && (order.Offset <= o.tableOffset || order.Table.Version() <= current.Version()) {
		return
	}
	o.tableOffset = order.Offset
	o.table.Store(order.Table)
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
