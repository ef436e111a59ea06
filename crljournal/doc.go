// Package crljournal replicates state between daemons by event sourcing on the streams of the platform's log.
//
// A [Writer] groups the entries of many callers into one append and repeats the append until the log acknowledges it. Each
// entry carries the incarnation and the sequence number of its writer, so an append whose reply was lost may be repeated: a
// [Deduplicator] drops entries that the stream already holds. In a large fleet, a [Relay] forwards batches to one of a
// few appenders, daemons whose [Combiner] merges the batches of several writers into one append.
//
// A [Tail] reads a stream in offset order and delivers each [Batch] to the goroutine that owns the folds. A [Fold] is a pure
// function of the entries, so all daemons reach the same state without a vote. A [Replica] is one daemon's copy of a fold; it
// tracks since when it is complete and up to when it is current. A [Checkpointer] writes the state of a fold to the stream
// before the log drops the records from which it was derived.
//
// Writer, Combiner and Relay are safe for concurrent use. Replica and Deduplicator are not: one goroutine owns them. Entries
// that the log has not acknowledged when the process stops are lost. After an outage of the log, Writer and Tail resume where
// they stopped. A Replica that missed records reports the loss through [Replica.CompleteSince].
//
// The package does not depend on the daemon and may be used on its own.
package crljournal
