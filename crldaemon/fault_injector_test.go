package crldaemon

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gopkg.in/ini.v1"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlhistory"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Limits on the faults of a run, and on the calls that inject and check them.
const (
	maxFaultPause   = 1500 * time.Millisecond // longest pause between two faults
	maxFaultLength  = 8 * time.Second         // longest time until a fault is undone
	maxDaemonsDown  = 3                       // daemons that are paused, killed or stopping at the same time
	applyTimeout    = 10 * time.Second        // bounds one publication of a configuration
	maxRecordsRead  = 1 << 20                 // records that a read of a stream may return, more than a run appends
	operatorRetries = 3                       // publications that an operator tries for one edit
)

// faultInjector injects random faults into a cluster and counts them by kind. Its methods are called from one goroutine, except
// notef.
type faultInjector struct {
	cluster        *testCluster
	random         *rand.Rand
	injected       map[string]int       // number of injected faults by kind, including faults that did nothing
	down           map[*daemonNode]bool // daemons that are paused, killed or stopping
	scheduledUndos []scheduledUndo
	client         *http.Client
	edits          int     // configuration edits that were started
	exitErrors     []error // results of daemons that ended

	mu       sync.Mutex // guards timeline
	timeline []string   // one line per fault with its start and end, to find the cause of a violation
}

// notef adds a line with the present time to the timeline. It is safe for concurrent use.
func (f *faultInjector) notef(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timeline = append(f.timeline, time.Now().Format(timeFormat+" ")+fmt.Sprintf(format, args...))
}

// scheduledUndo is the end of a fault, which is due at a later time.
type scheduledUndo struct {
	at   time.Time // when the fault ends
	undo func()    // ends the fault
}

func newFaultInjector(cluster *testCluster, seed uint64) *faultInjector {
	return &faultInjector{
		cluster: cluster, random: rand.New(rand.NewPCG(seed, 0)), injected: make(map[string]int),
		down: make(map[*daemonNode]bool), client: cluster.client("operator"),
	}
}

// run injects faults for the given time and then ends all that remain.
func (f *faultInjector) run(length time.Duration) {
	defer f.client.CloseIdleConnections()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(f.randomDuration(maxFaultPause)) {
		f.undoDue(time.Now())
		f.inject()
	}
	for len(f.scheduledUndos) > 0 {
		f.undoDue(time.Now().Add(maxFaultLength))
		time.Sleep(maxFaultPause)
	}
}

// randomDuration returns a duration from 1 ns to d.
func (f *faultInjector) randomDuration(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d))) + 1
}

// scheduleUndo records a fault in the timeline and schedules its end after a random time of at most maxFaultLength.
func (f *faultInjector) scheduleUndo(description string, undo func()) {
	at := time.Now().Add(f.randomDuration(maxFaultLength))
	f.notef("%s until %s", description, at.Format(timeFormat))
	f.scheduledUndos = append(f.scheduledUndos, scheduledUndo{at: at, undo: undo})
}

// undoDue ends the faults that are due at the given time.
func (f *faultInjector) undoDue(now time.Time) {
	scheduled := f.scheduledUndos
	f.scheduledUndos = nil
	for _, s := range scheduled {
		if s.at.After(now) {
			f.scheduledUndos = append(f.scheduledUndos, s)
			continue
		}
		s.undo()
	}
}

