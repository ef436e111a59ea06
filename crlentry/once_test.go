package crlentry

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlcontrol"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// onceDaemon is one daemon: a claim registry, its connection to the log and a Service with the claim filter.
type onceDaemon struct {
	service *Service
	flaky   *crlfake.FlakyLog // the connection to the log
	stopped <-chan struct{}
	stop    context.CancelFunc
}

// onceRun is a run of several daemons on one log. It records the replies to the callers and the calls that really ran.
type onceRun struct {
	t          *testing.T
	log        *crlfake.Log
	seed       uint64
	mutate     func(Claimer) Claimer // wraps the Claimer of each daemon, either unchanged or with a fault that the checks must detect
	mu         sync.Mutex            // guards the fields below
	daemons    []*onceDaemon
	started    int
	runs       map[string]int  // executions of each key
	mayHaveRun map[string]bool // keys for which a reply said that the call may have run
	history    []porcupine.Operation
	stuck      []string // keys that can't run although every reply said that no call with them ran
}

// onceInput is one call. id is unique and is also the answer if the call runs.
type onceInput struct{ key, id string }

// onceOutput is the reply to a call.
type onceOutput struct {
	answer string // empty when the call was refused
	notRun bool   // the reply says that the call did not run
}

var onceLimits = Limits{
	Claim: 2 * time.Second, Dispatch: 3 * time.Second, Record: 2 * time.Second, Answer: 2 * time.Second, Attempts: 1,
}

// start starts a daemon whose connection to the log fails, loses replies and delays appends at random.
func (r *onceRun) start() *onceDaemon {
	ctx, stop := context.WithCancel(r.t.Context())
	r.started++
	d := &onceDaemon{stopped: ctx.Done(), stop: stop, flaky: crlfake.NewFlakyLog(crlfake.FlakyLogConfig{
		Log: r.log, Seed: r.seed*1000 + uint64(r.started), Fail: 0.1, LoseReply: 0.1, Late: 0.1,
		MaxDelay: 300 * time.Millisecond, MaxLate: 5 * time.Second,
	})}
	loop, incarnation := crlcontrol.NewLoop(), crlid.NewIncarnation()
	w := crljournal.NewWriter(crljournal.WriterConfig{
		Log: d.flaky, Stream: crlclaim.Stream, Writer: incarnation, Window: 10 * time.Millisecond,
		BatchEntries: 8, RetryDelay: 50 * time.Millisecond, AppendTimeout: 200 * time.Millisecond,
	})
	registry := crlclaim.NewRegistry(crlclaim.RegistryConfig{
		Loop: loop, Writer: w, Incarnation: incarnation, Lifetime: time.Hour, MaxStaleness: 3 * time.Second,
	})
	tail := crljournal.NewTail(crljournal.TailConfig{
		Log: d.flaky, Stream: crlclaim.Stream, PageRecords: 16, Wait: 500 * time.Millisecond,
		ReadTimeout: time.Second, RetryDelay: 50 * time.Millisecond, Deliver: registry.Deliver,
	})
	for _, run := range []func(context.Context) error{loop.Run, w.Run, tail.Run} {
		go func() { _ = run(ctx) }()
	}
	d.service = &Service{config: ServiceConfig{Claims: r.mutate(registry), Limits: onceLimits}}
	return d
}

