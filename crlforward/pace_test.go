package crlforward

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpace"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// Guards against estimates that don't learn from the answers that are relayed, or that learn from those which say nothing about the length
// of the prompt: continued streams, and services that are no engines.
func TestEventsTeachCosts(t *testing.T) {
	const promptRate, tokenTime = 20_000.0, 4 * time.Millisecond
	for _, c := range []struct {
		name   string
		change func(*exchange)
		learns bool
	}{
		{"new stream", func(*exchange) {}, true},
		{"continued stream", func(x *exchange) { x.stream.lastEvent = 1 }, false},
		{"stream that the caller resumes", func(x *exchange) { x.head.Resumes = true }, false},
		{"no engine", func(x *exchange) { x.service.Slots = 0 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Service{config: Config{Pace: crlpace.New(crlpace.Config{Self: "a", Now: crlclock.NewMonotonic()})}}
				plan := &modelPlan{models: []crlid.Model{"small", "large"}}
				for i := range 60 {
					x := &exchange{service: &crlroute.Service{Name: "engine", Slots: 32, EventTokens: 10}, head: Head{PromptTokens: crlid.Tokens(5000 + 300*i)}}
					c.change(x)
					sample := s.newPaceSample(x, &crlfleet.Pick{Server: "s"}, plan, time.Now())
					time.Sleep(20*time.Millisecond + time.Duration(0.3*float64(x.head.PromptTokens)/promptRate*float64(time.Second)))
					for range 2 + i%10 {
						sample.countEvent()
						time.Sleep(10 * tokenTime)
					}
					sample.countEvent() // the end of the stream, without tokens
					sample.end()
				}
				key := crlpace.Key{Service: "engine", Model: "small"}
				rate, pause := s.config.Pace.PromptRate(key)*0.3, s.config.Pace.Predict(key, "", crlpace.Work{Event: 10}, crlpace.Load{}).Pause
				if learned := math.Abs(rate/promptRate-1) < 0.2; learned != c.learns {
					t.Errorf("prompt rate is %.0f for a time factor of 1 (%.0f at the server), want it learned: %v", rate, promptRate, c.learns)
				}
				if learned := (pause - 10*tokenTime).Abs() < 2*tokenTime; learned != c.learns {
					t.Errorf("pause between events is %v (%v at the server), want it learned: %v", pause, 10*tokenTime, c.learns)
				}
			})
		})
	}
}

// Guards against other estimates than before where nothing was observed, and for services that are no engines.
func TestInitialCosts(t *testing.T) {
	s := &Service{config: Config{Pace: crlpace.New(crlpace.Config{Self: "a", Now: crlclock.NewMonotonic()})}}
	plan := &modelPlan{models: []crlid.Model{"small", "medium", "large"}}
	parts := []Part{{ID: "p", Tokens: 1570}, {ID: "own", Tokens: 1570}}
	for _, c := range []struct {
		name          string
		slots         int
		model         crlid.Model
		plan          *modelPlan
		work, saving  float64
		decode        float64
		firstByteTime time.Duration
	}{
		{"smallest model", 32, "small", plan, 0.006, 0.006, 0.3 * 100 * 0.00005, 46 * time.Millisecond},
		{"largest model", 32, "large", plan, 0.06, 0.06, 3 * 100 * 0.00005, 100 * time.Millisecond},
		{"model that the caller names", 32, "", &modelPlan{}, 0.02, 0.02, 100 * 0.00005, 60 * time.Millisecond},
		{"no engine", 0, "", &modelPlan{}, 0.03, 0.02, 0, 40 * time.Millisecond},
	} {
		x := &exchange{
			service: &crlroute.Service{Name: "engine", Slots: c.slots}, route: &crlroute.Route{Affinity: true},
			head: Head{PromptTokens: 3140, MaxAnswerTokens: 1000, ExpectedAnswerTokens: 100, Parts: parts},
		}
		cost, affinity := s.estimate(x, c.model, c.plan), s.affinity(x, c.model, c.plan)
		if math.Abs(cost.workSeconds-c.work) > 1e-9 || math.Abs(cost.decodeSeconds-c.decode) > 1e-9 || (cost.firstByte-c.firstByteTime).Abs() > time.Microsecond {
			t.Errorf("%s: cost is %+v, want work %v, decode %v and first byte %v", c.name, cost, c.work, c.decode, c.firstByteTime)
		}
		if affinity.Key != "p" || math.Abs(affinity.Saving-c.saving) > 1e-9 {
			t.Errorf("%s: affinity is %+v, want key p and saving %v", c.name, affinity, c.saving)
		}
	}
}
