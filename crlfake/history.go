package crlfake

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Run is one piece of work that a backend server really did.
type Run struct {
	Time             time.Time     `json:"time"`
	Server           crlid.Server  `json:"server"`
	Request          crlid.Request `json:"request"`
	Version          crlid.Version `json:"version,omitempty"`
	RequestedVersion crlid.Version `json:"asked,omitempty"` // Asked is the version that the daemon wanted.
	Service          crlid.Service `json:"service,omitempty"`
	Key              string        `json:"key,omitempty"`
	Resumed          bool          `json:"resumed,omitempty"`
	OpenRequests     int           `json:"open"` // Open is the number of requests on the server with this one.
	Cold             bool          `json:"cold"`
	Booted           time.Time     `json:"booted"`   // Booted is when the server booted.
	Rebooted         bool          `json:"rebooted"` // Rebooted is true unless it is the first boot of the run.
	// Overload is true when this request took a cold server above its limit.
	Overload bool       `json:"overload,omitempty"`
	Fence    crlid.Term `json:"fence,omitempty"`
}

// History records what backend servers did, in order.
type History struct {
	mu   sync.Mutex // mu guards runs.
	runs []Run
}

// Add records one run.
func (h *History) Add(run Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	run.Time = time.Now()
	h.runs = append(h.runs, run)
}

// Runs returns a copy of the record.
func (h *History) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}
