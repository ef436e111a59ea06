// Package crlsnapshot shares the current configuration, and when it was last confirmed current, with the goroutines that
// handle requests.
//
// The control loop, the one goroutine that owns the daemon's control state, publishes an immutable Snapshot through a
// Holder. The goroutine of a request loads the snapshot when the request arrives and again just before each send, because an
// operator may have withdrawn a version while the request waited.
//
// Any goroutine may load snapshots, without a lock; only the control loop may update them.
package crlsnapshot
