// Package crlcontrol runs the one goroutine that owns a daemon's control state,
// such as folds (state computed from the records of the log), the roster (the
// list of daemons that share the work), registries of permits, and the state of
// servers and versions.
//
// Control state is changed only by tasks of a Loop, which runs them one at a
// time, so the state needs no locks. Goroutines that handle requests read
// immutable snapshots instead, and submit short tasks with Post or Do. A task
// must not do I/O and must not block, as it would delay all others. After Run
// has returned, no task runs any more, and Do returns ErrEnded.
package crlcontrol
