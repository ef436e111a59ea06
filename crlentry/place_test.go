package crlentry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlcontrol"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// placeTrial is a service with a few permits behind a queue that sheds, over a log that takes some time.
type orderHarness struct {
	permits  chan struct{}
	mu       sync.Mutex // mu guards the fields below.
	queued   int
	answered int
	shed     int
	times    []time.Duration
}

const (
	orderPermits     = 4
	orderQueueLimit  = 16
	orderServiceTime = 50 * time.Millisecond
	orderSeconds     = 20
)

// queue sheds what exceeds its bound, as the queue filter does.
func (p *orderHarness) queue(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		p.mu.Lock()
		full := p.queued >= orderQueueLimit
		if full {
			p.shed++
		} else {
			p.queued++
		}
		p.mu.Unlock()
		if full {
			return refuse(CodeOverloaded, "queue is full")
		}
		defer func() {
			p.mu.Lock()
			p.queued--
			p.mu.Unlock()
		}()
		return next(ctx, x)
	}
}

func (p *orderHarness) permit(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		p.permits <- struct{}{}
		defer func() { <-p.permits }()
		return next(ctx, x)
	}
}

func (p *orderHarness) serve(context.Context, *exchange) *Refusal {
	time.Sleep(orderServiceTime)
	return nil
}

// runPlace offers calls at a steady rate to a chain of filters and returns what became of them and the appends they took.
func runOrder(t *testing.T, appendDelay time.Duration, perSecond int, order func(p *orderHarness, s *Service) handler) (trial *orderHarness, appends int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := crlfake.NewLog()
		log.SetFaults(crlfake.LogFaults{Delay: appendDelay})
		loop, incarnation := crlcontrol.NewLoop(), crlid.NewIncarnation()
		w := crljournal.NewWriter(crljournal.WriterConfig{
			Log: log, Stream: crlclaim.Stream, Writer: incarnation, Window: crljournal.Window(9, 150), BatchEntries: 512,
			RetryDelay: 200 * time.Millisecond, AppendTimeout: 2 * time.Second,
		})
		registry := crlclaim.NewRegistry(crlclaim.RegistryConfig{
			Loop: loop, Writer: w, Incarnation: incarnation, Lifetime: time.Hour, Staleness: 5 * time.Second,
		})
		tail := crljournal.NewTail(crljournal.TailConfig{
			Log: log, Stream: crlclaim.Stream, PageRecords: 256, Wait: time.Second, ReadTimeout: 3 * time.Second,
			RetryDelay: 200 * time.Millisecond, Deliver: registry.Deliver,
		})
		for _, run := range []func(context.Context) error{loop.Run, w.Run, tail.Run} {
			go func() { _ = run(ctx) }()
		}
		time.Sleep(time.Second)
		trial = &orderHarness{permits: make(chan struct{}, orderPermits)}
		s := &Service{config: ServiceConfig{Claims: registry, Limits: onceLimits}}
		trial.offer(perSecond, order(trial, s))
		appends = log.Appends()
		cancel()
		time.Sleep(5 * time.Second)
	})
	return trial, appends
}

// offer calls the chain at a steady rate, each time with a key of its own, and waits for the last call.
func (p *orderHarness) offer(perSecond int, call handler) {
	var calls sync.WaitGroup
	for n := range perSecond * orderSeconds {
		calls.Go(func() {
			began := time.Now()
			id := fmt.Sprint(n)
			x := &exchange{call: Call{Request: crlid.Request(id), IdempotencyKey: id}, service: crlconfig.Service{ID: "filing"}}
			if refusal := call(context.Background(), x); refusal != nil {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.answered++
			p.times = append(p.times, time.Since(began))
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
}

// TestClaimAfterThePermitCostsThroughput logs what each place of the claim costs, in virtual time.
func TestClaimAfterThePermitLowersThroughput(t *testing.T) {
	orders := []struct {
		name  string
		chain func(p *orderHarness, s *Service) handler
	}{
		{"before the queue", func(p *orderHarness, s *Service) handler { return chain(p.serve, s.claim, p.queue, p.permit) }},
		{"between queue and permit", func(p *orderHarness, s *Service) handler { return chain(p.serve, p.queue, s.claim, p.permit) }},
		{"after the permit", func(p *orderHarness, s *Service) handler { return chain(p.serve, p.queue, p.permit, s.claim) }},
	}
	for _, delay := range []time.Duration{5 * time.Millisecond, 500 * time.Millisecond} {
		for _, perSecond := range []int{10, 120} {
			answered := make([]int, len(orders))
			for i, o := range orders {
				trial, appends := runOrder(t, delay, perSecond, o.chain)
				slices.Sort(trial.times)
				answered[i] = trial.answered
				t.Logf("append %s, %d calls/s, claim %s: %.1f answered/s, %d shed, p50 %s, p99 %s, %d appends", delay, perSecond, o.name,
					float64(trial.answered)/orderSeconds, trial.shed, quantile(trial.times, 50), quantile(trial.times, 99), appends)
			}
			if answered[2] > answered[1] {
				t.Errorf("append %s, %d calls/s: %d calls answered with the claim after the permit, %d before it", delay, perSecond, answered[2], answered[1])
			}
		}
	}
}

func quantile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond)
}
