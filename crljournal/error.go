package crljournal

import "errors"

// ErrQueueFull is returned when the queue of a Writer or a Combiner is at its limit; nothing was queued.
var ErrQueueFull = errors.New("journal queue is full")

// ErrClosed is returned for an entry that is submitted after Writer.Shutdown.
var ErrClosed = errors.New("journal writer is closed")

// ErrTooLarge is returned for an entry that exceeds MaxEntryBytes or the size limit of the log.
var ErrTooLarge = errors.New("journal entry is too large")

// ErrNewerFormat is returned for a record whose format was introduced by a newer version of the program.
var ErrNewerFormat = errors.New("record has a newer format")