// inject injects one fault of a random kind, and counts it even if it does nothing. No daemon is killed, paused or stopped if the
// chosen one is already down or maxDaemonsDown daemons are, and no link is cut if the same daemon was chosen for both ends.
func (f *faultInjector) inject() {
	faults := []struct {
		kind string
		run  func()
	}{
		{"log outage", func() { f.logFault(crlfake.LogFaults{Outage: true}) }},
		{"log replies lost", func() { f.logFault(crlfake.LogFaults{LoseReplies: true}) }},
		{"log slow", func() { f.logFault(crlfake.LogFaults{Delay: f.randomDuration(3 * time.Second)}) }},
		{"daemon killed", f.killDaemon},
		{"daemon paused", f.pauseDaemon},
		{"daemon stopped gracefully", f.stopDaemon},
		{"link between daemons cut", f.cutPeers},
		{"link to the platform cut", f.cutPlatform},
		{"link to a server cut", f.cutServer},
		{"engine breaks", f.breakEngine},
		{"engine rebooted", f.rebootEngine},
		{"service fails", f.failService},
		{"domain out", f.takeDomainOut},
		{"version withdrawn", f.withdrawVersion},
		{"operators race", f.raceOperators},
	}
	fault := faults[f.random.IntN(len(faults))]
	f.injected[fault.kind]++
	fault.run()
}

func (f *faultInjector) logFault(faults crlfake.LogFaults) {
	f.cluster.platform.Log.SetFaults(faults)
	f.scheduleUndo(fmt.Sprintf("log %+v", faults), func() { f.cluster.platform.Log.SetFaults(crlfake.LogFaults{}) })
}

// pickRunningDaemon returns a random daemon, or nil if that one is already down or maxDaemonsDown are.
func (f *faultInjector) pickRunningDaemon() *daemonNode {
	d := f.cluster.daemons[f.random.IntN(len(f.cluster.daemons))]
	if f.down[d] || len(f.down) >= maxDaemonsDown {
		return nil
	}
	return d
}

func (f *faultInjector) killDaemon() {
	if d := f.pickRunningDaemon(); d != nil {
		f.down[d] = true
		f.cluster.killDaemon(d)
		f.scheduleUndo(fmt.Sprintf("down: %s", d.node), func() { f.restart(d) })
	}
}

// restart starts a daemon again if it has ended. Otherwise it schedules another try, as a daemon that stops gracefully first
// finishes its open requests.
func (f *faultInjector) restart(d *daemonNode) {
	select {
	case err := <-d.ended:
		f.exitErrors = append(f.exitErrors, err)
		f.cluster.startDaemon(d)
		delete(f.down, d)
	default:
		f.scheduleUndo(fmt.Sprintf("down: %s", d.node), func() { f.restart(d) })
	}
}

func (f *faultInjector) pauseDaemon() {
	if d := f.pickRunningDaemon(); d != nil {
		f.down[d] = true
		f.cluster.network.Pause(d.node)
		f.scheduleUndo(fmt.Sprintf("paused: %s", d.node), func() {
			f.cluster.network.Resume(d.node)
			delete(f.down, d)
		})
	}
}

func (f *faultInjector) stopDaemon() {
	if d := f.pickRunningDaemon(); d != nil {
		f.down[d] = true
		d.stop()
		f.scheduleUndo(fmt.Sprintf("down: %s", d.node), func() { f.restart(d) })
	}
}

func (f *faultInjector) cutLink(a, b crlfake.Node) {
	f.cluster.network.Cut(a, b)
	f.scheduleUndo(fmt.Sprintf("cut: %s and %s", a, b), func() { f.cluster.network.Heal(a, b) })
}

// randomNode returns the network node of a random daemon, whether or not the daemon is down.
func (f *faultInjector) randomNode() crlfake.Node {
	return f.cluster.daemons[f.random.IntN(len(f.cluster.daemons))].node
}

func (f *faultInjector) cutPeers() {
	if a, b := f.randomNode(), f.randomNode(); a != b {
		f.cutLink(a, b)
	}
}

func (f *faultInjector) cutPlatform() { f.cutLink(f.randomNode(), platformNode) }

func (f *faultInjector) cutServer() {
	f.cutLink(f.randomNode(), crlfake.Node(f.randomName(sortedKeys(f.cluster.engines))))
}

func (f *faultInjector) randomName(names []string) string { return names[f.random.IntN(len(names))] }

