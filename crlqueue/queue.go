package crlqueue

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Request describes a request that asks for admission. Enter ignores all fields at present.
type Request struct {
	Organisation crlid.Organisation
	Weight       float64   // configured share of the organisation, relative to the shares of others
	Guarantee    int       // number of concurrent requests of the organisation that are to be admitted whatever others send
	Patient      bool      // the class of the request tolerates waiting
	Idempotent   bool      // running the request twice does no harm
	Deadline     time.Time // zero when the caller set none
}

// Refusal is the error of a request that was not admitted.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration // time after which the caller should retry
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Config configures a Queue.
type Config struct {
	Limit int // greatest number of concurrently admitted requests
}

// Queue admits requests up to a fixed number at a time.
type Queue struct {
	config Config
	mu     sync.Mutex // guards open
	open   int        // admitted requests that have not ended
}

// New returns a Queue without admitted requests.
func New(config Config) *Queue { return &Queue{config: config} }

// overloadRetryAfter is the RetryAfter of a request that is refused because the limit is reached.
const overloadRetryAfter = time.Second

// Enter admits a request or returns a *Refusal if the limit is reached. The caller must call leave exactly once, when the
// request is complete.
func (q *Queue) Enter(_ context.Context, _ Request) (leave func(), err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open >= q.config.Limit {
		return nil, &Refusal{Reason: "the limit on concurrent requests is reached", RetryAfter: overloadRetryAfter}
	}
	q.open++
	return q.leave, nil
}

func (q *Queue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open--
}
