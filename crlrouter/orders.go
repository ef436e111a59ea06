package crlrouter

import (
	"cmp"
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
	Position  crlid.Position
	Withdrawn bool // the record deletes its key, which withdraws the earlier order under that key
	Table     *crlroute.Table
	Rollout   *crlrollout.Order // if Withdrawn, only its Service and Position are set
	Evacuated crlid.Domain      // failure domain whose evacuation begins or, if Withdrawn, ends
}

// Codec translates between the router's types and the records of a platform's store. Its methods may be called
// concurrently.
type Codec interface {
	// DecodeOrder fails for a record that is not a valid order.
	DecodeOrder(record crlplatform.KeyedRecord) (Order, error)
	// DecodeServer fails for a record that is not the valid entry of a backend server.
	DecodeServer(record crlplatform.KeyedRecord) (crlfleet.Entry, error)
	// DecodeHeartbeat returns ok false for a record that states no heartbeat of a backend server.
	DecodeHeartbeat(record crlplatform.KeyedRecord) (heartbeat Heartbeat, ok bool)
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
	codec         Codec
	fleet         *crlfleet.Fleet
	rollouts      *crlrollout.Tracker
	now           crlclock.Clock
	logger        *crllog.Logger
	current       atomic.Pointer[activeTable]
	tablePosition crlid.Position // position of the record that the current table came from
	initialised   bool           // whether the orders from before this daemon's start have been applied
}

// apply applies new orders, which are sorted by position. The replica that calls it makes one call at a time.
func (o *orderProcessor) apply(records []crlplatform.KeyedRecord, _ crlclock.Instant) {
	for _, r := range records {
		order, err := o.codec.DecodeOrder(r)
		if err != nil {
			o.logger.Event(EventBadRecord, slog.String("key", r.Key), slog.Int64("offset", int64(r.Position.Offset)), slog.String("cause", err.Error()))
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

// restate applies orders that were written again, without a change, after the store came back from an older copy.
func (o *orderProcessor) restate(records []crlplatform.KeyedRecord) {
	for _, r := range records {
		order, err := o.codec.DecodeOrder(r)
		switch {
		case err != nil:
		case order.Table != nil:
			if current := o.current.Load(); current != nil && order.Table.Version() == current.table.Version() {
				o.tablePosition = order.Position
			}
		case order.Rollout != nil && !order.Withdrawn:
			o.rollouts.Restate(*order.Rollout, o.now())
		}
	}
}

// compare orders two configurations by version; ok is false for other orders, whose content doesn't tell.
func (o *orderProcessor) compare(a, b crlplatform.KeyedRecord) (result int, ok bool) {
	first, errFirst := o.codec.DecodeOrder(a)
	second, errSecond := o.codec.DecodeOrder(b)
	if errFirst != nil || errSecond != nil || first.Table == nil || second.Table == nil {
		return 0, false
	}
	return cmp.Compare(first.Table.Version(), second.Table.Version()), true
}

// positionInForce returns the position of the record that the current table came from, [crlid.NoPosition] without one.
func (o *orderProcessor) positionInForce() crlid.Position { return o.tablePosition }

// applyTable replaces the routing table unless the version of the current one is at least as new. Positions don't count: after a newer version an older one may
// be written, and a daemon that read only that record gets the newer version later, from its source.
func (o *orderProcessor) applyTable(order Order) {
	current := o.current.Load()
	if current != nil && order.Table.Version() <= current.table.Version() {
		return
	}
	o.tablePosition = order.Position
	o.current.Store(&activeTable{table: order.Table, appliedAt: o.now()})
	o.logger.Event(EventConfiguration, slog.Int64("configuration", order.Table.Version()),
		slog.Int64("offset", int64(order.Position.Offset)), slog.Int("routes", order.Table.RouteCount()))
}

func (o *orderProcessor) applyRollout(order Order) {
	r := *order.Rollout
	if order.Withdrawn {
		o.rollouts.Withdraw(r.Service)
	} else {
		o.rollouts.AddOrder(r, !o.initialised, o.now())
	}
	o.logger.Event(EventOrder, slog.String("order", "rollout"), slog.String("service", string(r.Service)),
		slog.String("target", string(r.Target)), slog.Bool("withdrawn", order.Withdrawn), slog.Int64("offset", int64(order.Position.Offset)))
}

func (o *orderProcessor) applyEvacuation(order Order) {
	o.fleet.Evacuate(order.Evacuated, !order.Withdrawn)
	o.logger.Event(EventOrder, slog.String("order", "evacuate"), slog.String("failure-domain", string(order.Evacuated)),
		slog.Bool("withdrawn", order.Withdrawn), slog.Int64("offset", int64(order.Position.Offset)))
}
