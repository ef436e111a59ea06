package crlrouter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// codec reads the plain records of the tests: "config" holds a version, "rollout" a target, other keys name domains.
type testCodec struct{}

func (testCodec) DecodeOrder(r crlplatform.KeyedRecord) (Order, error) {
	order := Order{Offset: r.Offset, Withdrawn: r.Deleted}
	switch r.Key {
	case "config":
		var version int64
		if err := json.Unmarshal(r.Value, &version); err != nil {
			return Order{}, fmt.Errorf("decode configuration: %w", err)
		}
		order.Table = crlroute.NewTable(crlroute.TableConfig{Version: version})
	case "rollout":
		order.Rollout = &crlrollout.Order{Service: "s", Target: crlid.Version(r.Value), Over: 20 * time.Second, Offset: r.Offset}
	default:
		order.Evacuated = crlid.Domain(r.Key)
	}
	return order, nil
}

func (testCodec) DecodeServer(r crlplatform.KeyedRecord) (crlfleet.Entry, error) {
	if string(r.Value) == "torn" {
		return crlfleet.Entry{}, errors.New("torn")
	}
	return crlfleet.Entry{Server: crlid.Server(r.Key), Service: "s", Version: crlid.Version(r.Value), Domain: "near"}, nil
}

func (testCodec) DecodeStatus(r crlplatform.KeyedRecord) (crlrollout.Status, bool) {
	state, err := crlrollout.StateString(string(r.Value))
	return crlrollout.Status{Service: "s", Target: "v2", State: state, Offset: r.Offset}, err == nil
}

func (testCodec) EncodeStatus(s crlrollout.Status) (crlplatform.KeyedRecord, error) {
	return crlplatform.KeyedRecord{Key: string(s.Service), Value: []byte(s.State.String())}, nil
}

// dialect reads no headers.
type testDialect struct{}

func (testDialect) DecodeRequest(http.Header) (crlforward.Head, error) {
	return crlforward.Head{Request: "r"}, nil
}

func (testDialect) EncodeAttempt(http.Header, crlforward.Attempt) {}

func (testDialect) DecodeAnswer(int, http.Header) crlforward.AnswerHead {
	return crlforward.AnswerHead{}
}

func (testDialect) RetryAfter(http.Header, time.Duration) {}

// peers carries calls between the routers of a test.
type peerNetwork struct {
	mu      sync.Mutex
	servers map[string]*crlrelay.Server
}

func (p *peerNetwork) Call(ctx context.Context, address string, _ crlpeer.Method, params, result any) error {
	p.mu.Lock()
	server, ok := p.servers[address]
	p.mu.Unlock()
	if !ok {
		return errors.New("no such peer")
	}
	time.Sleep(time.Millisecond)
	news, err := server.Follow(ctx, params.(crlrelay.FollowRequest))
	*result.(*crlrelay.FollowResponse) = news
	return err
}

// routers runs the knowledge of routers on one store, without their listeners.
type cluster struct {
	store   *memoryStore
	network *peerNetwork
	clock   crlclock.Clock
}

func newCluster(store *memoryStore) *cluster {
	return &cluster{store: store, network: &peerNetwork{servers: make(map[string]*crlrelay.Server)}, clock: crlclock.NewMonotonic()}
}

func address(n int) string { return fmt.Sprintf("10.0.0.%d:1", n) }

// start starts router n, of strength n, with another's address as its seed if there is one.
func (r *cluster) start(ctx context.Context, n int, seeds ...string) *Router {
	started := New(Config{
		Settings: &Settings{
			Daemon: crlid.Daemon(address(n)), Domain: "near", Peer: address(n), Seeds: seeds, Strength: n,
			Bounds: Bounds{RetryWindow: 10 * time.Second},
		},
		Store: r.store.storeView(n), Topics: Topics{Orders: "orders", Servers: "servers", Status: "status"}, Codec: testCodec{}, Dialect: testDialect{}, Peers: r.network,
		Logger: crllog.New(crllog.Config{Output: io.Discard}), Clock: r.clock,
		Reload: func() (*Settings, error) { return nil, errors.New("no file") },
	})
	r.network.mu.Lock()
	r.network.servers[address(n)] = crlrelay.NewServer(crlrelay.ServerConfig{
		Self: started.incarnation, Replicas: started.replicas, Roster: started.follower.Roster, Now: r.clock,
	})
	r.network.mu.Unlock()
	for _, task := range started.tasks() {
		go func() { _ = task(ctx) }()
	}
	return started
}