// call sends one call through the claim filter of a daemon and records the reply. One caller in eight may
// disconnect within 1 s.
func (r *onceRun) call(d *onceDaemon, caller int, input onceInput, random *rand.Rand) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random.IntN(8) == 0 {
		timer := time.AfterFunc(time.Duration(random.IntN(1000))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	x := &exchange{call: Call{Request: crlid.Request(input.id), IdempotencyKey: input.key}, service: crlconfig.Service{ID: "filing"}}
	started := time.Now()
	refusal := d.service.claim(r.backend(d, input, random))(ctx, x)
	output := onceOutput{answer: string(x.answer.Body)}
	if refusal != nil {
		output = onceOutput{notRun: refusal.Ran == RanNotRun}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if refusal != nil && !output.notRun {
		r.mayHaveRun[input.key] = true
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: caller, Input: input, Output: output, Call: started.UnixNano(), Return: time.Now().UnixNano() + 1,
	})
}

// backend returns a handler that simulates the permit and the backend server, with random pauses and failures.
func (r *onceRun) backend(d *onceDaemon, input onceInput, random *rand.Rand) handler {
	return func(_ context.Context, x *exchange) *Refusal {
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond) // some pauses exceed onceLimits.Dispatch, 3 s
		result := random.IntN(10)
		select {
		case <-d.stopped:
			return &Refusal{Code: CodeBackendFailed, Ran: RanUnknown} // the reply of a stopped daemon reaches nobody
		default:
		}
		if result < 2 || !time.Now().Before(x.sendBy) {
			return refuse(CodeNoBackendServer, "no capacity")
		}
		r.mu.Lock()
		r.runs[input.key]++
		r.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		if result < 4 {
			return &Refusal{Code: CodeBackendFailed, Ran: RanUnknown}
		}
		x.answer = crlengine.ServiceAnswer{Status: 200, Body: []byte(input.id)}
		return nil
	}
}

// disturb replaces daemons, cuts them off from the log and stops the log at random times until ctx ends. Each outage ends by
// itself.
func (r *onceRun) disturb(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
		r.mu.Lock()
		i := random.IntN(len(r.daemons))
		switch random.IntN(3) {
		case 0:
			r.daemons[i].stop()
			r.daemons[i] = r.start()
		case 1:
			flaky := r.daemons[i].flaky
			flaky.SetUnreachable(true)
			time.AfterFunc(time.Duration(random.IntN(8000))*time.Millisecond, func() { flaky.SetUnreachable(false) })
		default:
			r.log.SetFaults(crlfake.LogFaults{Outage: true})
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, func() { r.log.SetFaults(crlfake.LogFaults{}) })
		}
		r.mu.Unlock()
	}
}

// randomDaemon returns one of the running daemons.
func (r *onceRun) randomDaemon(random *rand.Rand) *onceDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.daemons[random.IntN(len(r.daemons))]
}

// runOnce runs random calls and faults against five daemons, and afterwards retries the keys that should still be free.
func runOnce(t *testing.T, seed uint64, mutate func(Claimer) Claimer) (run *onceRun) {
	const daemons, callers, calls = 5, 8, 12
	const contended, keys = 4, 40 // half the calls use one of the first contended keys, the others any of the keys
	synctest.Test(t, func(t *testing.T) {
		run = &onceRun{t: t, log: crlfake.NewLog(), seed: seed, mutate: mutate, runs: make(map[string]int), mayHaveRun: make(map[string]bool)}
		for range daemons {
			run.daemons = append(run.daemons, run.start())
		}
		ctx, stopFaults := context.WithCancel(t.Context())
		var disturbing, calling sync.WaitGroup
		disturbing.Go(func() { run.disturb(ctx, rand.New(rand.NewPCG(seed, 1))) })
		for c := range callers {
			calling.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(c)+2))
				for i := range calls {
					time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					key := random.IntN([]int{contended, keys}[random.IntN(2)])
					input := onceInput{key: fmt.Sprintf("key-%d", key), id: fmt.Sprintf("call-%d-%d", c, i)}
					run.call(run.randomDaemon(random), c, input, random)
				}
			})
		}
		calling.Wait()
		stopFaults()
		disturbing.Wait()
		time.Sleep(time.Minute) // until every fault and every delayed append is over
		newest := run.start().service
		time.Sleep(10 * time.Second) // until the daemon has read the log
		run.retry(&onceDaemon{service: newest, stopped: t.Context().Done()}, keys)
	})
	return run
}

