package crlload

import (
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
)

// Experiment is what to send, how often, and what to change on the way.
type Experiment struct {
	Name       string
	Targets    []string // Targets are addresses of daemons or engines, called in turn.
	Seed       uint64
	MaxOpen    int           // MaxOpen bounds the calls that are open at once.
	Timeout    time.Duration // Timeout bounds one call.
	HistoryURL string        // HistoryURL is where the stand-ins tell what ran, empty when unknown.
	Flows      []Flow
	Phases     []Phase
	Orders     []Order
}

// Flow is a stream of like calls of one organisation.
type Flow struct {
	Name               string
	Targets            []string // Targets take the place of the experiment's where there are any.
	Phases             []string // Phases are those in which the flow is sent, all where there are none.
	Key                string   // Key is the caller's secret.
	Class              crlid.Class
	Model              string
	Service            crlid.Service // Service is set for calls of a plain service.
	WithIdempotencyKey bool          // Once gives each call an idempotency key of its own.
	Rate               float64       // Rate is the number of arrivals per second.
	PromptBytes        int
	Tokens             int           // Tokens is the wanted length of an answer, 0 for the engine's own.
	SessionCalls       int           // SessionCalls is the number of calls that each arrival makes in one session.
	SessionPause       time.Duration // SessionPause is the time between two calls of a session.
}

// sentIn reports whether the flow is sent in a phase.
func (f Flow) sentIn(phase Phase) bool {
	return len(f.Phases) == 0 || slices.Contains(f.Phases, phase.Name)
}

// Phase is a part of the experiment with its own rates.
type Phase struct {
	Name     string
	Duration time.Duration
	Factor   float64 // Factor multiplies the rate of each flow.
}

// Order is an HTTP call that changes something at a moment of a phase.
type Order struct {
	Name          string
	Phase         string
	After         time.Duration // After counts from the start of the phase.
	Method        string
	URL           string
	Body          string
	Configuration string         // Configuration is a file to put in force, in place of Body.
	Watch         []crlid.Server // Watch are servers whose last new request after the order is wanted.
}

// Bounds of an experiment whose file names none.
const (
	defaultMaxOpen = 4096
	defaultTimeout = 30 * time.Second
	maxFactor      = 1000
	maxRate        = 100_000
)

// Parse checks an experiment file and returns a *crlini.Error with every problem.
func Parse(name string, content []byte) (*Experiment, error) {
	file, err := crlini.Read(name, content)
	if err != nil {
		return nil, err
	}
	e := &Experiment{MaxOpen: defaultMaxOpen, Timeout: defaultTimeout}
	for _, s := range file.Sections() {
		e.readSection(s)
		s.Finish()
	}
	if len(e.Targets) == 0 || len(e.Flows) == 0 || len(e.Phases) == 0 {
		file.Problemf("targets, a flow and a phase are required")
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Experiment) readSection(s *crlini.Section) {
	switch s.Kind {
	case "experiment":
		e.Name = s.Required("name")
		e.Targets = s.List("targets")
		e.Seed = uint64(s.Int("seed", 1, 0))
		e.MaxOpen = s.Int("max-open", e.MaxOpen, 1)
		e.Timeout = s.Duration("timeout", e.Timeout)
		e.HistoryURL = s.Text("history", "")
	case "flow":
		e.Flows = append(e.Flows, readFlow(s))
	case "phase":
		e.Phases = append(e.Phases, Phase{
			Name: s.ID, Duration: s.Duration("duration", time.Second), Factor: s.Float("factor", 1, 0, maxFactor),
		})
	case "order":
		e.Orders = append(e.Orders, e.readOrder(s))
	default:
		s.Problemf("", "unknown section, allowed are experiment, flow, phase, order")
	}
}

func readFlow(s *crlini.Section) Flow {
	return Flow{
		Name: s.ID, Targets: s.List("targets"), Phases: s.List("phases"), Key: s.Required("key"), Class: crlid.Class(s.Text("class", "")), Model: s.Text("model", "auto"),
		Service: crlid.Service(s.Text("service", "")), WithIdempotencyKey: s.Bool("once", false),
		Rate: s.Float("rate", 1, 0, maxRate), PromptBytes: s.Int("prompt-bytes", 0, 0), Tokens: s.Int("tokens", 0, 0),
		SessionCalls: s.Int("session-calls", 1, 1), SessionPause: s.Duration("session-pause", time.Second),
	}
}

func (e *Experiment) readOrder(s *crlini.Section) Order {
	o := Order{
		Name: s.ID, Phase: s.Required("phase"), After: s.Duration("after", time.Nanosecond),
		Method: s.Text("method", "PUT"), URL: s.Required("url"), Body: s.Text("body", ""),
		Configuration: s.Text("configuration", ""),
	}
	for _, id := range s.List("watch") {
		o.Watch = append(o.Watch, crlid.Server(id))
	}
	for _, p := range e.Phases {
		if p.Name == o.Phase {
			return o
		}
	}
	s.Problemf("phase", "phase %q must stand before the order", o.Phase)
	return o
}
