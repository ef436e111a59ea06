// Package crlsnapshot shares the current configuration and its age with the goroutines that handle requests.
//
// The control loop is the goroutine that owns the daemon's control state. It publishes an immutable Snapshot through a
// Holder. A request loads the snapshot at its entry and again just before each send, because an operator may have
// withdrawn a version while the request waited.
//
// Any goroutine may load snapshots, without a lock; only one may update them.
package crlsnapshot