// world runs routers in virtual time until the test ends.
func runCluster(t *testing.T, count int, test func(store *memoryStore, routers []*Router)) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.put("orders", "config", "1")
		ctx, cancel := context.WithCancel(t.Context())
		network := newCluster(store)
		var all []*Router
		for n := range count {
			all = append(all, network.start(ctx, n))
		}
		time.Sleep(5 * time.Second)
		test(store, all)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func tableVersion(r *Router) int64 {
	if table := r.state().Table; table != nil {
		return table.Version()
	}
	return 0
}

func pickServer(r *Router) error {
	all := func(crlid.Version) bool { return true }
	p, err := r.fleet.Pick(crlfleet.Need{Service: "s", Allows: all, Prefers: all})
	if err == nil {
		p.Done(crlfleet.Result{})
	}
	return err
}

// TestConfigurationIsInForceEverywhere bounds the time to a new configuration by the deployments' two seconds.
func TestConfigurationReachesEveryRouter(t *testing.T) {
	runCluster(t, 6, func(store *memoryStore, routers []*Router) {
		for want := int64(2); want < 20; want++ {
			store.put("orders", "config", fmt.Sprint(want))
			time.Sleep(500 * time.Millisecond)
			for i, r := range routers {
				if got := tableVersion(r); got != want {
					t.Errorf("router %d is at %d half a second after %d was accepted", i, got, want)
				}
			}
		}
	})
}

// TestFewReadTheStore bounds the calls to the store: two readers, whatever the number of routers.
func TestStoreReadsDontGrowWithRouters(t *testing.T) {
	reads := func(count int) (n int) {
		runCluster(t, count, func(store *memoryStore, _ []*Router) {
			before := store.readCount()
			time.Sleep(20 * time.Second)
			n = store.readCount() - before
		})
		return n
	}
	few, many := reads(3), reads(30)
	if float64(many) > 1.2*float64(few) {
		t.Errorf("%d reads by 3 routers and %d by 30", few, many)
	}
}

// TestStrongestRead is the pattern of fleets with slow links: a reader on one is late for all that follow it.
func TestStrongestRoutersReadTheStore(t *testing.T) {
	runCluster(t, 6, func(_ *memoryStore, routers []*Router) {
		for i, r := range routers {
			want := i >= len(routers)-crlrelay.ReaderCount
			if r.follower.IsReader() != want {
				t.Errorf("router %d of strength %d reads: %v", i, i, !want)
			}
		}
	})
}

// TestBadConfigurationKeepsTheOneInForce shows records that can't be read, and older versions that come late.
func TestBadConfigurationKeepsTheOneInForce(t *testing.T) {
	runCluster(t, 2, func(store *memoryStore, routers []*Router) {
		store.put("orders", "config", "5")
		store.put("orders", "config", "torn")
		store.put("orders", "config", "4")
		time.Sleep(time.Second)
		for i, r := range routers {
			if got := tableVersion(r); got != 5 {
				t.Errorf("router %d is at %d", i, got)
			}
		}
	})
}

// TestHistoryThatIsGone shows that changes are not missed when the store drops its history meanwhile.
func TestResyncAfterTrimmedHistory(t *testing.T) {
	runCluster(t, 3, func(store *memoryStore, routers []*Router) {
		store.put("servers", "i-1", "v1")
		time.Sleep(2 * time.Second)
		store.setDown(true)
		time.Sleep(time.Second)
		store.put("servers", "i-1", "")
		store.put("servers", "i-2", "v1")
		store.put("orders", "config", "2")
		store.put("orders", "near", "out")
		store.dropHistory("servers")
		store.dropHistory("orders")
		store.setDown(false)
		time.Sleep(2 * time.Second)
		for i, r := range routers {
			if tableVersion(r) != 2 || pickServer(r) == nil {
				t.Errorf("router %d is at %d and picks servers of an evacuated domain: %v", i, tableVersion(r), pickServer(r) == nil)
			}
		}
		store.put("orders", "near", "")
		time.Sleep(3 * time.Second)
		for i, r := range routers {
			if got := fmt.Sprint(r.fleet.Servers()); got != "[i-2]" || pickServer(r) != nil {
				t.Errorf("router %d knows %s, %v", i, got, pickServer(r))
			}
		}
	})
}

