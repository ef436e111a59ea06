package crlrouter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// echoExchange has one message, and returns those of followers.
type echoExchange struct {
	message string
	learned string
	pending bool
}

func (e *echoExchange) Request(bool) json.RawMessage {
	if e.message == "" {
		return nil
	}
	return json.RawMessage(e.message)
}
func (e *echoExchange) Reply(request json.RawMessage) json.RawMessage { return request }
func (e *echoExchange) Pending() bool                                 { return e.pending }
func (e *echoExchange) Learn(reply json.RawMessage)                   { e.learned = string(reply) }

// TestExchangesShareOneMessage guards against exchanges that get each other's messages, or that fail because of one that a router of another
// version sent, or left out.
func TestExchangesShareOneMessage(t *testing.T) {
	for _, c := range []struct {
		name, a, b  string // messages of exchanges
		change      func(message json.RawMessage) json.RawMessage
		wantA       string
		wantB       string
		undecodable int64
		unknown     int64
	}{
		{name: "both", a: "1", b: `"x"`, wantA: "1", wantB: `"x"`},
		{name: "one", b: "2", wantB: "2"},
		{name: "none"},
		{
			name: "unknown name", a: "1", wantA: "1", unknown: 1,
			change: func(json.RawMessage) json.RawMessage { return json.RawMessage(`{"a":1,"later":{}}`) },
		},
		{name: "null", a: "1", change: func(json.RawMessage) json.RawMessage { return json.RawMessage(`{"a":null}`) }},
		{name: "no object", a: "1", undecodable: 1, change: func(json.RawMessage) json.RawMessage { return json.RawMessage(`[1]`) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := &echoExchange{message: c.a}, &echoExchange{message: c.b, pending: true}
			e := newExchanges(crllog.New(crllog.Config{Output: io.Discard}), namedExchange{"a", a}, namedExchange{"b", b})
			message := e.Request(true)
			if c.change != nil {
				message = c.change(message)
			}
			if reply := e.Reply(message); reply != nil {
				e.Learn(reply)
			}
			if a.learned != c.wantA || b.learned != c.wantB || !e.Pending() {
				t.Errorf("learned %q and %q, want %q and %q; pending %v", a.learned, b.learned, c.wantA, c.wantB, e.Pending())
			}
			if e.ignored.undecodable.Load() != c.undecodable || e.ignored.unknown.Load() != c.unknown {
				t.Errorf("ignored %d and %d, want %d and %d", e.ignored.undecodable.Load(), e.ignored.unknown.Load(), c.undecodable, c.unknown)
			}
		})
	}
}

// TestEarlierVersionsUnderstandReports guards against roll-outs whose evidence doesn't add up while routers of two versions run. Those of the earlier
// version exchange bare reports.
func TestEarlierVersionsUnderstandReports(t *testing.T) {
	r := New(Config{
		Settings: &Settings{}, Logger: crllog.New(crllog.Config{Output: io.Discard}), Clock: func() crlclock.Instant { return crlclock.Instant(time.Hour) },
	})
	report, err := json.Marshal(crlrollout.Report{Rollouts: []crlrollout.RolloutReport{{Service: "s", OrderReference: crlrollout.OrderReference{Order: 3}}}})
	if err != nil {
		t.Fatal(err)
	}
	members := r.exchanges.decode(report)
	var rollouts []crlrollout.RolloutReport
	if err := json.Unmarshal(members[exchangeRollouts], &rollouts); err != nil || len(rollouts) != 1 || rollouts[0].Order != 3 {
		t.Errorf("a report of the earlier version: %v, %+v", err, rollouts)
	}
	message := r.exchanges.encode(map[exchangeName]json.RawMessage{exchangeRollouts: members[exchangeRollouts], exchangeLoad: json.RawMessage(`"AA=="`)})
	var earlier crlrollout.Report
	if err := json.Unmarshal(message, &earlier); err != nil || len(earlier.Rollouts) != 1 || earlier.Rollouts[0].Service != "s" {
		t.Errorf("the earlier version reads %s as %+v, %v", message, earlier, err)
	}
}

// configureEngines makes service s one of model engines at all routers.
func configureEngines(routers []*Router) {
	for _, r := range routers {
		current := *r.orders.current.Load()
		current.table = crlroute.NewTable(crlroute.TableConfig{Services: []crlroute.Service{{Name: "s", Slots: 8}}})
		r.orders.current.Store(&current)
	}
}

