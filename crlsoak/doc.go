// Package crlsoak runs real routers as processes on loopback, injects faults from outside them and checks what they promise.
//
// Faults come from a seed: links through proxies that delay, reset, cut one
// way or go silent; processes that are stopped, paused, killed and started
// again; a store and backend servers that misbehave. Odd seeds have planned
// changes only, so that nothing excuses a request that is cut.
package crlsoak
