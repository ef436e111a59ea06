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

// orderHarness provides simulated queue and permit filters and a simulated backend server around the real claim filter, and
// counts the outcomes of calls.
type orderHarness struct {
	permits   chan struct{}
	mu        sync.Mutex // guards the fields below
	queued    int
	answered  int
	shed      int
	latencies []time.Duration // latency of each answered call
}

const (
	orderPermits     = 4
	orderQueueLimit  = 16
	orderServiceTime = 50 * time.Millisecond
	orderSeconds     = 20
)

// queue refuses the calls that exceed its limit, as the real queue filter does.
func (h *orderHarness) queue(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		h.mu.Lock()
		full := h.queued >= orderQueueLimit
		if full {
			h.shed++
		} else {
			h.queued++
		}
		h.mu.Unlock()
		if full {
			return refuse(CodeOverloaded, "queue is full")
		}
		defer func() {
			h.mu.Lock()
			h.queued--
			h.mu.Unlock()
		}()
		return next(ctx, x)
	}
}

// permit waits for one of a fixed number of permits.
func (h *orderHarness) permit(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		h.permits <- struct{}{}
		defer func() { <-h.permits }()
		return next(ctx, x)
	}
}

// serve simulates the backend server.
func (h *orderHarness) serve(context.Context, *exchange) *Refusal {
	time.Sleep(orderServiceTime)
	return nil
}

// runOrder sends calls at a constant rate through the chain that order returns. It returns the harness with the outcomes
// and the number of appends to the log.
func runOrder(t *testing.T, appendDelay time.Duration, perSecond int, order func(h *orderHarness, s *Service) handler) (harness *orderHarness, appends int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := crlfake.NewLog()
		log.SetFaults(crlfake.LogFaults{Delay: appendDelay})
		loop, incarnation := crlcontrol.NewLoop(), crlid.NewIncarnation()
		w := crljournal.NewWriter(crljournal.WriterConfig{
			Log: log, Stream: crlclaim.Stream, Writer: incarnation, Window: crljournal.WindowForBudget(9, 150), BatchEntries: 512,
			RetryDelay: 200 * time.Millisecond, AppendTimeout: 2 * time.Second,
		})
		registry := crlclaim.NewRegistry(crlclaim.RegistryConfig{
			Loop: loop, Writer: w, Incarnation: incarnation, Lifetime: time.Hour, MaxStaleness: 5 * time.Second,
		})
		tail := crljournal.NewTail(crljournal.TailConfig{
			Log: log, Stream: crlclaim.Stream, PageRecords: 256, Wait: time.Second, ReadTimeout: 3 * time.Second,
			RetryDelay: 200 * time.Millisecond, Deliver: registry.Deliver,
		})
		for _, run := range []func(context.Context) error{loop.Run, w.Run, tail.Run} {
			go func() { _ = run(ctx) }()
		}
		time.Sleep(time.Second)
		harness = &orderHarness{permits: make(chan struct{}, orderPermits)}
		s := &Service{config: ServiceConfig{Claims: registry, Limits: onceLimits}}
		harness.offer(perSecond, order(harness, s))
		appends = log.Appends()
		cancel()
		time.Sleep(5 * time.Second)
	})
	return harness, appends
}

// offer calls the chain at a constant rate, each time with another idempotency key, and waits until all calls have ended.
func (h *orderHarness) offer(perSecond int, call handler) {
	var calls sync.WaitGroup
	for n := range perSecond * orderSeconds {
		calls.Go(func() {
			started := time.Now()
			id := fmt.Sprint(n)
			x := &exchange{call: Call{Request: crlid.Request(id), IdempotencyKey: id}, service: crlconfig.Service{ID: "filing"}}
			if refusal := call(context.Background(), x); refusal != nil {
				return
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.answered++
			h.latencies = append(h.latencies, time.Since(started))
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
}

// TestClaimAfterThePermitLowersThroughput checks why the claim filter precedes the permit: behind it, a call holds its
// permit while the claim is appended. It logs the throughput and latency of each position of the claim, in virtual time.
func TestClaimAfterThePermitLowersThroughput(t *testing.T) {
	orders := []struct {
		name  string
		chain func(h *orderHarness, s *Service) handler
	}{
		{"before the queue", func(h *orderHarness, s *Service) handler { return chain(h.serve, s.claim, h.queue, h.permit) }},
		{"between queue and permit", func(h *orderHarness, s *Service) handler { return chain(h.serve, h.queue, s.claim, h.permit) }},
		{"after the permit", func(h *orderHarness, s *Service) handler { return chain(h.serve, h.queue, h.permit, s.claim) }},
	}
	for _, delay := range []time.Duration{5 * time.Millisecond, 500 * time.Millisecond} {
		for _, perSecond := range []int{10, 120} {
			answered := make([]int, len(orders))
			for i, o := range orders {
				harness, appends := runOrder(t, delay, perSecond, o.chain)
				slices.Sort(harness.latencies)
				answered[i] = harness.answered
				t.Logf("append %s, %d calls/s, claim %s: %.1f answered/s, %d shed, p50 %s, p99 %s, %d appends", delay, perSecond, o.name,
					float64(harness.answered)/orderSeconds, harness.shed, quantile(harness.latencies, 50), quantile(harness.latencies, 99), appends)
			}
			if answered[2] > answered[1] {
				t.Errorf("append %s, %d calls/s: %d calls were answered with the claim after the permit, %d with the claim before it",
					delay, perSecond, answered[2], answered[1])
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
