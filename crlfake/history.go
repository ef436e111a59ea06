package crlfake

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Run is the record of one request that a backend server really ran.
type Run struct {
	Time             time.Time     `json:"time"`
	Server           crlid.Server  `json:"server"`
	Request          crlid.Request `json:"request"`
	Version          crlid.Version `json:"version,omitempty"`
	RequestedVersion crlid.Version `json:"asked,omitempty"` // version that the daemon requested; differs from Version if the engine is faulty
	Service          crlid.Service `json:"service,omitempty"`
	Key              string        `json:"key,omitempty"`
	Resumed          bool          `json:"resumed,omitempty"`
	OpenRequests     int           `json:"open"` // requests on the server, including this one
	Cold             bool          `json:"cold"`
	Booted           time.Time     `json:"booted"`   // when the server booted last
	Rebooted         bool          `json:"rebooted"` // whether that was not the server's first boot
	// Overload reports whether this request exceeded the limit of a cold server.
	Overload bool       `json:"overload,omitempty"`
	Fence    crlid.Term `json:"fence,omitempty"` // set by no fake
}

// History records the runs of all backend servers in the order in which they started. The zero History is empty and ready
// to use.
type History struct {
	mu   sync.Mutex // guards runs
	runs []Run
}

// Add records a run and sets its Time to now.
func (h *History) Add(run Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.Time = time.Now()
	h.runs = append(h.runs, run)
}

// Runs returns a copy of all runs so far.
func (h *History) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}
