// Package crlworkload tells each daemon how much work all other daemons have at the backend servers.
//
// A [Table] holds the requests that this daemon has open at each server, and the sums that other daemons sent. It implements
// crlrelay.DeferredExchange: a follower reports the sum of its own load and that of its followers, and its source replies with the sum of
// all load outside of that subtree. Each message states the whole sum, so one that is lost or repeated does no harm, and its size depends
// on the number of servers but not on that of daemons.
//
// Sums age. The weight of a sum decreases when it is not renewed for 1.25 s, and it is dropped after 2.5 s. [Table.Known] returns the number
// of daemons whose load the sums hold, by weight, so that a caller can make an assumption about the others. [Table.Others] also returns
// the mean age of the load, which adds up over the calls on its way.
//
// A Table also sums up the recent work of each service by request size, see [Table.Demand].
//
// A Table is safe for concurrent use. It holds its state in memory only and does no I/O.
package crlworkload
