package crlconn

import (
	"errors"
	"net"
	"sync"
	"time"
)

// conn is a tracked connection.
type conn struct {
	net.Conn
	tracker    *Tracker
	acceptedAt time.Time
	mu         sync.Mutex // guards the fields below
	begunAt    time.Time  // when the first byte of the open request was read; zero without an open request
	read       int64      // bytes read since the last answer
	written    int64      // bytes written since the last answer
	answers    int        // requests that were answered
	callerLeft bool       // whether a read failed, as it does once the caller has closed the connection
}

// Read reads bytes of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if c.begunAt.IsZero() {
			c.begunAt = time.Now()
		}
		c.read += int64(n)
	}
	if err != nil && !isTimeout(err) {
		c.callerLeft = true
	}
	return n, err
}

// Write writes bytes of an answer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
	return n, err
}

// CloseWrite closes the sending side, as net/http does before it waits for the caller to close an aborted connection.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Close closes the connection, and reports it if its request has no answer.
func (c *conn) Close() error {
	if c.tracker.remove(c) {
		c.reportUnanswered()
	}
	return c.Conn.Close()
}

// reportUnanswered reports the connection if a request has begun and no byte of its answer was written.
func (c *conn) reportUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker.config.OnUnanswered == nil || c.begunAt.IsZero() || c.written > 0 || c.callerLeft {
		return
	}
	c.tracker.config.OnUnanswered(Closed{
		Remote: c.RemoteAddr().String(), Age: time.Since(c.acceptedAt), Waited: time.Since(c.begunAt), ReadBytes: c.read, Answers: c.answers,
	})
}

func (c *conn) stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{Age: time.Since(c.acceptedAt), Answers: c.answers, WrittenBytes: c.written}
}

// recordAnswer records that the answer to the open request was written.
func (c *conn) recordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begunAt, c.read, c.written = time.Time{}, 0, 0
	c.answers++
}

// isTimeout reports whether a read failed because of its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
