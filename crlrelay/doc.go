// Package crlrelay distributes the records of the platform's store among daemons, so that only a few of them read the
// store.
//
// A [Replica] holds the newest record of each key of one topic and the latest moment at which it was confirmed to be
// complete. The first [ReaderCount] daemons of the [Roster], the readers, feed their replicas from the store. Each other
// daemon runs a [Follower], which copies the replicas of a source by long-polling calls, which a [Server] at the source
// answers. In a small fleet the source is a reader. In a large one most daemons follow one of a few of their failure
// domain, which follow the readers. Any daemon may be a source if these fail. The load on the store is therefore
// independent of the number of daemons, and a daemon that loses only its connection to the store keeps up to date.
//
// When the confirmations that a follower receives grow too old, it moves on to another source, and
// [Follower.ShouldReadStore] tells the daemon to read the store itself until a source is fresh again. Clocks of daemons
// are never compared: messages carry ages, rounded so that a confirmation never looks newer than it is.
//
// Writers of records may be answered late or not at all, and the store may carry out such a write after later ones of its key.
// Where records state a [crlid.Revision], a Replica therefore refuses those that are older than the newest one of their key that
// is known, also after the key was deleted; daemons tell one another what only some of them have read.
//
// An [Exchange] adds messages of another package to these calls.
//
// A Replica, a Server and the exported methods of a Follower may be used by several goroutines; one goroutine calls
// [Follower.Run].
package crlrelay
