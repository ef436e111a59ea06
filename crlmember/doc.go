// Package crlmember detects which daemons are running and agrees on the roster, the list of daemons that share the work.
//
// A [Table] holds the last known state of every other daemon: alive, suspected or gone. [Gossip] updates it, in the manner
// of the SWIM protocol: in each period a daemon sends a heartbeat to one peer, and heartbeats carry a bounded digest of
// updates, so the cost per daemon does not grow with the fleet.
//
// A [Roster] is the agreed list. Rosters are records of the log's stream [Stream], which a [Fold] applies in offset
// order: the offset of the record is the roster's term and serves as a fencing number. Each backend server has a home, the
// daemon that grants permits for it; [Roster.Home] derives it by rendezvous hash. A [Proposer] decides when a change in the
// table has lasted long enough for a new roster, and a [Registrar] appends it.
//
// In an outage of the log, a home may go on granting only while every member of the roster has promised, for a lease, to
// append no other roster.
//
// Table, Fold and Proposer are state machines without I/O that take the time as an argument; they are not safe for
// concurrent use. Gossip and Registrar connect them to peers and to the log, and call them on a [Loop].
package crlmember
