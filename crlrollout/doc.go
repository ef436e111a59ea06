// Package crlrollout controls the gradual move of a service to a new version.
//
// An Order asks to move a service's requests to a target version within a given
// time. A Tracker computes a Plan for each request of the service: the target's
// share grows in steps, sessions keep their version in the first half of the
// time, and no session that reached the target leaves it again unless the
// target is rolled back. The steps bound the share of all requests that a bad
// target can get before the deadline.
//
// Each daemon has its own Tracker. It compares the answers of both versions
// and stops using a target that fails more often or is slower. Daemons send
// each other what they observed, as Samples in a Report, so that all samples
// meet at one of them. They share the outcome as a Status in the platform's
// store: Due returns the statuses to write, and RecordStatus applies one that
// was read. A daemon that starts during a roll-out must record the status
// before it adds the order, or it starts over at the first step.
//
// A Tracker is safe for concurrent use. It does no I/O and reads no clock:
// callers pass the time.
package crlrollout
