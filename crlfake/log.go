package crlfake

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// LogFaults selects the faults that a Log injects; the zero value selects none.
type LogFaults struct {
	Outage      bool          `json:"outage"`       // fails every call without effect
	LoseReplies bool          `json:"lose-replies"` // appends take effect, but their calls fail
	Delay       time.Duration `json:"delay-ns"`     // time before an append takes effect
	KeepRecords int           `json:"keep-records"` // trims each stream to this number of newest records, 0 for no trimming
}

// Log is a fake log service that keeps its records in memory and can inject faults.
type Log struct {
	mu      sync.Mutex // guards the fields below
	streams map[crlid.Stream]*logStream
	faults  LogFaults
	appends int           // appends that took effect
	changed chan struct{} // closed and replaced at each append
}

type logStream struct {
	first   crlid.Offset // offset of the first retained record
	records []crlplatform.Record
}

// errLogOutage is the cause of calls that fail because the log is unreachable.
var errLogOutage = errors.New("injected fault: the log is unreachable")

// errLogReplyLost is the cause of failed appends that have taken effect or will take effect later.
var errLogReplyLost = errors.New("injected fault: the reply of the append is lost")

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{streams: make(map[crlid.Stream]*logStream), changed: make(chan struct{})}
}

// SetFaults replaces the injected faults and trims the streams accordingly.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	for _, s := range l.streams {
		s.trim(faults.KeepRecords)
	}
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append adds a record to the stream and returns its offset. The log retains payload, which must not change afterwards.
func (l *Log) Append(ctx context.Context, stream crlid.Stream, payload []byte) (crlid.Offset, error) {
	faults := l.currentFaults()
	if faults.Delay > 0 {
		if crlclock.Sleep(ctx, faults.Delay); ctx.Err() != nil {
			// A log service completes the append although its caller disconnected.
			go l.lateAppend(stream, payload)
			return crlid.NoOffset, failedAppend(ctx.Err(), true)
		}
	}
	if faults.Outage {
		return crlid.NoOffset, failedAppend(errLogOutage, false)
	}
	offset := l.add(stream, payload)
	if faults.LoseReplies {
		return crlid.NoOffset, failedAppend(errLogReplyLost, true)
	}
	return offset, nil
}

// Read returns records from the requested offset on. If there are none, it waits for one for at most request.Wait.
func (l *Log) Read(ctx context.Context, request crlplatform.ReadRequest) (crlplatform.Page, error) {
	deadline, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	for {
		page, changed, err := l.page(request)
		if err != nil || len(page.Records) > 0 || request.Wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-deadline.Done():
			if ctx.Err() != nil {
				return crlplatform.Page{}, ctx.Err()
			}
			page, _, err := l.page(request)
			return page, err
		}
	}
}

// lateAppend adds a record whose append was already reported as failed.
func (l *Log) lateAppend(stream crlid.Stream, payload []byte) { l.add(stream, payload) }

func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *Log) add(stream crlid.Stream, payload []byte) crlid.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	offset := s.first + crlid.Offset(len(s.records))
	s.records = append(s.records, crlplatform.Record{Offset: offset, Time: time.Now(), Payload: payload})
	s.trim(l.faults.KeepRecords)
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// page returns the records for a read, and a channel that is closed at the next append.
func (l *Log) page(request crlplatform.ReadRequest) (crlplatform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return crlplatform.Page{}, nil, &crlplatform.Error{Service: "log", Action: "read", Err: errLogOutage}
	}
	s := l.stream(request.Stream)
	page := crlplatform.Page{First: s.first, Head: s.first + crlid.Offset(len(s.records))}
	from := request.From
	if from == crlid.NoOffset {
		from = s.first
	}
	if from < s.first {
		return crlplatform.Page{}, nil, &crlplatform.Error{Service: "log", Action: "read", Status: http.StatusGone, Trimmed: true}
	}
	if from < page.Head {
		records := s.records[from-s.first:]
		page.Records = append([]crlplatform.Record(nil), records[:min(len(records), request.Limit)]...)
	}
	return page, l.changed, nil
}

// stream returns a stream, creating it if needed; the caller holds mu.
func (l *Log) stream(name crlid.Stream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{}
		l.streams[name] = s
	}
	return s
}

// trim drops the oldest records so that at most keep remain, unless keep is 0.
func (s *logStream) trim(keep int) {
	if keep == 0 || len(s.records) <= keep {
		return
	}
	drop := len(s.records) - keep
	s.records = append([]crlplatform.Record(nil), s.records[drop:]...)
	s.first += crlid.Offset(drop)
}

func failedAppend(err error, maybeApplied bool) error {
	return &crlplatform.Error{Service: "log", Action: "append", MaybeApplied: maybeApplied, Err: err}
}
