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

// Bounds of the faults of a run.
const (
	faultGap        = 1500 * time.Millisecond
	maxFaultLength  = 8 * time.Second
	maxDaemonsDown  = 3
	applyTimeout    = 10 * time.Second
	maxRecordsRead  = 1 << 20
	operatorRetries = 3
)

// chaos injects random faults into a world and counts them by kind.
type faultInjector struct {
	cluster    *testCluster
	random     *rand.Rand
	injected   map[string]int
	down       map[*daemonNode]bool // down holds daemons that are paused, dead or stopping.
	undo       []scheduledUndo
	client     *http.Client
	edits      int
	exitErrors []error // ends are the results of daemons that ended.

	mu       sync.Mutex // mu guards timeline.
	timeline []string   // timeline holds each fault and its end with its time, so that a broken promise can be traced.
}

// notef adds a line to the timeline.
func (c *faultInjector) notef(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeline = append(c.timeline, time.Now().Format(timeFormat+" ")+fmt.Sprintf(format, args...))
}

// scheduled is the end of a fault.
type scheduledUndo struct {
	at   time.Time
	undo func()
}

func newFaultInjector(w *testCluster, seed uint64) *faultInjector {
	return &faultInjector{
		cluster: w, random: rand.New(rand.NewPCG(seed, 0)), injected: make(map[string]int),
		down: make(map[*daemonNode]bool), client: w.client("operator"),
	}
}

// run injects faults for a while and then ends all of them.
func (c *faultInjector) run(length time.Duration) {
	defer c.client.CloseIdleConnections()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(c.randomDuration(faultGap)) {
		c.undoDue(time.Now())
		c.inject()
	}
	for len(c.undo) > 0 {
		c.undoDue(time.Now().Add(maxFaultLength))
		time.Sleep(faultGap)
	}
}

func (c *faultInjector) randomDuration(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d))) + 1
}

// later ends a fault after a random time.
func (c *faultInjector) scheduleUndo(what string, undo func()) {
	at := time.Now().Add(c.randomDuration(maxFaultLength))
	c.notef("%s until %s", what, at.Format(timeFormat))
	c.undo = append(c.undo, scheduledUndo{at: at, undo: undo})
}

func (c *faultInjector) undoDue(now time.Time) {
	due := c.undo
	c.undo = nil
	for _, s := range due {
		if s.at.After(now) {
			c.undo = append(c.undo, s)
			continue
		}
		s.undo()
	}
}

func (c *faultInjector) inject() {
	faults := []struct {
		kind string
		run  func()
	}{
		{"log outage", func() { c.logFault(crlfake.LogFaults{Outage: true}) }},
		{"log replies lost", func() { c.logFault(crlfake.LogFaults{LoseReplies: true}) }},
		{"log slow", func() { c.logFault(crlfake.LogFaults{Delay: c.randomDuration(3 * time.Second)}) }},
		{"daemon killed", c.killDaemon},
		{"daemon paused", c.pauseDaemon},
		{"daemon stopped gracefully", c.stopDaemon},
		{"link between daemons cut", c.cutPeers},
		{"link to the platform cut", c.cutPlatform},
		{"link to a server cut", c.cutServer},
		{"engine breaks", c.breakEngine},
		{"engine rebooted", c.rebootEngine},
		{"service fails", c.failService},
		{"domain out", c.takeDomainOut},
		{"version withdrawn", c.withdrawVersion},
		{"operators race", c.raceOperators},
	}
	f := faults[c.random.IntN(len(faults))]
	c.injected[f.kind]++
	f.run()
}

func (c *faultInjector) logFault(faults crlfake.LogFaults) {
	c.cluster.platform.Log.SetFaults(faults)
	c.scheduleUndo(fmt.Sprintf("log %+v", faults), func() { c.cluster.platform.Log.SetFaults(crlfake.LogFaults{}) })
}

// victim returns a daemon that runs, or nil when enough are down.
func (c *faultInjector) pickRunningDaemon() *daemonNode {
	d := c.cluster.daemons[c.random.IntN(len(c.cluster.daemons))]
	if c.down[d] || len(c.down) >= maxDaemonsDown {
		return nil
	}
	return d
}

func (c *faultInjector) killDaemon() {
	if d := c.pickRunningDaemon(); d != nil {
		c.down[d] = true
		c.cluster.killDaemon(d)
		c.scheduleUndo(fmt.Sprintf("down: %s", d.node), func() { c.restart(d) })
	}
}

