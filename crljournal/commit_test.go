package crljournal_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// TestAppendsStayWithinBudget checks that all writers together make no more appends per second than the budget. It also logs the
// commit latencies, in virtual time, with a log that takes 5 ms per append.
func TestAppendsStayWithinBudget(t *testing.T) {
	const budget, seconds = 300, 2
	for _, c := range []struct{ writers, perSecond, domains int }{{9, 45, 0}, {9, 900, 0}, {360, 5400, 0}, {360, 5400, 5}} {
		latencies, appends := measureCommits(t, c.writers, c.perSecond, c.domains, budget, seconds)
		slices.Sort(latencies)
		t.Logf("%d writers, %d domains of appenders, %d entries/s, %d appends/s: p50 %s, p99 %s",
			c.writers, c.domains, len(latencies)/seconds, appends/seconds,
			latencies[len(latencies)/2], latencies[len(latencies)*99/100])
		if appends > budget*seconds+c.writers {
			t.Errorf("%d writers made %d appends in %d s, want at most %d per second", c.writers, appends, seconds, budget)
		}
	}
}

// measureCommits runs writers for a number of seconds of virtual time. It returns the latency of every entry and the number of
// appends.
func measureCommits(t *testing.T, writers, perSecond, domains, budget, seconds int) (latencies []time.Duration, appends int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := crlfake.NewLog()
		log.SetFaults(crlfake.LogFaults{Delay: 5 * time.Millisecond})
		cluster := newTestCluster(ctx, log, writers, domains, budget)
		results := make(chan time.Duration, 2*perSecond*seconds)
		for i := range writers {
			w := newWriter(cluster.appenderFor(i, log))
			w.SetWindow(cluster.window(writers, budget))
			go func() { _ = w.Run(ctx) }()
			go produce(ctx, w, i, time.Duration(writers)*time.Second/time.Duration(perSecond), results)
		}
		time.Sleep(time.Duration(seconds) * time.Second)
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
		close(results)
		for l := range results {
			latencies = append(latencies, l)
		}
		appends = log.Appends()
	})
	return latencies, appends
}

// produce submits an entry each period. For each entry it sends to results the time from its submission to its acknowledgement.
func produce(ctx context.Context, w *crljournal.Writer, number int, period time.Duration, results chan<- time.Duration) {
	const starts = 97 // number of moments, spread evenly over a period, at which writers start
	time.Sleep(period * time.Duration(number%starts) / starts)
	for ctx.Err() == nil {
		start := time.Now()
		ticket, err := w.Submit(testKind, number)
		if err != nil {
			return
		}
		go func() {
			if ticket.Wait(ctx) == nil {
				results <- time.Since(start)
			}
		}()
		time.Sleep(period)
	}
}

// BenchmarkReplica measures the CPU time to apply one entry.
func BenchmarkReplica(b *testing.B) {
	replica, _ := newReplica()
	body, _ := marshal(1)
	offset := 0
	for b.Loop() {
		entry := crljournal.LoggedEntry{Entry: crljournal.Entry{Writer: "w", Sequence: uint64(offset + 1), Kind: testKind, Body: body}}
		entry.Position.Offset = 0
		replica.Fold(crljournal.Batch{Entries: []crljournal.LoggedEntry{entry}})
		offset++
	}
}
