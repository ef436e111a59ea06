// Package crldaemon assembles a daemon from the other packages.
//
// New connects the parts of a Daemon through interfaces to the platform's log, the peers and the backend servers, so that
// tests can run whole daemons on in-process fakes. Serve opens real sockets and runs a daemon until its stop context ends. A
// stop is graceful: the daemon reports itself as draining, finishes every open request and waits until the log has
// acknowledged its pending entries.
//
// Control state (folds of log streams, the roster, permits, health counts) is changed only on the daemon's control loop,
// the one goroutine of a crlcontrol.Loop. Goroutines that handle requests read immutable snapshots of it. Where a comment
// says that a method runs on the control loop, it must be called from a task of that loop and must not block.
//
// A peer is any other daemon. The roster is the agreed list of running daemons, and each new roster begins a term (package
// crlmember). The home of a backend server is the daemon that grants permits for it; each attempt to run a request there needs
// a permit (package crlpermit).
//
// While the log is unreachable, a daemon keeps accepting new requests only as long as peers confirm, by heartbeats or when it
// polls them, that its configuration is current. When the newest confirmation is older than the freshness limit of the
// settings, the daemon refuses new requests.
package crldaemon
