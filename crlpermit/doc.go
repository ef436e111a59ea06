// Package crlpermit keeps the number of open attempts at each backend server within the server's limit, over all daemons.
//
// An attempt is one try to answer a request at a backend server. Each attempt needs a permit, which the server's home
// grants. The home is the one daemon to which the roster (the agreed list of daemons, see package crlmember) assigns the
// server. Each new roster begins a term and may move servers to other homes. A home may grant permits only during its
// lease, a limited time after its term was last confirmed to be the newest.
//
// A Limiter holds the limit of one server and the permits in use. A Home holds the limiters of one daemon, its lease, and
// its takeovers of servers from earlier homes. A Pool holds the permits that a daemon was granted and whose attempts
// haven't ended. These three do no I/O and read no clock: callers pass the time. They aren't safe for concurrent use. A
// Client is safe for concurrent use: it connects a daemon's Pool to the homes on other daemons and serves calls for the
// daemon's own Home.
//
// A permit counts as used from its grant until its holder, the daemon that got it, returns it, or until no attempt under it
// can still run. A new home grants nothing for a server until each daemon that may hold a permit of an earlier home has
// either reported its permits and refuses older ones from then on, or has ended, or has been unreachable for longer than
// any permit lasts.
package crlpermit