func (f *faultInjector) breakEngine() {
	engine := f.cluster.engines[crlid.Server(f.randomName(sortedKeys(f.cluster.engines)))]
	engine.SetFaults([]crlfake.EngineFaults{
		{Fail: true}, {Refuse: true}, {BreakAfter: 3}, {RepeatEvery: 2}, {TokenDelay: f.randomDuration(time.Second)}, {WrongVersion: "other"},
	}[f.random.IntN(6)])
	f.scheduleUndo("engine breaks", func() { engine.SetFaults(crlfake.EngineFaults{}) })
}

func (f *faultInjector) rebootEngine() {
	f.cluster.engines[crlid.Server(f.randomName(sortedKeys(f.cluster.engines)))].Reboot()
}

func (f *faultInjector) failService() {
	service := f.cluster.services[crlid.Server(f.randomName(sortedKeys(f.cluster.services)))]
	service.SetFaults([]crlfake.ServiceFaults{
		{Refuse: true}, {CloseWithoutRun: true}, {CloseAfterRun: true}, {Delay: f.randomDuration(maxFaultLength)},
	}[f.random.IntN(4)])
	f.scheduleUndo("service fails", func() { service.SetFaults(crlfake.ServiceFaults{}) })
}

func (f *faultInjector) takeDomainOut() {
	section := "domain " + f.randomName(sortedKeys(f.cluster.configuration.Domains))
	f.startEdit(section, "state", "out")
	f.scheduleUndo("order: "+section+" out", func() { f.startEdit(section, "state", "in-service") })
}

func (f *faultInjector) withdrawVersion() {
	section := "version " + f.randomName(sortedKeys(f.cluster.configuration.Versions))
	f.startEdit(section, "state", []string{"withdrawn", "retiring"}[f.random.IntN(2)])
	f.scheduleUndo("order: "+section, func() { f.startEdit(section, "state", "live") })
}

// raceOperators starts two edits of the configuration at the same time, of which one must be refused if both have the same base.
func (f *faultInjector) raceOperators() {
	f.startEdit("organisation "+f.randomName(sortedKeys(f.cluster.configuration.Organisations)), "weight", "3")
	f.startEdit("organisation "+f.randomName(sortedKeys(f.cluster.configuration.Organisations)), "weight", "5")
}

// startEdit starts a goroutine that acts as an operator: it publishes the configuration in force with one key changed. As
// concurrent edits may conflict, it tries up to operatorRetries times.
func (f *faultInjector) startEdit(section, key, value string) {
	f.edits++
	id := fmt.Sprintf("edit-%d", f.edits)
	random := rand.New(rand.NewPCG(uint64(f.edits), f.random.Uint64()))
	f.cluster.running.Go(func() {
		for try := range operatorRetries {
			if f.cluster.editOnce(f.client, f.cluster.daemons[random.IntN(len(f.cluster.daemons))], id+"-"+strconv.Itoa(try), section, key, value) {
				return
			}
			time.Sleep(time.Second)
		}
	})
}

// editOnce publishes the configuration that a daemon has in force with one key changed, and reports whether it was accepted.
func (c *testCluster) editOnce(client *http.Client, d *daemonNode, id, section, key, value string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	accepted, err := d.daemon.Load().Store().Served(ctx)
	if err != nil || accepted.Configuration == nil {
		return false
	}
	file, err := ini.Load(accepted.Content)
	if err != nil {
		return false
	}
	file.Section(section).Key(key).SetValue(value)
	var content bytes.Buffer
	if _, err := file.WriteTo(&content); err != nil {
		return false
	}
	verdict, err := c.apply(ctx, client, d, crlconfig.Publication{ID: id, Base: accepted.Offset, Content: content.Bytes()})
	return err == nil && verdict.Decision == crlconfig.DecisionAccepted
}

// records returns all entries of a stream of the log, in order.
func (c *testCluster) records(stream crlid.Stream) []crljournal.LoggedEntry {
	c.t.Helper()
	page, err := c.platform.Log.Read(context.Background(), crlplatform.ReadRequest{Stream: stream, Limit: maxRecordsRead})
	if err != nil {
		c.t.Fatal(err)
	}
	var entries []crljournal.LoggedEntry
	for _, r := range page.Records {
		decoded, err := crljournal.DecodeRecord(r)
		if err != nil {
			c.t.Fatal(err)
		}
		entries = append(entries, decoded...)
	}
	return entries
}