// restart starts a daemon that ended, or looks again later while it still finishes what is open.
func (c *faultInjector) restart(d *daemonNode) {
	select {
	case err := <-d.ended:
		c.exitErrors = append(c.exitErrors, err)
		c.cluster.startDaemon(d)
		delete(c.down, d)
	default:
		c.scheduleUndo(fmt.Sprintf("down: %s", d.node), func() { c.restart(d) })
	}
}

func (c *faultInjector) pauseDaemon() {
	if d := c.pickRunningDaemon(); d != nil {
		c.down[d] = true
		c.cluster.network.Pause(d.node)
		c.scheduleUndo(fmt.Sprintf("paused: %s", d.node), func() {
			c.cluster.network.Resume(d.node)
			delete(c.down, d)
		})
	}
}

func (c *faultInjector) stopDaemon() {
	if d := c.pickRunningDaemon(); d != nil {
		c.down[d] = true
		d.stop()
		c.scheduleUndo(fmt.Sprintf("down: %s", d.node), func() { c.restart(d) })
	}
}

func (c *faultInjector) cut(a, b crlfake.Node) {
	c.cluster.network.Cut(a, b)
	c.scheduleUndo(fmt.Sprintf("cut: %s and %s", a, b), func() { c.cluster.network.Heal(a, b) })
}

func (c *faultInjector) node() crlfake.Node {
	return c.cluster.daemons[c.random.IntN(len(c.cluster.daemons))].node
}

func (c *faultInjector) cutPeers() {
	if a, b := c.node(), c.node(); a != b {
		c.cut(a, b)
	}
}

func (c *faultInjector) cutPlatform() { c.cut(c.node(), platformNode) }

func (c *faultInjector) cutServer() {
	c.cut(c.node(), crlfake.Node(c.pick(sortedKeys(c.cluster.engines))))
}

func (c *faultInjector) pick(names []string) string { return names[c.random.IntN(len(names))] }

func (c *faultInjector) breakEngine() {
	engine := c.cluster.engines[crlid.Server(c.pick(sortedKeys(c.cluster.engines)))]
	engine.SetFaults([]crlfake.EngineFaults{
		{Fail: true}, {Refuse: true}, {BreakAfter: 3}, {RepeatEvery: 2}, {TokenDelay: c.randomDuration(time.Second)}, {WrongVersion: "other"},
	}[c.random.IntN(6)])
	c.scheduleUndo("engine breaks", func() { engine.SetFaults(crlfake.EngineFaults{}) })
}

func (c *faultInjector) rebootEngine() {
	c.cluster.engines[crlid.Server(c.pick(sortedKeys(c.cluster.engines)))].Reboot()
}

func (c *faultInjector) failService() {
	service := c.cluster.services[crlid.Server(c.pick(sortedKeys(c.cluster.services)))]
	service.SetFaults([]crlfake.ServiceFaults{
		{Refuse: true}, {CloseUnread: true}, {CloseAfterRun: true}, {Delay: c.randomDuration(maxFaultLength)},
	}[c.random.IntN(4)])
	c.scheduleUndo("service fails", func() { service.SetFaults(crlfake.ServiceFaults{}) })
}

func (c *faultInjector) takeDomainOut() {
	section := "domain " + c.pick(sortedKeys(c.cluster.configuration.Domains))
	c.edit(section, "state", "out")
	c.scheduleUndo("order: "+section+" out", func() { c.edit(section, "state", "in-service") })
}

func (c *faultInjector) withdrawVersion() {
	section := "version " + c.pick(sortedKeys(c.cluster.configuration.Versions))
	c.edit(section, "state", []string{"withdrawn", "retiring"}[c.random.IntN(2)])
	c.scheduleUndo("order: "+section, func() { c.edit(section, "state", "live") })
}

func (c *faultInjector) raceOperators() {
	c.edit("organisation "+c.pick(sortedKeys(c.cluster.configuration.Organisations)), "weight", "3")
	c.edit("organisation "+c.pick(sortedKeys(c.cluster.configuration.Organisations)), "weight", "5")
}

// edit starts an operator who changes one key of the configuration in force; operators may race.
func (c *faultInjector) edit(section, key, value string) {
	c.edits++
	id := fmt.Sprintf("edit-%d", c.edits)
	pick := rand.New(rand.NewPCG(uint64(c.edits), c.random.Uint64()))
	c.cluster.running.Go(func() {
		for try := range operatorRetries {
			if c.cluster.editOnce(c.client, c.cluster.daemons[pick.IntN(len(c.cluster.daemons))], id+"-"+strconv.Itoa(try), section, key, value) {
				return
			}
			time.Sleep(time.Second)
		}
	})
}

