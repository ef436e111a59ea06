package main

import (
	"cmp"
	"time"
)

// acknowledged tells when and where the store took a record.
type acknowledged struct {
	at     time.Time
	offset int
}

func now() time.Time { return time.Now() }

// route is a route of a configuration.
type route struct{ prefix, kind, service string }

// config is what differs between the configurations of a case.
type config struct {
	version int
	routes  []route
	keys    map[string][]string // by tenant
	// headerBytes is the limit on headers, 0 for 16,384.
	headerBytes int
}

func (c config) json() string {
	routes, services, tenants := []any{}, []any{}, []any{}
	known := make(map[string]bool)
	for n, r := range c.routes {
		attempts := 3
		if r.kind == "non_idempotent" {
			attempts = 1
		}
		entry := map[string]any{
			"name": "route-" + string(rune('a'+n)), "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": 5000, "sloMs": 500, "priority": 1,
			"service": r.service, "attempts": attempts, "noAuth": false, "sticky": false, "resumable": r.kind == "stream",
		}
		if r.kind == "stream" {
			entry["sizes"], entry["sticky"], entry["gapTargetMs"] = []string{"m0", "m1"}, true, 1000
		}
		routes = append(routes, entry)
		if !known[r.service] {
			known[r.service] = true
			service := map[string]any{
				"name": r.service, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
			}
			if r.kind == "stream" {
				service["engine"] = map[string]any{
					"slots": 128, "kvCapacityTokens": 1116687, "kvBytes": 18432, "linkMbps": 370000.0, "stride": 6, "most": 12,
					"models": []any{map[string]any{"name": "m0", "cost": 0.014}, map[string]any{"name": "m1", "cost": 0.1}},
				}
			}
			services = append(services, service)
		}
	}
	for _, name := range []string{"firm-a", "firm-b"} {
		if keys, ok := c.keys[name]; ok {
			tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys, "priority": 1})
		}
	}
	return toJSON(map[string]any{
		"version": c.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": cmp.Or(c.headerBytes, 16384), "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
