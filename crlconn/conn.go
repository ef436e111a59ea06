package crlconn

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a tracked connection. It is quiet while the server waits in Read for the first byte of a request.
//
// To close a quiet connection, closeIfQuiet interrupts the Read by a deadline in the past. The Read then decides under the lock that
// it holds: it closes the connection, or resumes if a request has arrived after all.
type conn struct {
	net.Conn
	tracker    *Tracker
	acceptedAt time.Time
	reading    sync.Mutex // held during each Read; locked before mu
	mu         sync.Mutex // guards the fields below
	waiting    bool       // whether a Read is in progress
	serving    bool       // whether a handler runs or its answer is being written
	begunAt    time.Time  // when the first byte of the open request was read; zero without an open request
	read       int64      // bytes read since the last answer
	written    int64      // bytes written since the last answer
	answers    int        // requests that were answered
	readFailed bool       // whether a read failed, as it does once the caller has closed the connection

	writeDeadline time.Time // write deadline that the server set
	stalled       bool      // whether a write failed because the caller doesn't read

	readDeadline time.Time // read deadline that the server set
	interrupted  bool      // whether interruptDeadline is in force instead of readDeadline
}

// interruptDeadline is a time in the past. As the read deadline it ends a Read that waits.
var interruptDeadline = time.Unix(1, 0)

// Read reads bytes of a request. It fails with net.ErrClosed if the connection is closed meanwhile because it is quiet.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.setWaiting(true)
	defer c.setWaiting(false)
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !isTimeout(err) || !c.isInterrupted() {
			c.recordRead(n, err)
			return n, err
		}
		if c.closeOrResume() {
			return 0, net.ErrClosed
		}
	}
}

func (c *conn) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
}

func (c *conn) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
}

// recordRead records the result of a read.
func (c *conn) recordRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if c.begunAt.IsZero() {
			c.begunAt = time.Now()
		}
		c.read += int64(n)
	}
	if err != nil && !isTimeout(err) {
		c.readFailed = true
	}
}

// SetReadDeadline sets the read deadline, which takes effect after an interrupt by closeIfQuiet.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the read and the write deadline.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// closeIfQuiet closes the connection if it is quiet, and reports whether it has.
func (c *conn) closeIfQuiet() (closed bool) {
	if !c.interruptIfQuiet() {
		return false
	}
	c.reading.Lock() // Waits for the interrupted Read.
	defer c.reading.Unlock()
	return c.closeOrResume()
}

// interruptIfQuiet interrupts the Read of a connection that is quiet, and reports whether it was.
func (c *conn) interruptIfQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.serving || !c.begunAt.IsZero() {
		return false
	}
	c.interrupted = true
	// The error of a closed connection needs no handling, as its Read has ended.
	_ = c.Conn.SetReadDeadline(interruptDeadline)
	return true
}

func (c *conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// closeOrResume ends an interrupt: it closes the connection and returns true, unless bytes of a request were read or wait in the
// kernel. c.reading must be held.
func (c *conn) closeOrResume() (closed bool) {
	c.mu.Lock()
	if !c.begunAt.IsZero() || hasUnread(c.Conn) {
		c.resume()
		c.mu.Unlock()
		return false
	}
	c.mu.Unlock()
	// The error of a connection that the server has closed meanwhile says nothing new.
	_ = c.Close()
	return true
}

// resume puts the server's read deadline back in force. c.mu must be held.
func (c *conn) resume() {
	if c.interrupted {
		c.interrupted = false
		// If the deadline can't be set, the connection is closed and its next Read fails.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// hasUnread reports whether bytes that have arrived on a connection wait in the kernel to be read. It returns false if that can't
// be known.
func hasUnread(c net.Conn) (unread bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// ErrStalled is the error of a write to a caller that doesn't read.
var ErrStalled = errors.New("write to the caller made no progress")

// Write writes bytes of an answer. It takes as long as the caller goes on reading, and fails with ErrStalled if nothing could be written for
// Config.StallTimeout.
func (c *conn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return 0, ErrStalled
	}
	progressAt := time.Now()
	for written := 0; ; {
		if err := c.extendWriteDeadline(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		c.recordWritten(n)
		if err == nil || !isTimeout(err) || !c.stallEnds() {
			return written, err
		}
		if n > 0 {
			progressAt = time.Now()
		} else if time.Since(progressAt) >= c.tracker.config.StallTimeout {
			return written, c.abortStalled()
		}
	}
}

// stallSteps is the number of writes into which the time of a stall is divided. A write doesn't tell when it made progress, so that a
// stall is found up to one part later.
const stallSteps = 5

// extendWriteDeadline gives the next write a part of the time of a stall, or the time until the deadline that the server set.
func (c *conn) extendWriteDeadline() error {
	timeout := c.tracker.config.StallTimeout
	if timeout == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(timeout / stallSteps)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// stallEnds reports whether a write that timed out did so because of the time of a stall, not of the deadline that the server set.
func (c *conn) stallEnds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.config.StallTimeout > 0 && (c.writeDeadline.IsZero() || c.writeDeadline.After(time.Now()))
}

func (c *conn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

func (c *conn) recordWritten(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
}

// abortStalled marks the connection stalled and reports it. What the kernel holds for the caller is dropped with a reset when the connection is
// closed.
func (c *conn) abortStalled() error {
	c.mu.Lock()
	c.stalled = true
	report := Stalled{Remote: c.RemoteAddr().String(), Age: time.Since(c.acceptedAt), WrittenBytes: c.written}
	c.mu.Unlock()
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// Without it, the kernel would keep the rest of the answer for the caller for minutes.
		_ = socket.SetLinger(0)
	}
	if c.tracker.config.OnStalled != nil {
		c.tracker.config.OnStalled(report)
	}
	return ErrStalled
}

// SetWriteDeadline sets the write deadline.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// CloseWrite closes the sending side, as net/http does before it waits for the caller to close an aborted connection.
func (c *conn) CloseWrite() error {
	if c.isStalled() {
		return c.Conn.Close() // A half-closed connection would still wait for the caller to read.
	}
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
	if c.tracker.config.OnUnanswered == nil || c.begunAt.IsZero() || c.written > 0 || c.readFailed {
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
	c.serving = false
	c.begunAt, c.read, c.written = time.Time{}, 0, 0
	c.answers++
}

// isTimeout reports whether a read failed because of its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