// editOnce changes one key on top of what a daemon has in force and reports whether it was accepted.
func (w *testCluster) editOnce(client *http.Client, d *daemonNode, id, section, key, value string) bool {
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
	verdict, err := w.apply(ctx, client, d, crlconfig.Publication{ID: id, Base: accepted.Offset, Content: content.Bytes()})
	return err == nil && verdict.Decision == crlconfig.DecisionAccepted
}

// records returns every entry of a stream of the log.
func (w *testCluster) records(stream crlid.Stream) []crljournal.LoggedEntry {
	w.t.Helper()
	page, err := w.platform.Log.Read(context.Background(), crlplatform.ReadRequest{Stream: stream, Limit: maxRecordsRead})
	if err != nil {
		w.t.Fatal(err)
	}
	var entries []crljournal.LoggedEntry
	for _, r := range page.Records {
		placed, err := crljournal.DecodeRecord(r)
		if err != nil {
			w.t.Fatal(err)
		}
		entries = append(entries, placed...)
	}
	return entries
}

// bills returns the first bill of each request.
func (w *testCluster) bills() []crlbill.Bill {
	w.t.Helper()
	var bills []crlbill.Bill
	seen := make(map[crlid.Request]bool)
	for _, e := range w.records(crlbill.Stream) {
		var b crlbill.Bill
		if e.Kind != crlbill.KindBill {
			continue
		}
		if err := e.Decode(&b); err != nil {
			w.t.Fatal(err)
		}
		if !seen[b.Request] {
			bills = append(bills, b)
		}
		seen[b.Request] = true
	}
	return bills
}

// offsetPoll is how often the daemons are asked for the configuration that they serve.
const offsetPoll = 50 * time.Millisecond

// watchOffsets returns a map that holds, once ctx ended and the wait returned, when each offset was first served.
func (w *testCluster) watchOffsets(ctx context.Context) (first map[crlid.Offset]time.Time, wait func()) {
	first = make(map[crlid.Offset]time.Time)
	var watching sync.WaitGroup
	watching.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(offsetPoll) {
			for _, d := range w.daemons {
				offset := d.daemon.Load().Status().Offset
				if _, ok := first[offset]; !ok {
					first[offset] = time.Now()
				}
			}
		}
	})
	return first, watching.Wait
}

// outages returns when accepted configurations allowed no new work where.
//
// A configuration that takes something out counts once a first daemon serves it: before, nobody can have been told of it.
// One that puts it back counts from its record on, also when another followed so soon that no poll saw it served.
func (w *testCluster) outages(first map[crlid.Offset]time.Time) []crlhistory.OutOfServicePeriod {
	w.t.Helper()
	fold := crlconfig.NewFold()
	open := make(map[string]*crlhistory.OutOfServicePeriod)
	var closed []crlhistory.OutOfServicePeriod
	for _, e := range w.records(crlconfig.Stream) {
		fold.Apply(e, e.Time)
		accepted := fold.InForce()
		if accepted.Offset != e.Position.Offset {
			continue
		}
		served, ok := first[accepted.Offset]
		for id, d := range accepted.Configuration.Domains {
			if out := d.State == crlconfig.ServiceOut; ok || !out {
				track(open, &closed, crlhistory.OutOfServicePeriod{Domain: id}, out, served, e.Time)
			}
		}
		for id, v := range accepted.Configuration.Versions {
			if out := v.State == crlconfig.VersionWithdrawn; ok || !out {
				track(open, &closed, crlhistory.OutOfServicePeriod{Version: id}, out, served, e.Time)
			}
		}
	}
	for _, o := range open {
		closed = append(closed, *o)
	}
	return closed
}

func track(open map[string]*crlhistory.OutOfServicePeriod, closed *[]crlhistory.OutOfServicePeriod, o crlhistory.OutOfServicePeriod, out bool, served, appended time.Time) {
	key := string(o.Domain) + "/" + string(o.Version)
	current, ok := open[key]
	switch {
	case out && !ok:
		o.From = served
		open[key] = &o
	case !out && ok:
		current.To = appended
		*closed = append(*closed, *current)
		delete(open, key)
	}
}