// bills returns the first bill of each request, which is the one that counts.
func (c *testCluster) bills() []crlbill.Bill {
	c.t.Helper()
	var bills []crlbill.Bill
	seen := make(map[crlid.Request]bool)
	for _, e := range c.records(crlbill.Stream) {
		var b crlbill.Bill
		if e.Kind != crlbill.KindBill {
			continue
		}
		if err := e.Decode(&b); err != nil {
			c.t.Fatal(err)
		}
		if !seen[b.Request] {
			bills = append(bills, b)
		}
		seen[b.Request] = true
	}
	return bills
}

// offsetPollInterval is the interval at which watchOffsets reads the offset of the configuration that each daemon has in force.
const offsetPollInterval = 50 * time.Millisecond

// watchOffsets records when each configuration, identified by its offset, was first in force at any daemon. The map may be read
// after ctx has ended and wait has returned.
func (c *testCluster) watchOffsets(ctx context.Context) (firstInForce map[crlid.Offset]time.Time, wait func()) {
	firstInForce = make(map[crlid.Offset]time.Time)
	var watching sync.WaitGroup
	watching.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(offsetPollInterval) {
			for _, d := range c.daemons {
				offset := d.daemon.Load().Status().Offset
				if _, ok := firstInForce[offset]; !ok {
					firstInForce[offset] = time.Now()
				}
			}
		}
	})
	return firstInForce, watching.Wait
}

// outOfServicePeriods returns the periods in which the configuration allowed no new requests at a failure domain or a version.
//
// A period starts when the first daemon has the configuration in force that takes the domain or version out, since no daemon can
// know of it earlier. It ends with the log record of the configuration that puts it back, even if another configuration followed
// so soon that no poll saw that one in force.
func (c *testCluster) outOfServicePeriods(firstInForce map[crlid.Offset]time.Time) []crlhistory.OutOfServicePeriod {
	c.t.Helper()
	fold := crlconfig.NewFold()
	open := make(map[string]*crlhistory.OutOfServicePeriod)
	var closed []crlhistory.OutOfServicePeriod
	for _, e := range c.records(crlconfig.Stream) {
		fold.Apply(e, e.Time)
		accepted := fold.InForce()
		if accepted.Offset != e.Position.Offset {
			continue
		}
		inForceAt, seen := firstInForce[accepted.Offset]
		for id, d := range accepted.Configuration.Domains {
			if out := d.State == crlconfig.StateOut; seen || !out {
				trackOutOfService(open, &closed, crlhistory.OutOfServicePeriod{Domain: id}, out, inForceAt, e.Time)
			}
		}
		for id, v := range accepted.Configuration.Versions {
			if out := v.State == crlconfig.VersionWithdrawn; seen || !out {
				trackOutOfService(open, &closed, crlhistory.OutOfServicePeriod{Version: id}, out, inForceAt, e.Time)
			}
		}
	}
	for _, p := range open {
		closed = append(closed, *p)
	}
	return closed
}

// trackOutOfService applies one configuration to the periods of a failure domain or version, which p names. If out is true and no
// period is open, it opens p from the time inForceAt; if out is false, it closes the open period at the time appended.
func trackOutOfService(
	open map[string]*crlhistory.OutOfServicePeriod, closed *[]crlhistory.OutOfServicePeriod,
	p crlhistory.OutOfServicePeriod, out bool, inForceAt, appended time.Time,
) {
	key := string(p.Domain) + "/" + string(p.Version)
	current, ok := open[key]
	switch {
	case out && !ok:
		p.From = inForceAt
		open[key] = &p
	case !out && ok:
		current.To = appended
		*closed = append(*closed, *current)
		delete(open, key)
	}
}
