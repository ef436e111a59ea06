package crldaemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlmember"
)

// Limits, time-outs and intervals for the use of the log.
const (
	maxBatchEntries   = 512 // limit on the entries of one batch
	maxPageRecords    = 256 // limit on the records that one read of the log returns
	appendTimeout     = 2 * time.Second
	longPollWait      = time.Second // time for which the log may hold a read that finds no new record
	readTimeout       = 3 * time.Second
	logRetryDelay     = 200 * time.Millisecond   // pause before a failed append or read is repeated
	maxClaimStaleness = 5 * time.Second          // greatest age of the local fold that decides claims; exceeds longPollWait and readTimeout
	permitRetryDelay  = 10 * time.Millisecond    // pause between two tries of one request to get a permit
	forwardWindow     = 4 * crljournal.MinWindow // shortest time between two batches that a daemon sends to an appender
)

// Shares of the append budget of the settings, in percent. The streams that aren't named, configuration and roster, have otherPercent
// each.
const (
	claimPercent   = 50
	billPercent    = 40
	otherPercent   = 5
	hundredPercent = 100
)

// newWriter returns the writer of a stream and registers it and the stream's combiner. An appender is a daemon that
// appends batches of other daemons, too, so that a large fleet keeps within the log's budget of appends per second; its
// combiner joins their batches into one append.
func (d *Daemon) newWriter(stream crlid.Stream) *crljournal.Writer {
	d.combiners[stream] = crljournal.NewCombiner(crljournal.CombinerConfig{
		Log: d.metrics.timed(d.config.Log), Stream: stream, AppendTimeout: appendTimeout,
		Window: func() time.Duration {
			return crljournal.WindowForBudget(d.totalAppenders(stream), d.appendBudget(stream))
		},
	})
	// An append may go through a peer's combiner, whose own append takes up to appendTimeout, so a writer waits twice as long.
	w := crljournal.NewWriter(crljournal.WriterConfig{
		Log: d.relay, Stream: stream, Writer: d.incarnation, Window: d.writerWindow(stream),
		BatchEntries: maxBatchEntries, RetryDelay: logRetryDelay, AppendTimeout: 2 * appendTimeout,
	})
	d.writers[stream] = w
	return w
}

func (d *Daemon) newRelay() *crljournal.Relay {
	return crljournal.NewRelay(crljournal.RelayConfig{
		Log: d.config.Log, Combiners: d.combiners, Forwarder: d, Self: d.config.Settings.Name, Appenders: d.appenders,
	})
}

// appendBudget returns the limit on appends to a stream in appends per second, for all daemons together.
func (d *Daemon) appendBudget(stream crlid.Stream) int {
	share := otherPercent
	switch stream {
	case crlclaim.Stream:
		share = claimPercent
	case crlbill.Stream:
		share = billPercent
	}
	return max(1, d.config.Settings.Limits.AppendBudget*share/hundredPercent)
}

// writerWindow returns the shortest time between two appends of this daemon's writer. It divides the stream's budget among
// all daemons. If the stream has appenders, these keep to the budget, and writers only send batches to them.
func (d *Daemon) writerWindow(stream crlid.Stream) time.Duration {
	if len(d.appenders(stream)) > 0 {
		return forwardWindow
	}
	return crljournal.WindowForBudget(len(d.members()), d.appendBudget(stream))
}

// members returns the names of the daemons of the roster, or of the settings before the first roster.
func (d *Daemon) members() []crlid.Daemon {
	if roster := d.roster.Load(); roster != nil {
		return namesOf(roster.Members, func(crlmember.Member) bool { return true })
	}
	return append(slices.Collect(maps.Keys(d.config.Settings.Peers)), d.config.Settings.Name)
}

// domainMembers returns the members of this daemon's failure domain, or all members before the first roster, when
// failure domains of peers are unknown.
func (d *Daemon) domainMembers() []crlid.Daemon {
	if roster := d.roster.Load(); roster != nil {
		return namesOf(roster.Members, func(m crlmember.Member) bool { return m.Domain == d.config.Settings.Domain })
	}
	return d.members()
}

// namesOf returns the names of the members for which wanted is true.
func namesOf(members []crlmember.Member, wanted func(crlmember.Member) bool) []crlid.Daemon {
	var names []crlid.Daemon
	for _, m := range members {
		if wanted(m) {
			names = append(names, m.Name)
		}
	}
	return names
}

// applyRoster stores a new roster and adapts the writers to it, which share the append budget by the number of members. It
// ignores a roster without members, and runs on the control loop.
func (d *Daemon) applyRoster(roster crlmember.Roster) {
	if len(roster.Members) == 0 {
		return
	}
	d.roster.Store(&roster)
	for stream, w := range d.writers {
		w.SetWindow(d.writerWindow(stream))
	}
}

// appenders returns the daemons of this failure domain that append to a stream. The result is empty if the fleet is small
// enough for every daemon to append by itself.
func (d *Daemon) appenders(stream crlid.Stream) []crlid.Daemon {
	return crljournal.Appenders(stream, d.domainMembers(), len(d.members()), d.config.Settings.Limits.AppendBudget)
}

// totalAppenders returns the number of appenders of a stream in all failure domains, assuming that each has as many as this
// one. Before the first roster it counts this daemon's list only.
func (d *Daemon) totalAppenders(stream crlid.Stream) int {
	roster := d.roster.Load()
	if roster == nil {
		return len(d.appenders(stream))
	}
	domains := make(map[crlid.Domain]bool)
	for _, m := range roster.Members {
		domains[m.Domain] = true
	}
	return len(domains) * len(d.appenders(stream))
}

func (d *Daemon) tails() []*crljournal.Tail {
	return []*crljournal.Tail{
		d.newTail(crlconfig.Stream, d.store.Deliver),
		d.newTail(crlclaim.Stream, d.registry.Deliver),
		d.newTail(crlbill.Stream, d.ledger.Deliver),
	}
}

func (d *Daemon) newTail(stream crlid.Stream, deliver func(context.Context, crljournal.Batch) error) *crljournal.Tail {
	return crljournal.NewTail(crljournal.TailConfig{
		Log: d.config.Log, Stream: stream, PageRecords: maxPageRecords, Wait: longPollWait,
		ReadTimeout: readTimeout, RetryDelay: logRetryDelay, Deliver: deliver,
	})
}
