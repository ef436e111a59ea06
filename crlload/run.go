package crlload

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Experiment *Experiment
	Seed       uint64
	Progress   func(Progress) // Progress is called once a second while the experiment runs.
}

// Progress tells how far a run has come.
type Progress struct {
	Phase   string
	Elapsed time.Duration
	Started int64
	Ended   int64
	Failed  int64
}

// Report is the result of one run.
type Report struct {
	Experiment string        `json:"experiment"`
	Seed       uint64        `json:"seed"`
	Began      time.Time     `json:"began"`
	Rows       []Row         `json:"rows"`
	Orders     []OrderReport `json:"orders,omitempty"`
	Overloads  int           `json:"cold-overloads"` // Overloads counts requests above a cold server's limit.
}

// Runner runs an experiment once.
type Runner struct {
	config      RunnerConfig
	caller      *caller
	recorders   map[recorderKey]*recorder
	open        chan struct{} // open holds a token for each open call.
	calls       sync.WaitGroup
	started     atomic.Int64
	ended       atomic.Int64
	failed      atomic.Int64
	targetIndex atomic.Uint64
	began       time.Time
	orders      []OrderReport
}

type recorderKey struct{ phase, flow string }

// NewRunner returns a runner that sends nothing until Run is called.
func NewRunner(config RunnerConfig) *Runner {
	r := &Runner{
		config: config, caller: newCaller(config.Experiment.MaxOpen),
		recorders: make(map[recorderKey]*recorder), open: make(chan struct{}, config.Experiment.MaxOpen),
	}
	for _, p := range config.Experiment.Phases {
		for _, f := range config.Experiment.Flows {
			r.recorders[recorderKey{phase: p.Name, flow: f.Name}] = newRecorder()
		}
	}
	return r
}

// Run runs every phase and returns once each call has ended, or the error of ctx or of an order.
func (r *Runner) Run(ctx context.Context) (Report, error) {
	defer r.caller.client.CloseIdleConnections()
	r.began = time.Now()
	for number, phase := range r.config.Experiment.Phases {
		if err := r.runPhase(ctx, number, phase); err != nil {
			return Report{}, err
		}
	}
	r.calls.Wait()
	return r.report(ctx)
}

// runPhase starts the calls that are due in a phase and carries out its orders.
func (r *Runner) runPhase(ctx context.Context, number int, phase Phase) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var parts sync.WaitGroup
	for i, flow := range r.config.Experiment.Flows {
		if !flow.sentIn(phase) {
			continue
		}
		source := newArrivals(r.config.Seed, uint64(number*len(r.config.Experiment.Flows)+i), flow.Rate*phase.Factor)
		parts.Go(func() { r.runFlow(ctx, phase, flow, source, start) })
	}
	parts.Go(func() { r.reportProgress(ctx, phase, start) })
	err := r.runOrders(ctx, phase, start)
	if err != nil {
		cancel()
	}
	parts.Wait()
	if err != nil {
		return err
	}
	return ctx.Err()
}

// runFlow starts each arrival of a flow when it is due.
func (r *Runner) runFlow(ctx context.Context, phase Phase, flow Flow, source *arrivals, start time.Time) {
	cell := r.recorders[recorderKey{phase: phase.Name, flow: flow.Name}]
	for number := uint64(0); ; number++ {
		at, ok := source.next()
		if !ok || at >= phase.Duration || !sleepUntil(ctx, start.Add(at)) {
			return
		}
		r.started.Add(1)
		select {
		case r.open <- struct{}{}:
		default:
			r.count(cell, result{outcome: outcomeSkipped})
			continue
		}
		r.calls.Go(func() {
			defer func() { <-r.open }()
			// Calls outlive their phase: none is cut off by the end of it.
			r.runSession(context.WithoutCancel(ctx), cell, flow, number, start.Add(at))
		})
	}
}

// runSession makes the calls of one arrival, one after the other.
func (r *Runner) runSession(ctx context.Context, cell *recorder, flow Flow, number uint64, intended time.Time) {
	targets := r.config.Experiment.Targets
	if len(flow.Targets) > 0 {
		targets = flow.Targets
	}
	session, version := "", ""
	for call := range flow.SessionCalls {
		target := targets[r.targetIndex.Add(1)%uint64(len(targets))]
		callCtx, cancel := context.WithTimeout(ctx, r.config.Experiment.Timeout)
		got := r.caller.call(callCtx, target, flow, session, newBody(flow, number, call), intended)
		cancel()
		if got.outcome == outcomeOK && version != "" && got.version != version {
			got.outcome = outcomeVersionChanged
		}
		r.count(cell, got)
		if got.outcome != outcomeOK || call+1 == flow.SessionCalls {
			return
		}
		session, version = got.session, got.version
		time.Sleep(flow.SessionPause)
		intended = time.Now()
		r.started.Add(1)
	}
}

func (r *Runner) count(cell *recorder, got result) {
	cell.add(got)
	r.ended.Add(1)
	if got.outcome != outcomeOK {
		r.failed.Add(1)
	}
}

// tell reports progress once a second until the phase ends.
func (r *Runner) reportProgress(ctx context.Context, phase Phase, start time.Time) {
	for second := time.Second; second <= phase.Duration; second += time.Second {
		if !sleepUntil(ctx, start.Add(second)) {
			return
		}
		r.config.Progress(Progress{
			Phase: phase.Name, Elapsed: time.Since(start),
			Started: r.started.Load(), Ended: r.ended.Load(), Failed: r.failed.Load(),
		})
	}
}

func (r *Runner) report(ctx context.Context) (Report, error) {
	report := Report{Experiment: r.config.Experiment.Name, Seed: r.config.Seed, Began: r.began, Orders: r.orders}
	for _, p := range r.config.Experiment.Phases {
		for _, f := range r.config.Experiment.Flows {
			if f.sentIn(p) {
				report.Rows = append(report.Rows, r.recorders[recorderKey{phase: p.Name, flow: f.Name}].row(p, f.Name))
			}
		}
	}
	if r.config.Experiment.HistoryURL == "" {
		return report, nil
	}
	runs, err := r.caller.fetchRuns(ctx, r.config.Experiment.HistoryURL)
	if err != nil {
		return report, err
	}
	report.addHistory(runs)
	return report, nil
}

// sleepUntil waits for a moment and reports whether ctx lived until then.
func sleepUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
