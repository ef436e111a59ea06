package crlrouter

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// versionCodec decodes configurations whose version is all that counts.
type versionCodec struct{ testCodec }

func (c versionCodec) DecodeOrder(r crlplatform.KeyedRecord) (Order, error) {
	if r.Key != "config" {
		return c.testCodec.DecodeOrder(r)
	}
	var configuration struct{ Version int64 }
	if err := json.Unmarshal(r.Value, &configuration); err != nil {
		return Order{}, fmt.Errorf("decode configuration: %w", err)
	}
	return Order{Position: r.Position, Table: crlroute.NewTable(crlroute.TableConfig{Version: configuration.Version})}, nil
}

// largeConfiguration returns a configuration with routes like those of present deployments, whose names and paths are random.
func largeConfiguration(version, routes int) string {
	random := rand.New(rand.NewPCG(uint64(version), 1))
	name := func(length int) string {
		b := make([]byte, length)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
		}
		return string(b)
	}
	var list []string
	for range routes {
		list = append(list, fmt.Sprintf(`{"name":"r-%s","host":"site-%d.example","path":"/%s/","kind":"non-idempotent","timeout-ms":1000,`+
			`"objective-ms":150,"priority":1,"service":"s","attempts":3,"public":false,"affinity":false,"resumable":false}`,
			name(7), random.IntN(20), name(8)))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s]}`, version, strings.Join(list, ","))
}

// newLinkedCluster returns a cluster with configuration 1 whose links have the given rates, in bytes per second.
func newLinkedCluster(latency time.Duration, rate func(crlfake.Node) float64) *cluster {
	store := newMemoryStore()
	store.put("orders", "config", `{"version":1}`)
	c := newCluster(store)
	c.codec = versionCodec{}
	c.wire = crlfake.NewNetwork(crlfake.NetworkConfig{Latency: latency, BytesPerSecond: rate})
	return c
}

// TestLargeConfigurationReachesRoutersOnThinLinks guards against a configuration that most routers get too late, because it doesn't fit
// through their links before a call to another router ends, so that they start over again and again. Record inc1 broke CONFIG in this way.
func TestLargeConfigurationReachesRoutersOnThinLinks(t *testing.T) {
	const (
		strong, weak   = 8, 55
		strongLink     = 25_000_000.0     // bytes per second, 200 Mbit/s
		weakLink       = 1_250_000.0      // 10 Mbit/s
		allowed        = 3 * time.Second  // the bound of the deployments with such links
		betweenChanges = 10 * time.Second // time in which calls that were given up leave the links
	)
	for _, routes := range []int{1400, 4200, 15000} {
		if testing.Short() && routes > 1400 {
			continue
		}
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				rates := make(map[crlfake.Node]float64)
				c := newLinkedCluster(time.Millisecond, func(node crlfake.Node) float64 { return rates[node] })
				for n := range weak + strong {
					rates[crlfake.Node(address(n))] = weakLink
					if n >= weak { // A router's number is its strength.
						rates[crlfake.Node(address(n))] = strongLink
					}
				}
				var routers []*Router
				for n := range weak + strong {
					routers = append(routers, c.start(ctx, n))
				}
				time.Sleep(15 * time.Second)
				for _, version := range []int64{2, 3} {
					c.store.put("orders", "config", largeConfiguration(int(version), routes))
					time.Sleep(allowed)
					late := 0
					for _, r := range routers {
						if tableVersion(r) != version {
							late++
						}
					}
					if late > 0 {
						t.Errorf("configuration %d with %d routes: %d of %d routers don't have it after %s", version, routes, late, len(routers), allowed)
					}
					time.Sleep(betweenChanges)
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestReaderOnAThinLinkGetsALargeConfiguration guards against a read of the store that ends, and is made anew, while a large configuration
// is on its way.
func TestReaderOnAThinLinkGetsALargeConfiguration(t *testing.T) {
	const (
		thinLink = 1_250_000.0     // bytes per second, 10 Mbit/s
		allowed  = 4 * time.Second // the configuration takes 2.6 s over the link
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newLinkedCluster(0, func(node crlfake.Node) float64 {
			if node == "store" {
				return 0
			}
			return thinLink
		})
		router := c.start(ctx, 0)
		time.Sleep(5 * time.Second)
		c.store.put("orders", "config", largeConfiguration(2, 15000))
		time.Sleep(allowed)
		if got := tableVersion(router); got != 2 {
			t.Errorf("the router has configuration %d, want 2, %s after it was written", got, allowed)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
