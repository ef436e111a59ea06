// Package crlsoak is a soak test of the router: it runs several routers as processes on loopback, injects random faults from
// outside them, and checks the guarantees that callers rely on.
//
// [Run] runs one seed. It starts a store and backend servers (package standin) in this process, routers as child processes
// and callers that send requests all the time. The faults are drawn from the seed: proxies between the processes delay, reset
// or lose data in one or both directions; router processes are stopped, paused, killed and started again; the store and the
// backend servers misbehave. Odd seeds draw planned changes only, such as a graceful stop; then nothing excuses a request that
// is cut off.
//
// In the end, with nothing else disturbed, every second router is cut off from all backend servers; the others must serve its callers.
//
// Afterwards the [Report] lists the violations: what callers received is compared with what the backend servers executed. A
// run in which this process itself stalled can't be judged, since its time stamps are late; Run then returns a [*StallError].
//
// Run kills the processes that it started before it returns.
package crlsoak
