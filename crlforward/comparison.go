package crlforward

import (
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlrollout"
)

const (
	// A first byte that comes later than slowFactor times the expected time and slowMargin counts as a failure in a roll-out, also when
	// no other version's answers are there to compare it with.
	slowFactor = 5
	slowMargin = time.Second
	// paceEvents is the number of events after which the pace of a stream is measured, so that a slow stream shows before it ends.
	paceEvents = 8
	// minWaitFactor is the multiple of the expected time to the first byte from which a send without an answer counts as a slow one.
	minWaitFactor = 3
)

// comparison measures the answer of one send for the comparison of versions in a roll-out, and its events for the learned costs of
// requests. Without a roll-out of the service, it does only the latter.
type comparison struct {
	service    *Service
	exchange   *exchange
	pick       *crlfleet.Pick
	class      crlrollout.Class // empty without a roll-out
	slow       bool             // the first byte came late
	events     int              // number of events so far; no longer counted once the pace is measured
	sentAt     time.Time
	firstEvent time.Time
	lastEvent  time.Time
	pace       paceSample
}

// newComparison returns the comparison of a send.
func (s *Service) newComparison(x *exchange, pick *crlfleet.Pick, plan *modelPlan, sentAt time.Time) *comparison {
	c := &comparison{service: s, exchange: x, pick: pick, sentAt: sentAt, pace: s.newPaceSample(x, pick, plan, sentAt)}
	if x.rolloutPlan.Target != "" {
		c.class = crlrollout.Class(strings.Join([]string{string(x.route.Name), string(plan.model())}, " "))
	}
	return c
}

// recordFirstByte records the time from the send to the first byte of the answer.
func (c *comparison) recordFirstByte(firstByte time.Duration) {
	expected := c.pick.ExpectedFirstByte
	c.slow = firstByte > slowFactor*expected+slowMargin
	if expected > 0 {
		c.observe(crlrollout.MeasureFirstByte, float64(firstByte)/float64(expected))
	}
}

// recordWait records the time for which a send that the caller or a deadline ended had waited for its answer. It is a lower bound of the
// time to the first byte, so it counts only if it is long.
func (c *comparison) recordWait(waited time.Duration) {
	if waited > minWaitFactor*c.pick.ExpectedFirstByte {
		c.recordFirstByte(waited)
	}
}

// countEvent records that an event of the stream arrived, or the rest of the stream after its last complete event.
func (c *comparison) countEvent(complete bool) {
	if complete {
		c.pace.countEvent()
	}
	if c.events > paceEvents {
		return
	}
	c.lastEvent = time.Now()
	if c.events == 0 {
		c.firstEvent = c.lastEvent
	}
	if c.events++; c.events == paceEvents {
		c.recordPace()
	}
}

// endStream records the pace of a stream that has ended.
func (c *comparison) endStream() {
	c.recordPace()
	c.pace.end()
}

// recordPace records the mean time between the events so far, once.
func (c *comparison) recordPace() {
	if c.events < 2 || c.events > paceEvents {
		return
	}
	gaps := float64(c.events - 1)
	c.events = paceEvents + 1
	c.observe(crlrollout.MeasurePace, c.lastEvent.Sub(c.firstEvent).Seconds()/gaps)
	c.observe(crlrollout.MeasureDuration, c.lastEvent.Sub(c.sentAt).Seconds())
}

// recordOutcome records whether the send failed. Results that say nothing about the server are left out.
func (c *comparison) recordOutcome(result crlfleet.Result) {
	if result.Outcome == crlfleet.OutcomeNeutral {
		return
	}
	failed := 0.0
	if result.Outcome != crlfleet.OutcomeAnswered || c.slow {
		failed = 1
	}
	c.observe(crlrollout.MeasureFailure, failed)
}

func (c *comparison) observe(measure crlrollout.Measure, value float64) {
	if c.class == "" {
		return
	}
	s, x := c.service, c.exchange
	if s.config.Rollouts.Observe(crlrollout.Observation{
		Service: x.service.Name, Version: c.pick.Version, Group: c.pick.Rank() % crlrollout.ServerGroups, Class: c.class,
		Measure: measure, Value: value,
	}, s.config.Now()) {
		s.logVersionMarkedBad(x, c.pick)
	}
}