// engineNeed returns the need of a request to a model engine.
func engineNeed() crlfleet.Need {
	all := func(crlid.Version) bool { return true }
	return crlfleet.Need{Service: "s", Allows: all, Prefers: all, Work: 0.1, Engine: true, Tokens: 1000, MemoryTokens: 100_000}
}

// TestLoadTravelsInExistingCalls guards against exchanges that make routers call each other or the store more often. Only the second reader may call the
// first: every two seconds without load, and at most twice a second with it.
func TestLoadTravelsInExistingCalls(t *testing.T) {
	const length = 20 * time.Second
	measure := func(engines, load bool) (calls, reads int) {
		synctest.Test(t, func(t *testing.T) {
			store := newMemoryStore()
			store.put("orders", "config", "1")
			store.put("servers", "engine", "v1")
			ctx, cancel := context.WithCancel(t.Context())
			c := newCluster(store)
			var routers []*Router
			for n := range 6 {
				routers = append(routers, c.start(ctx, n))
			}
			time.Sleep(20 * time.Second)
			if engines {
				configureEngines(routers)
			}
			if load {
				if _, err := routers[0].fleet.Pick(engineNeed()); err != nil {
					t.Error(err)
				}
			}
			time.Sleep(2 * time.Second)
			callsBefore, readsBefore := int(c.network.calls.Load()), store.readCount()
			time.Sleep(length)
			calls, reads = int(c.network.calls.Load())-callsBefore, store.readCount()-readsBefore
			cancel()
			time.Sleep(10 * time.Second)
		})
		return calls, reads
	}
	calls, reads := measure(false, false)
	for _, test := range []struct {
		name     string
		load     bool
		maxCalls int
	}{{"idle", false, int(length/(2*time.Second)) + 2}, {"loaded", true, int(length/(500*time.Millisecond)) + 2}} {
		gotCalls, gotReads := measure(true, test.load)
		t.Logf("%s: %d calls between routers and %d reads of the store in %s, %d and %d without engines", test.name, gotCalls, gotReads, length, calls, reads)
		if gotCalls > calls+test.maxCalls {
			t.Errorf("%s: %d calls between routers in %s, want at most %d more than the %d without engines", test.name, gotCalls, length, test.maxCalls, calls)
		}
		// Reads vary by 2 in 100 between runs, as readers pause for random times.
		if gotReads > reads+reads/20 {
			t.Errorf("%s: %d reads of the store in %s, want the %d that there are without engines", test.name, gotReads, length, reads)
		}
	}
}

// TestRoutersKnowEachOthersLoad guards against load that doesn't reach the other routers over the calls that they make anyway, among them the
// followers of the other reader. While the store is away, routers change their sources all the time, so that the sums are less exact.
func TestRoutersKnowEachOthersLoad(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %v", down), func(t *testing.T) {
			runCluster(t, 6, func(store *memoryStore, routers []*Router) {
				configureEngines(routers)
				store.put("servers", "engine", "v1")
				time.Sleep(2 * time.Second)
				store.setDown(down)
				var picks []*crlfleet.Pick
				for _, r := range routers {
					p, err := r.fleet.Pick(engineNeed())
					if err != nil {
						t.Fatal(err)
					}
					picks = append(picks, p)
				}
				time.Sleep(4 * time.Second)
				for i, r := range routers {
					others, _ := r.workload.Others("engine", r.config.Clock())
					tolerance := 0.04
					if down {
						tolerance = 0.25
					}
					for _, ratio := range []float64{others.Requests / 5, others.Tokens / 5000, others.PromptSeconds / 0.5} {
						if ratio < 1-tolerance || ratio > 1+tolerance {
							t.Errorf("router %d sees %+v of the others, want 5 requests with 1000 tokens and 0.1 s each", i, others)
						}
					}
				}
				for _, p := range picks {
					p.RecordFirstByte(100 * time.Millisecond)
					p.Done(crlfleet.Result{})
				}
				time.Sleep(8 * time.Second)
				for i, r := range routers {
					if others, _ := r.workload.Others("engine", r.config.Clock()); others.Requests != 0 || r.workload.Drops().Malformed > 0 {
						t.Errorf("router %d sees %+v after all requests have ended", i, others)
					}
				}
			})
		})
	}
}
