package crlqueue

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Ticket is what a request enters with.
type Request struct {
	Organisation crlid.Organisation
	Weight       float64
	Guarantee    int
	Patient      bool
	Idempotent   bool
	Deadline     time.Time // Deadline is zero when the caller gave none.
}

// Refusal tells why a request was not carried.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string { return r.Reason }

// Config configures a Queue.
type Config struct {
	Limit int // Limit is the number of requests carried at once.
}

// Queue admits requests up to its limit.
type Queue struct {
	config Config
	mu     sync.Mutex // mu guards open.
	open   int
}

// New returns an empty queue.
func New(config Config) *Queue { return &Queue{config: config} }

// overloadRetryAfter is when a shed caller should come back.
const overloadRetryAfter = time.Second

// Enter waits for a place and returns the function that gives it back, or a *Refusal.
func (q *Queue) Enter(_ context.Context, _ Request) (leave func(), err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open >= q.config.Limit {
		return nil, &Refusal{Reason: "every place is taken", RetryAfter: overloadRetryAfter}
	}
	q.open++
	return q.leave, nil
}

func (q *Queue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open--
}
