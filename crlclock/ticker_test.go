package crlclock

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const testPeriod = 100 * time.Millisecond

func hasTick(t *Ticker) bool {
	synctest.Wait()
	select {
	case <-t.C:
		return true
	default:
		return false
	}
}

func TestTickerKeepsItsRateAndDropsTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ticker := NewTicker(testPeriod)
		defer ticker.Stop()
		for i := range 3 {
			<-ticker.C
			if age, want := time.Since(start), time.Duration(i+1)*testPeriod; age != want {
				t.Errorf("tick %d after %v, want %v", i, age, want)
			}
			time.Sleep(testPeriod / 2) // Work between ticks doesn't move the next one.
		}
		time.Sleep(5 * testPeriod)
		if !hasTick(ticker) || hasTick(ticker) {
			t.Error("want one tick for a receiver that was late by several")
		}
		<-ticker.C
		if age := time.Since(start); age%testPeriod != 0 {
			t.Errorf("tick after %v, want a multiple of %v", age, testPeriod)
		}
	})
}

func TestTickerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticker := NewTicker(testPeriod)
		ticker.Stop()
		time.Sleep(3 * testPeriod)
		if hasTick(ticker) {
			t.Error("a tick after Stop")
		}
	})
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), testPeriod)
		defer cancel()
		for _, want := range []time.Duration{testPeriod / 2, testPeriod / 2, 0} {
			start := time.Now()
			Sleep(ctx, max(want, testPeriod/2))
			if age := time.Since(start); age != want {
				t.Errorf("slept %v, want %v", age, want)
			}
		}
		start := time.Now()
		Sleep(t.Context(), -time.Second)
		if age := time.Since(start); age != 0 {
			t.Errorf("slept %v for a negative duration", age)
		}
	})
}

// TestLateTickersSpareTheRaceDetector looks at ticks that are due, while the bubble runs other timers. With time.Ticker the
// race detector of Go 1.26 crashed here.
func TestLateTickersSpareTheRaceDetector(t *testing.T) {
	const (
		goroutines = 16
		rounds     = 500
	)
	synctest.Test(t, func(t *testing.T) {
		var all sync.WaitGroup
		for range goroutines {
			all.Go(func() {
				ticker := NewTicker(testPeriod)
				defer ticker.Stop()
				for range rounds {
					Sleep(t.Context(), 2*testPeriod)
					<-ticker.C
				}
			})
		}
		all.Wait()
	})
}
