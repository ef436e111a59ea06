package crlfleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpartition"
)

// answerStart is the moment at which a server has read a request's prompt.
type answerStart struct {
	at   crlclock.Instant
	pick *Pick
	wait time.Duration
}

type answerStarts []answerStart

func (a answerStarts) Len() int           { return len(a) }
func (a answerStarts) Less(i, j int) bool { return a[i].at < a[j].at }
func (a answerStarts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answerStarts) Push(x any)        { *a = append(*a, x.(answerStart)) }
func (a *answerStarts) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// mixedLoad is a fleet of daemons that send short and long prompts to servers that read one prompt after the other.
type mixedLoad struct {
	daemons, servers int
	load             float64 // utilisation of the servers
	partitioned      bool
	gone             int // servers that leave halfway
}

const (
	shortPrompt = 0.02 // seconds
	longPrompt  = 0.6
	shortShare  = 0.15 // of the work
	shortLate   = time.Second
)

// play returns the share of short requests that wait for more than shortLate, and the mean wait of long ones.
func (m mixedLoad) play(seed uint64) (late float64, longWait time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	now := crlclock.Instant(time.Hour)
	fleets := make([]*Fleet, m.daemons)
	for d := range fleets {
		fleets[d] = New(Config{
			Domain: "a", Daemons: func() int { return m.daemons }, Random: random.Float64, Now: func() crlclock.Instant { return now },
		})
		for s := range m.servers {
			fleets[d].Announce(Entry{Server: crlid.Server(fmt.Sprint("s", s)), Service: "llm", Address: fmt.Sprint(s), Domain: "a", Slots: 32}, now)
		}
	}
	busyUntil := make(map[crlid.Server]crlclock.Instant)
	var starts answerStarts
	shorts, lates, longs, waits := 0, 0, 0, time.Duration(0)
	begin, end := now, now.Add(30*time.Second)
	shortRate, longRate := m.load*shortShare*float64(m.servers)/shortPrompt, m.load*(1-shortShare)*float64(m.servers)/longPrompt
	for now < end {
		arrival := now.Add(time.Duration(random.ExpFloat64() / (shortRate + longRate) * float64(time.Second)))
		if m.gone > 0 && arrival > begin.Add(15*time.Second) {
			for _, f := range fleets {
				for s := range m.gone {
					f.Remove(crlid.Server(fmt.Sprint("s", s)))
				}
			}
			m.gone = 0
		}
		for len(starts) > 0 && starts[0].at <= arrival {
			start := heap.Pop(&starts).(answerStart)
			now = start.at
			start.pick.RecordFirstByte(start.wait)
			start.pick.Done(Result{Outcome: OutcomeAnswered, FirstByte: start.wait})
		}
		now = arrival
		size := shortPrompt
		if random.Float64() < longRate/(shortRate+longRate) {
			size = longPrompt
		}
		f := fleets[random.IntN(m.daemons)]
		if !m.partitioned {
			f.serviceLoad("llm").partition = crlpartition.Partition{}
		}
		any := func(crlid.Version) bool { return true }
		expected := time.Duration(size * float64(time.Second))
		pick, err := f.Pick(Need{Service: "llm", Allows: any, Prefers: any, Work: size, ExpectedFirstByte: expected})
		if err != nil {
			panic(err)
		}
		at := max(busyUntil[pick.Server], now).Add(expected)
		busyUntil[pick.Server] = at
		wait := at.Sub(now) - expected
		heap.Push(&starts, answerStart{at: at, pick: pick, wait: at.Sub(now)})
		if now < begin.Add(5*time.Second) {
			continue // The daemons know nothing yet.
		}
		if size == longPrompt {
			longs, waits = longs+1, waits+wait
			continue
		}
		if shorts++; wait > shortLate {
			lates++
		}
	}
	return float64(lates) / float64(shorts), waits / time.Duration(longs)
}

// TestLongPromptsDelayFewShortRequests guards against short requests that wait behind long prompts, and against an assignment that helps
// them at the cost of the long ones.
func TestLongPromptsDelayFewShortRequests(t *testing.T) {
	for _, daemons := range []int{6, 83, 295} {
		if testing.Short() && daemons > 6 {
			continue
		}
		for _, gone := range []int{0, 22} {
			t.Run(fmt.Sprintf("%d-daemons/%d-leave", daemons, gone), func(t *testing.T) {
				load := mixedLoad{daemons: daemons, servers: 90, load: 0.6, gone: gone}
				if gone > 0 {
					load.load = 0.45 // 0.6 of what is left
				}
				_, before := load.play(1)
				load.partitioned = true
				late, after := load.play(1)
				if late > 0.05 {
					t.Errorf("%.1f in 100 short requests wait for over a second, want at most 5", 100*late)
				}
				if after > before*5/4 {
					t.Errorf("long prompts wait %s on average, %s without an assignment by size", after, before)
				}
			})
		}
	}
}
