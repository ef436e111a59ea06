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
	batchEntries   = 512
	pageRecords    = 256
	appendTimeout  = 2 * time.Second
	readWait       = time.Second
	readTimeout    = 3 * time.Second
	logRetry       = 200 * time.Millisecond
	claimStaleness = 5 * time.Second // claimStaleness exceeds readWait and readTimeout.
	permitRetry    = 10 * time.Millisecond
	forwardWindow  = 4 * crljournal.MinWindow // forwardWindow is the time between two batches to an appender.
)

// Shares of the append budget in percent; streams that are not named have the rest together.
const (
	claimShare = 50
	billShare  = 40
	restShare  = 10
	wholeShare = 100
)

func (d *Daemon) newWriter(stream crlid.Stream) *crljournal.Writer {
	d.combiners[stream] = crljournal.NewCombiner(crljournal.CombinerConfig{
		Log: d.metrics.timed(d.config.Log), Stream: stream, AppendTimeout: appendTimeout,
		Window: func() time.Duration {
			return crljournal.WindowForBudget(d.appendersEverywhere(stream), d.budget(stream))
		},
	})
	w := crljournal.NewWriter(crljournal.WriterConfig{
		Log: d.relay, Stream: stream, Writer: d.incarnation, Window: d.window(stream),
		BatchEntries: batchEntries, RetryDelay: logRetry, AppendTimeout: 2 * appendTimeout,
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
func (d *Daemon) budget(stream crlid.Stream) int {
	share := restShare
	switch stream {
	case crlclaim.Stream:
		share = claimShare
	case crlbill.Stream:
		share = billShare
	}
	return max(1, d.config.Settings.Limits.AppendBudget*share/wholeShare)
}

// window spreads a stream's budget over the daemons, unless appenders keep to it.
func (d *Daemon) window(stream crlid.Stream) time.Duration {
	if len(d.appenders(stream)) > 0 {
		return forwardWindow
	}
	return crljournal.WindowForBudget(len(d.members()), d.budget(stream))
}

// members returns the daemons of the roster, or of the settings before there is one.
func (d *Daemon) members() []crlid.Daemon {
	if roster := d.roster.Load(); roster != nil {
		return namesOf(roster.Members, func(crlmember.Member) bool { return true })
	}
	return append(slices.Collect(maps.Keys(d.config.Settings.Peers)), d.config.Settings.Name)
}

// neighbours returns the members of this daemon's failure domain; without a roster all count as such.
func (d *Daemon) neighbours() []crlid.Daemon {
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
func (d *Daemon) follow(roster crlmember.Roster) {
	if len(roster.Members) == 0 {
		return
	}
	d.roster.Store(&roster)
	for stream, w := range d.writers {
		w.SetWindow(d.window(stream))
	}
}

func (d *Daemon) appenders(stream crlid.Stream) []crlid.Daemon {
	return crljournal.Appenders(stream, d.neighbours(), len(d.members()), d.config.Settings.Limits.AppendBudget)
}

// appendersEverywhere returns how many daemons of all failure domains append to a stream together.
func (d *Daemon) appendersEverywhere(stream crlid.Stream) int {
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
		Log: d.config.Log, Stream: stream, PageRecords: pageRecords, Wait: readWait,
		ReadTimeout: readTimeout, RetryDelay: logRetry, Deliver: deliver,
	})
}
