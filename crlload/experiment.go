package crlload

import (
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
)

// Experiment describes the calls to send, their rates, and the changes to make to the system under test meanwhile.
type Experiment struct {
	Name       string
	Targets    []string      // addresses of daemons or engines, called in rotation
	Seed       uint64        // seed of the first run; each further run uses the next number
	MaxOpen    int           // arrivals that may be open at once
	Timeout    time.Duration // per call
	HistoryURL string        // URL of the fake platform's history of runs, empty for none
	Flows      []Flow
	Phases     []Phase
	Orders     []Order
}

// Flow is a series of similar calls of one organisation.
type Flow struct {
	Name               string
	Targets            []string // replace the experiment's targets unless empty
	Phases             []string // phases in which the flow is active, all if empty
	Key                string   // caller's secret key
	Class              crlid.Class
	Model              string
	Service            crlid.Service // plain service to call, empty for chat calls
	WithIdempotencyKey bool          // gives each call an idempotency key of its own
	Rate               float64       // arrivals per second
	PromptBytes        int
	Tokens             int           // max_tokens of each call, 0 for the engine's default
	SessionCalls       int           // calls that each arrival makes in one session, one after the other
	SessionPause       time.Duration // time between two calls of a session
}

// activeIn reports whether the flow sends calls in a phase.
func (f Flow) activeIn(phase Phase) bool {
	return len(f.Phases) == 0 || slices.Contains(f.Phases, phase.Name)
}

// Phase is a part of the experiment with its own rates.
type Phase struct {
	Name     string
	Duration time.Duration
	Factor   float64 // multiplies the rate of each flow
}

// Order is an HTTP call that changes the system under test at a given time of a phase.
type Order struct {
	Name          string
	Phase         string
	After         time.Duration // time from the start of the phase
	Method        string
	URL           string
	Body          string
	Configuration string         // file with a configuration to publish, sent instead of Body
	Watch         []crlid.Server // servers on which to count the new requests after the order
}

// Defaults and upper limits of an experiment's settings.
const (
	defaultMaxOpen = 4096
	defaultTimeout = 30 * time.Second
	maxFactor      = 1000
	maxRate        = 100_000 // arrivals per second
)

// Parse parses and checks an experiment file. name is the file's name in errors. If the file has problems, Parse returns a
// *crlini.Error that lists all of them.
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
		file.Problemf("the experiment needs at least one target, one flow and one phase")
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
		Name: s.ID, Targets: s.List("targets"), Phases: s.List("phases"), Key: s.Required("key"),
		Class: crlid.Class(s.Text("class", "")), Model: s.Text("model", "auto"),
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
	s.Problemf("phase", "section of phase %q must precede the order", o.Phase)
	return o
}
