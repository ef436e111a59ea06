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

// Bounds and periods of the daemon's use of the log.
const (
	maxBatchEntries  = 512
	maxPageRecords   = 256
	appendTimeout    = 2 * time.Second
	longPollWait     = time.Second
	readTimeout      = 3 * time.Second
	logRetryDelay    = 200 * time.Millisecond
	claimStaleness   = 5 * time.Second // claimStaleness exceeds readWait and readTimeout.
	permitRetryDelay = 10 * time.Millisecond
	forwardWindow    = 4 * crljournal.MinWindow // forwardWindow is the time between two batches to an appender.
)

// Shares of the append budget in percent; streams that are not named have the rest together.
const (
	claimPercent   = 50
	billPercent    = 40
	otherPercent   = 10
	hundredPercent = 100
)

func (d *Daemon) newWriter(stream crlid.Stream) *crljournal.Writer {
	d.combiners[stream] = crljournal.NewCombiner(crljournal.CombinerConfig{
		Log: d.metrics.timed(d.config.Log), Stream: stream, AppendTimeout: appendTimeout,
		Window: func() time.Duration {
			return crljournal.WindowForBudget(d.totalAppenders(stream), d.appendBudget(stream))
		},
	})
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

// budget returns the appends per second of a stream for all daemons together.
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

// window spreads a stream's budget over the daemons, unless appenders keep to it.
func (d *Daemon) writerWindow(stream crlid.Stream) time.Duration {
	if len(d.appenders(stream)) > 0 {
		return forwardWindow
	}
	return crljournal.WindowForBudget(len(d.members()), d.appendBudget(stream))
}

// members returns the daemons of the roster, or of the settings before there is one.
func (d *Daemon) members() []crlid.Daemon {
	if roster := d.roster.Load(); roster != nil {
		return namesOf(roster.Members, func(crlmember.Member) bool { return true })
	}
	return append(slices.Collect(maps.Keys(d.config.Settings.Peers)), d.config.Settings.Name)
}

// neighbours returns the members of this daemon's failure domain; without a roster all count as such.
func (d *Daemon) domainMembers() []crlid.Daemon {
	if roster := d.roster.Load(); roster != nil {
		return namesOf(roster.Members, func(m crlmember.Member) bool { return m.Domain == d.config.Settings.Domain })
	}
	return d.members()
}

func namesOf(members []crlmember.Member, wanted func(crlmember.Member) bool) []crlid.Daemon {
	var names []crlid.Daemon
	for _, m := range members {
		if wanted(m) {
			names = append(names, m.Name)
		}
	}
	return names
}

// follow takes over a new roster for the shares of the append budget; it runs on the loop.
func (d *Daemon) applyRoster(roster crlmember.Roster) {
	if len(roster.Members) == 0 {
		return
	}
	d.roster.Store(&roster)
	for stream, w := range d.writers {
		w.SetWindow(d.writerWindow(stream))
	}
}

func (d *Daemon) appenders(stream crlid.Stream) []crlid.Daemon {
	return crljournal.Appenders(stream, d.domainMembers(), len(d.members()), d.config.Settings.Limits.AppendBudget)
}

// appendersEverywhere returns how many daemons of all failure domains append to a stream together.
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