// retry calls each key until it runs, unless a reply said that it may have run. Keys that never run are added to stuck.
func (r *onceRun) retry(d *onceDaemon, keys int) {
	const tries = 20
	const lastCaller = 99 // identifies the retries in the history; the callers of runOnce have smaller numbers
	uncertain := maps.Clone(r.mayHaveRun)
	for k := range keys {
		key := fmt.Sprintf("key-%d", k)
		for try := 0; try < tries && !uncertain[key] && r.runs[key] == 0; try++ {
			r.call(d, lastCaller, onceInput{key: key, id: fmt.Sprintf("last-%d-%d", k, try)}, rand.New(rand.NewPCG(r.seed, uint64(try))))
		}
		if !uncertain[key] && r.runs[key] == 0 {
			r.stuck = append(r.stuck, key)
		}
	}
}

// onceModel models each key as a register that is either empty or holds the answer of the only run.
func onceModel() porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[string][]porcupine.Operation)
			for _, o := range history {
				key := o.Input.(onceInput).key
				byKey[key] = append(byKey[key], o)
			}
			var parts [][]porcupine.Operation
			for _, p := range byKey {
				parts = append(parts, p)
			}
			return parts
		},
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			stored, id, reply := state.(string), input.(onceInput).id, output.(onceOutput)
			switch {
			case reply.answer == id && stored == "": // this call ran
				return []any{id}
			case reply.answer != "" && reply.answer != id && reply.answer == stored, reply.notRun: // this call did not run
				return []any{stored}
			case reply.answer == "" && stored == "": // this call may have run
				return []any{"", id}
			case reply.answer == "": // this call did not run, as an earlier one had
				return []any{stored}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}).ToModel()
}

// violations returns a line for each violated guarantee on non-idempotent calls: a key whose call ran twice, replies that
// no sequence of at most one run of each key explains, or a key that can't run although every reply said "not run".
func violations(run *onceRun) []string {
	var found []string
	for key, n := range run.runs {
		if n > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	if !porcupine.CheckOperations(onceModel(), run.history) {
		found = append(found, "no sequence of at most one run of each key explains the replies")
	}
	for _, key := range run.stuck {
		found = append(found, fmt.Sprintf("%s can't run although every reply said that it did not run", key))
	}
	return found
}

func TestClaimedCallsRunOnceAndNotRunIsAccurate(t *testing.T) {
	for seed := range uint64(16) {
		for _, v := range violations(runOnce(t, seed, func(c Claimer) Claimer { return c })) {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}

// stealingClaimer is a faulty Claimer that reports a claim as won while another call holds its key.
type stealingClaimer struct{ Claimer }

func (s stealingClaimer) Claim(ctx context.Context, claim crlclaim.Claim) (crlclaim.Verdict, error) {
	v, err := s.Claimer.Claim(ctx, claim)
	if v.Decision == crlclaim.DecisionLost && v.State.Phase == crlclaim.PhaseClaimed {
		v.Decision = crlclaim.DecisionWon
	}
	return v, err
}

// unreleasingClaimer is a faulty Claimer that reports a release as durable without appending it to the log.
type unreleasingClaimer struct{ Claimer }

func (unreleasingClaimer) Release(context.Context, crlclaim.Release) error { return nil }

// TestOnceCheckDetectsFaultyClaimers checks the checks: violations must detect a fault that is put into the Claimer.
func TestOnceCheckDetectsFaultyClaimers(t *testing.T) {
	for name, mutate := range map[string]func(Claimer) Claimer{
		"stealing":    func(c Claimer) Claimer { return stealingClaimer{c} },
		"unreleasing": func(c Claimer) Claimer { return unreleasingClaimer{c} },
	} {
		caught := false
		for seed := range uint64(4) {
			caught = caught || len(violations(runOnce(t, seed, mutate))) > 0
		}
		if !caught {
			t.Errorf("%s: no run detected the fault", name)
		}
	}
}