// TestServersThatLapseInAnOutage shows the two seconds in which a lapsed entry may come back.
func TestServersThatLapseInAnOutage(t *testing.T) {
	runCluster(t, 3, func(store *memoryStore, routers []*Router) {
		store.put("servers", "i-1", "v1")
		time.Sleep(2 * time.Second)
		store.setDown(true)
		time.Sleep(5 * time.Second)
		store.put("servers", "i-1", "")
		store.setDown(false)
		time.Sleep(time.Second)
		for i, r := range routers {
			if err := pickServer(r); err != nil {
				t.Errorf("router %d gave a server up one second after an outage: %v", i, err)
			}
		}
		time.Sleep(3 * time.Second)
		for i, r := range routers {
			if pickServer(r) == nil {
				t.Errorf("router %d still uses a server four seconds after an outage", i)
			}
		}
	})
}

// TestServerLeavesWhileAReaderIsRefused is the pattern of a store that turns one reader away: those that follow it must
// drop a server that leaves within the two seconds of the deployments (DRAIN, rca-plata scale-2).
func TestServerLeavesWhileAReaderIsRefused(t *testing.T) {
	for _, refused := range []int{4, 5} {
		for after := 100 * time.Millisecond; after < 4*time.Second; after += 300 * time.Millisecond {
			runCluster(t, 6, func(store *memoryStore, routers []*Router) {
				store.put("servers", "i-1", "v1")
				time.Sleep(2 * time.Second)
				store.views[refused].refuse.Store(true)
				time.Sleep(after)
				store.put("servers", "i-1", "")
				time.Sleep(1900 * time.Millisecond)
				for i, r := range routers {
					if pickServer(r) == nil {
						t.Errorf("reader %d refused, server left %s later: router %d still uses it after 1.9 s", refused, after, i)
					}
				}
			})
		}
	}
}

// TestProofStaysFreshWhileOrdersChange is the pattern of orders that come late in a held read: the proof is as old as the
// read then, and may not age through another whole one, or all followers leave their readers (PINNED, mix seed 376105775198).
func TestConfirmationStaysFreshWhileOrdersChange(t *testing.T) {
	runCluster(t, 6, func(store *memoryStore, routers []*Router) {
		for n := range 20 {
			store.put("orders", "config", fmt.Sprint(n+2))
			for range 28 { // 1.4 s: just before a held read ends.
				time.Sleep(50 * time.Millisecond)
				for i, r := range routers {
					limit := ordersLongPoll + 2*crlrelay.FollowWait
					if r.follower.IsReader() {
						limit = ordersLongPoll + 100*time.Millisecond
					}
					if age := r.config.Clock().Sub(r.state().ConfirmedAt); age > limit {
						t.Errorf("router %d, reader %v: proof of orders is %s old, want at most %s", i, r.follower.IsReader(), age, limit)
						return
					}
				}
			}
		}
	})
}

