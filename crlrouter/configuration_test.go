package crlrouter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// orderRecord returns a record of the configuration.
func orderRecord(offset crlid.Offset, value string) crlplatform.KeyedRecord {
	return crlplatform.KeyedRecord{Key: "config", Position: crlid.Position{Offset: offset}, Value: []byte(value), Deleted: value == ""}
}

// chainCaller carries the calls of a router to one other.
type chainCaller struct {
	network *peerNetwork
	reaches string
}

// Call fails for every other address.
func (c chainCaller) Call(ctx context.Context, address string, method crlpeer.Method, params, result any) error {
	if address != c.reaches {
		time.Sleep(time.Millisecond)
		return errors.New("no such peer")
	}
	return c.network.Call(ctx, address, method, params, result)
}

// startFollowing starts count routers that don't read the store, each of which follows the one before it. Their topics are loaded and confirmed all the
// time, except that the follower of each has the orders from its source only.
func startFollowing(ctx context.Context, count int) []*Router {
	c := newCluster(newMemoryStore())
	roster := crlrelay.Roster{Generation: 1, Members: []crlrelay.Member{{Address: address(0)}, {Address: "none"}}}
	for n := range count - 1 {
		roster.Members = append(roster.Members, crlrelay.Member{Address: address(n + 1)})
	}
	var routers []*Router
	for n := range count {
		r := New(Config{
			Settings: &Settings{PeerListen: address(n), Bounds: Bounds{RetryWindow: 10 * time.Second}}, Store: c.store.storeView(n), Codec: testCodec{},
			Dialect: testDialect{}, Peers: chainCaller{c.network, address(n - 1)}, Logger: crllog.New(crllog.Config{Output: io.Discard}), Clock: c.clock,
		})
		routers = append(routers, r)
		r.replicas[topicStatus].Replace(nil, crlid.Position{})
		r.replicas[topicServers].Replace(nil, crlid.Position{})
		c.serve(ctx, n, crlrelay.NewServer(crlrelay.ServerConfig{
			Address: address(n), Self: r.incarnation, Replicas: r.replicas, Roster: r.follower.Roster, Now: c.clock, Exchange: r.exchanges,
		}))
		r.follower.UpdateRoster(roster)
		go func() {
			for ctx.Err() == nil {
				for topic, replica := range r.replicas {
					if n == 0 || topic != topicOrders {
						replica.Confirm(c.clock(), 0)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	return routers
}

// TestFollowerTakesTheConfigurationInForce guards against a follower that puts a configuration in force which is older than that of its source: the source
// refused the newer record of an older configuration, but passed on the newest record of the key only. The configuration in force has
// to come through further followers too, and to one that has read the newer record itself.
func TestFollowerTakesTheConfigurationInForce(t *testing.T) {
	for _, test := range []struct {
		name   string
		source []string // records that the source reads one by one; an empty one deletes the configuration
		known  int      // number of these that the followers have read too
		newest bool     // whether the followers have read the newest record from the store, without those before it
		want   int64
	}{
		{"in order", []string{"1", "4", "5"}, 0, false, 5},
		{"an older one follows", []string{"1", "5", "4"}, 0, false, 5},
		{"an older one follows, 1 known", []string{"1", "5", "4"}, 1, false, 5},
		{"an older one follows, 5 known", []string{"1", "5", "4"}, 2, false, 5},
		{"an older one is known", []string{"1", "5", "4"}, 0, true, 5},
		{"an undecodable one follows", []string{"1", "5", "undecodable"}, 1, false, 5},
		{"both follow", []string{"1", "5", "undecodable", "4"}, 1, false, 5},
		{"a deletion follows", []string{"1", "5", ""}, 1, false, 5},
		{"a newer one replaces them", []string{"1", "5", "4", "6"}, 1, false, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				routers := startFollowing(ctx, 3)
				var records []crlplatform.KeyedRecord
				for i, value := range test.source {
					records = append(records, orderRecord(crlid.Offset(i), value))
				}
				end := len(records)
				routers[0].replicas[topicOrders].Replace(nil, crlid.Position{})
				for _, r := range records {
					routers[0].replicas[topicOrders].Apply([]crlplatform.KeyedRecord{r}, r.Position.Next())
				}
				for _, r := range routers[1:] {
					switch {
					case test.newest:
						r.replicas[topicOrders].Replace(records[end-1:], crlid.Position{Offset: crlid.Offset(end)})
					case test.known > 0:
						r.replicas[topicOrders].Replace(records[test.known-1:test.known], crlid.Position{Offset: crlid.Offset(test.known)})
					}
					go func() { _ = r.follower.Run(ctx) }()
				}
				time.Sleep(3 * time.Second)
				for i, r := range routers {
					if got := tableVersion(r); got != test.want {
						t.Errorf("router %d has configuration %d, want %d", i, got, test.want)
					}
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestConfigurationInForceStaysOverSources guards against a router that goes back to an older configuration when it follows a source that has no newer one.
func TestConfigurationInForceStaysOverSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		routers := startFollowing(ctx, 2)
		routers[0].replicas[topicOrders].Replace([]crlplatform.KeyedRecord{orderRecord(3, "4")}, crlid.Position{Offset: 4})
		for i := range 3 {
			routers[1].replicas[topicOrders].Apply([]crlplatform.KeyedRecord{orderRecord(crlid.Offset(i), fmt.Sprint(3+i))}, crlid.Position{Offset: crlid.Offset(i + 1)})
		}
		go func() { _ = routers[1].follower.Run(ctx) }()
		time.Sleep(3 * time.Second)
		if got := tableVersion(routers[1]); got != 5 {
			t.Errorf("the router has configuration %d, want 5", got)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestReaderWithoutTheStoreKeepsTheConfigurationInForce guards against a reader that the store refuses: it follows the other one, which read a newer
// configuration and an older one after it at once. TestBadConfigurationKeepsTheOneInForce failed now and then in this way.
func TestReaderWithoutTheStoreKeepsTheConfigurationInForce(t *testing.T) {
	for refused := range 2 {
		runCluster(t, 2, func(store *memoryStore, routers []*Router) {
			store.views[refused].refuse.Store(true)
			time.Sleep(3 * time.Second)
			store.mu.Lock()
			for _, value := range []string{"5", "undecodable", "4"} {
				store.append("orders", orderRecord(0, value))
			}
			store.mu.Unlock()
			time.Sleep(2 * time.Second)
			for i, r := range routers {
				if got := tableVersion(r); got != 5 {
					t.Errorf("the store refuses router %d: router %d has configuration %d, want 5", refused, i, got)
				}
			}
		})
	}
}
