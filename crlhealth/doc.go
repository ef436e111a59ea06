// Package crlhealth detects model versions and backend servers that have started to fail, and limits the share of new
// requests that they get.
//
// A Tracker keeps cumulative counts for each version and request class, and for each backend server: answers, failures, answers
// whose first token came later than the class's limit, and sums of ratings. Daemons exchange their counts. A Message
// holds the running totals of one incarnation (one run of a daemon), so merging it twice, late or out of order has no
// further effect.
//
// Increases of the counts feed sequential change detectors (CUSUM), called tests in this package. Each test compares a
// version with its own baseline and with the present values of its siblings, which are the other versions. On an alarm the
// version is held: it gets no new requests for a while. It then ramps up in stages with growing shares, and must pass the
// same tests in each. A new version ramps up in the same way. A Tracker only gives the share of new requests that a version
// may get; existing sessions stay on their version. A backend server whose own test raises an alarm is put on hold, too:
// it should get no requests while other servers can take them.
//
// The package does no I/O and reads no clock: callers pass the time. A Tracker isn't safe for concurrent use; one
// goroutine must own it.
package crlhealth
