// Package crllocality decides how much of a failure domain's work for one service is sent to servers of other failure domains.
//
// A Policy belongs to one service and one daemon. It estimates how much work the domain is given relative to what its servers can
// do, from the waits and the sends of its daemon: a queue that grows by g seconds per second is given 1/(1-g) times as much as its
// servers can do. Because each estimate is paired with the share and the load that were in force when the wait began, late
// information isn't mistaken for the effect of a newer share. Changes that the daemon sees itself, in its own work and in the servers
// that accept requests, apply at once. The share moves towards what the estimate asks for by bounded steps, and each request draws
// at random against it.
//
// A Policy needs no messages. Waits that other daemons report make its estimate more accurate. It does no I/O and isn't safe for
// concurrent use; callers pass the time. Design note 70 weighs the alternatives.
package crllocality
