package crladmission

import (
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Ticket stands for a request that was sent and whose answer has not begun. Only its Controller uses its fields. The zero
// Ticket is ready for use.
type Ticket struct {
	request        Request
	sentAt         crlclock.Instant
	server         crlid.Server // empty until it is known
	service        *service     // nil once the wait has ended, or if the service has no state
	previous, next *Ticket
}

// observation returns what the request shows if its wait ends now.
func (t *Ticket) observation(now crlclock.Instant) observation {
	return observation{at: now, server: t.server, wait: now.Sub(t.sentAt), begin: t.request.Begin, objective: t.request.Objective}
}

// waitList is a list of tickets in the order of their sends. The zero value is empty.
type waitList struct {
	first, last *Ticket
	count       int
}

func (l *waitList) add(t *Ticket) {
	t.previous = l.last
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
	l.count++
}

func (l *waitList) remove(t *Ticket) {
	if t.previous == nil {
		l.first = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		l.last = t.previous
	} else {
		t.next.previous = t.previous
	}
	t.previous, t.next = nil, nil
	l.count--
}