// TestStartWhileTheStoreRefuses is the pattern of a router that starts again while the store turns it away and serves the
// others: its seeds tell it all that it needs.
func TestStartWhileTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.put("orders", "config", "1")
		store.put("servers", "i-1", "v1")
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newCluster(store)
		for n := range 3 {
			fleet.start(ctx, n)
		}
		time.Sleep(5 * time.Second)
		store.storeView(3).refuse.Store(true)
		late := fleet.start(ctx, 3, address(9), address(0)) // The first seed is gone.
		time.Sleep(2 * time.Second)
		if tableVersion(late) != 1 || pickServer(late) != nil {
			t.Errorf("a router refused by the store is at configuration %d, servers: %v", tableVersion(late), pickServer(late))
		}
		if age := fleet.clock().Sub(late.state().ConfirmedAt); age > 3*time.Second {
			t.Errorf("its proof is %s old", age)
		}
		if got := len(late.follower.Roster().Members); got != 3 {
			t.Errorf("it knows %d members, want 3", got)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestStartDuringARollout is the pattern of a router that learns a running roll-out from a seed: it must know that it is
// running when it takes the order, or it begins from the first step.
func TestStartDuringARollout(t *testing.T) {
	for range 20 { // An order that is left to chance shows.
		synctest.Test(t, func(t *testing.T) {
			store := newMemoryStore()
			store.put("orders", "config", "1")
			ctx, cancel := context.WithCancel(t.Context())
			fleet := newCluster(store)
			fleet.start(ctx, 0)
			time.Sleep(5 * time.Second)
			store.put("orders", "rollout", "v2")
			store.put("servers", "i-2", "v2")
			time.Sleep(5 * time.Second)
			store.storeView(1).refuse.Store(true)
			late := fleet.start(ctx, 1, address(0))
			time.Sleep(time.Second)
			now := late.config.Clock()
			// With the state known, two fifths of the 20 s count as passed, so that half is over within three seconds.
			if plan := late.reporter.rollouts.Plan("s", now.Add(3*time.Second), late.fleet.Capacity); plan.PinSessions || plan.Target != "v2" {
				t.Errorf("plan %+v three seconds after the start", plan)
			}
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
}

// TestProofAgesInAnOutage shows what makes routers refuse keyed work: the proof is as old as the outage, not newer.
func TestConfirmationAgesInAnOutage(t *testing.T) {
	runCluster(t, 3, func(store *memoryStore, routers []*Router) {
		store.setDown(true)
		time.Sleep(6 * time.Second)
		for i, r := range routers {
			if age := r.config.Clock().Sub(r.state().ConfirmedAt); age < 5*time.Second {
				t.Errorf("router %d holds a proof of %s six seconds into an outage", i, age)
			}
		}
		store.setDown(false)
		time.Sleep(2 * time.Second)
		for i, r := range routers {
			if age := r.config.Clock().Sub(r.state().ConfirmedAt); age > 3*time.Second {
				t.Errorf("router %d holds a proof of %s two seconds after an outage", i, age)
			}
		}
	})
}

// TestRolloutIsReportedOnce shows six routers that follow a roll-out to its end, and a late write that is refused.
func TestRolloutIsReportedOnce(t *testing.T) {
	runCluster(t, 6, func(store *memoryStore, _ []*Router) {
		store.put("servers", "i-1", "v1")
		store.put("servers", "i-2", "v2")
		at := crlid.Offset(0)
		store.put("orders", "rollout", "v2")
		time.Sleep(20 * time.Second)
		if got := strings.Join(store.values("status"), " "); got != "running completed" {
			t.Errorf("states written: %s", got)
		}
		late := crlplatform.KeyedRecord{Key: "s", Value: []byte("rolled-back")}
		var conflict *crlplatform.Conflict
		if _, err := store.AppendAt(t.Context(), "status", late, at); !errors.As(err, &conflict) {
			t.Errorf("a write that lands late is taken: %v", err)
		}
	})
}

// TestLateWorkIsRefusedWhileDraining is the pattern of machines that are stopped in turn: work that is taken later than
// three seconds after the signal may not be cut, so it is refused before (LOST, tll-roots trouble-2).
func TestLateRequestsAreRefusedWhileDraining(t *testing.T) {
	runCluster(t, 1, func(_ *memoryStore, routers []*Router) {
		r := routers[0]
		r.config.Settings.Bounds.Grace = 8 * time.Second
		ctx, signal := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.drain(ctx, &http.Server{}) }()
		signal()
		answered := func() string {
			recorder := httptest.NewRecorder()
			r.service.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h/none/", nil))
			return strings.TrimSpace(recorder.Body.String())
		}
		time.Sleep(2 * time.Second)
		if got := answered(); got == crlforward.ReasonDraining {
			t.Error("work is refused while the balancer may not have noticed yet")
		}
		time.Sleep(800 * time.Millisecond)
		if got := answered(); got != crlforward.ReasonDraining {
			t.Errorf("work that comes 2.8 s after the signal is taken: %s", got)
		}
		if err := <-done; !errors.Is(err, errDrained) {
			t.Error(err)
		}
	})
}
