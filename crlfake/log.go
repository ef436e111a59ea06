package crlfake

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// LogFaults are the switches of a Log.
type LogFaults struct {
	Outage      bool          `json:"outage"`       // Outage fails every call without effect.
	LoseReplies bool          `json:"lose-replies"` // LoseReplies applies appends and fails their calls.
	Delay       time.Duration `json:"delay-ns"`     // Delay holds each append before it takes effect.
	KeepRecords int           `json:"keep-records"` // KeepRecords trims each stream to its newest records, 0 keeps all.
}

// Log is an in-memory log service with faults.
type Log struct {
	mu      sync.Mutex // mu guards the fields below.
	streams map[crlid.Stream]*logStream
	faults  LogFaults
	appends int
	changed chan struct{} // changed is closed and replaced at each append.
}

type logStream struct {
	first   crlid.Offset
	records []crlplatform.Record
}

// errLogOutage is the cause of calls that fail in an outage.
var errLogOutage = errors.New("log is out")

// errLogReplyLost is the cause of appends whose reply is lost.
var errLogReplyLost = errors.New("reply is lost")

// NewLog returns a log without records and faults.
func NewLog() *Log {
	return &Log{streams: make(map[crlid.Stream]*logStream), changed: make(chan struct{})}
}

// SetFaults replaces the switches.
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

// Append adds a record to the stream.
func (l *Log) Append(ctx context.Context, stream crlid.Stream, payload []byte) (crlid.Offset, error) {
	faults := l.currentFaults()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			// The service goes on with a call whose client left.
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

// Read returns records from the wanted offset on and waits for the first new one as asked.
func (l *Log) Read(ctx context.Context, request crlplatform.ReadRequest) (crlplatform.Page, error) {
	deadline := time.After(request.Wait)
	for {
		page, changed, err := l.page(request)
		if err != nil || len(page.Records) > 0 || request.Wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-deadline:
			page, _, err := l.page(request)
			return page, err
		case <-ctx.Done():
			return crlplatform.Page{}, ctx.Err()
		}
	}
}

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

func (l *Log) stream(name crlid.Stream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) trim(keep int) {
	if keep == 0 || len(s.records) <= keep {
		return
	}
	drop := len(s.records) - keep
	s.records = append([]crlplatform.Record(nil), s.records[drop:]...)
	s.first += crlid.Offset(drop)
}

func failedAppend(err error, applied bool) error {
	return &crlplatform.Error{Service: "log", Action: "append", MaybeApplied: applied, Err: err}
}
