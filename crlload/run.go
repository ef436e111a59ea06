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
	Progress   func(Progress) // called once a second during each phase; must not be nil
}

// Progress counts the calls of a run so far.
type Progress struct {
	Phase   string
	Elapsed time.Duration // time since the start of the phase
	Started int64         // calls that were due, skipped ones included
	Ended   int64         // calls that ended, skipped ones included
	Failed  int64         // ended calls whose outcome isn't ok
}

// Report holds the results of one run of an experiment.
type Report struct {
	Experiment string        `json:"experiment"`
	Seed       uint64        `json:"seed"`
	Began      time.Time     `json:"began"`
	Rows       []Row         `json:"rows"`
	Orders     []OrderReport `json:"orders,omitempty"`
	Overloads  int           `json:"cold-overloads"` // requests that exceeded the limit of a cold server
}

// Runner runs an experiment. Run may be called once.
type Runner struct {
	config      RunnerConfig
	caller      *caller
	recorders   map[recorderKey]*recorder
	open        chan struct{} // holds one element for each open arrival; its capacity is MaxOpen
	calls       sync.WaitGroup
	started     atomic.Int64
	ended       atomic.Int64
	failed      atomic.Int64
	targetIndex atomic.Uint64 // rotates over the targets
	began       time.Time
	orders      []OrderReport
}

type recorderKey struct{ phase, flow string }

// NewRunner returns a Runner that sends nothing until Run is called.
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

// Run runs the phases one after the other, waits for all calls to end and returns the results. It fails when ctx ends, an
// order fails or the history can't be fetched.
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

// runPhase starts the calls and sends the orders that are due in a phase. number is the phase's index in the experiment. It
// doesn't wait for calls to end.
func (r *Runner) runPhase(ctx context.Context, number int, phase Phase) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var tasks sync.WaitGroup
	for i, flow := range r.config.Experiment.Flows {
		if !flow.activeIn(phase) {
			continue
		}
		schedule := newArrivals(r.config.Seed, uint64(number*len(r.config.Experiment.Flows)+i), flow.Rate*phase.Factor)
		tasks.Go(func() { r.runFlow(ctx, phase, flow, schedule, start) })
	}
	tasks.Go(func() { r.reportProgress(ctx, phase, start) })
	err := r.runOrders(ctx, phase, start)
	if err != nil {
		cancel()
	}
	tasks.Wait()
	if err != nil {
		return err
	}
	return ctx.Err()
}

// runFlow starts the session of each arrival of a flow when it is due, or counts it as skipped.
func (r *Runner) runFlow(ctx context.Context, phase Phase, flow Flow, schedule *arrivals, start time.Time) {
	recorder := r.recorders[recorderKey{phase: phase.Name, flow: flow.Name}]
	for number := uint64(0); ; number++ {
		at, ok := schedule.next()
		if !ok || at >= phase.Duration || !sleepUntil(ctx, start.Add(at)) {
			return
		}
		r.started.Add(1)
		select {
		case r.open <- struct{}{}:
		default:
			r.count(recorder, result{outcome: outcomeSkipped})
			continue
		}
		r.calls.Go(func() {
			defer func() { <-r.open }()
			// The end of the phase, which cancels ctx, must not cancel its calls.
			r.runSession(context.WithoutCancel(ctx), recorder, flow, number, start.Add(at))
		})
	}
}

// runSession makes the calls of one arrival, one after the other, until one has another outcome than ok. The first call's
// latency counts from due, that of later calls from the end of the pause before them. number is that of the arrival in its
// flow and phase.
func (r *Runner) runSession(ctx context.Context, recorder *recorder, flow Flow, number uint64, due time.Time) {
	targets := r.config.Experiment.Targets
	if len(flow.Targets) > 0 {
		targets = flow.Targets
	}
	session, version := "", ""
	for call := range flow.SessionCalls {
		target := targets[r.targetIndex.Add(1)%uint64(len(targets))]
		callCtx, cancel := context.WithTimeout(ctx, r.config.Experiment.Timeout)
		got := r.caller.call(callCtx, target, flow, session, newBody(flow, number, call), due)
		cancel()
		if got.outcome == outcomeOK && version != "" && got.version != version {
			got.outcome = outcomeVersionChanged
		}
		r.count(recorder, got)
		if got.outcome != outcomeOK || call+1 == flow.SessionCalls {
			return
		}
		session, version = got.session, got.version
		time.Sleep(flow.SessionPause)
		due = time.Now()
		r.started.Add(1)
	}
}

func (r *Runner) count(recorder *recorder, got result) {
	recorder.add(got)
	r.ended.Add(1)
	if got.outcome != outcomeOK {
		r.failed.Add(1)
	}
}

// reportProgress calls Progress once a second until the phase ends.
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
			if f.activeIn(p) {
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

// sleepUntil waits until the given time. It returns false if ctx ends before.
func sleepUntil(ctx context.Context, end time.Time) bool {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
