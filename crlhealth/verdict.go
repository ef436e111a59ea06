package crlhealth

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Conditions under which the failures of a version are attributed to one of its servers.
const (
	minServerFailureShare     = 0.7 // least share of the version's failures on one server for them to be attributed to that server
	minOtherFailures          = 2   // number of failures on the other servers below which they are no evidence against the version
	minOtherAnswersPerFailure = 4   // least number of answers per failure on the other servers, checked once they have minOtherFailures
)

// version returns the state of a version, which it creates if there is none.
func (tr *Tracker) version(id crlid.Version, now time.Time) *version {
	v, ok := tr.versions[id]
	if !ok {
		v = &version{
			verdict: Verdict{Version: id}, ratings: make(map[crlid.Class]*ratingTest),
			servers: make(map[crlid.Server]bool), decayedAt: now,
		}
		v.recent = map[*rateTest]*rates{&v.failures: {}, &v.slow: {}}
		tr.versions[id] = v
	}
	return v
}

// applyCounts feeds an increase of a version's counts to its tests.
func (tr *Tracker) applyCounts(key countKey, d Totals, now time.Time) {
	v, ok := tr.versions[key.version]
	if !ok {
		return
	}
	v.stageAnswers += d.Answers
	v.decay(now)
	v.feed(&v.failures, rates{answers: float64(d.Answers), bad: float64(d.Failures)}, tr.siblingRate(key.version, failuresOf))
	v.feed(&v.slow, rates{answers: float64(d.Answers - d.Failures), bad: float64(d.Slow)}, tr.siblingRate(key.version, slowOf))
	if d.Ratings > 0 {
		v.ratingTest(key.class).add(
			moments{count: float64(d.Ratings), sum: d.RatingSum, squares: d.RatingSquares}, tr.siblingRatings(key),
		)
	}
	tr.holdIfAlarmed(v, now)
}

// addBaseline adds the first totals received from an incarnation to the baselines of the version's tests.
func (tr *Tracker) addBaseline(key countKey, t Totals) {
	v, ok := tr.versions[key.version]
	if !ok {
		return
	}
	v.failures.baseline.add(rates{answers: float64(t.Answers), bad: float64(t.Failures)})
	v.slow.baseline.add(rates{answers: float64(t.Answers - t.Failures), bad: float64(t.Slow)})
	v.ratingTest(key.class).baseline.add(moments{count: float64(t.Ratings), sum: t.RatingSum, squares: t.RatingSquares})
}

// ratingTest returns the test for ratings in a class, which it creates if there is none.
func (v *version) ratingTest(class crlid.Class) *ratingTest {
	t, ok := v.ratings[class]
	if !ok {
		t = &ratingTest{}
		v.ratings[class] = t
	}
	return t
}

// feed applies new counts to one of the version's rate tests and to that test's recent input.
func (v *version) feed(t *rateTest, o rates, reference float64) {
	if o.answers == 0 && o.bad == 0 {
		return
	}
	t.add(o, reference)
	v.recent[t].add(o)
}

// decay lowers the recent input of the rate tests by the time that passed since the last call.
func (v *version) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(v.decayedAt).Seconds() / recentHalfLifeSeconds)
	for _, r := range v.recent {
		r.scale(min(1, factor))
	}
	v.decayedAt = now
}

func failuresOf(v *version) *rates { return v.recent[&v.failures] }
func slowOf(v *version) *rates     { return v.recent[&v.slow] }

// siblingRate returns the recent share of bad answers, over all other versions at StageFull.
func (tr *Tracker) siblingRate(id crlid.Version, of func(*version) *rates) float64 {
	var sum rates
	for other, v := range tr.versions {
		if other != id && v.verdict.Stage == StageFull {
			sum.add(*of(v))
		}
	}
	return sum.rate(recentPriorAnswers)
}

// siblingRatings returns the rating baseline of another version of the same model in the class: the one with the most
// ratings, nil if there is none.
func (tr *Tracker) siblingRatings(key countKey) (baseline *moments) {
	if tr.configuration == nil {
		return nil
	}
	model := tr.configuration.Versions[key.version].Model
	for other, v := range tr.versions {
		t := v.ratings[key.class]
		if other == key.version || t == nil || tr.configuration.Versions[other].Model != model {
			continue
		}
		if baseline == nil || t.baseline.count > baseline.count {
			baseline = &t.baseline
		}
	}
	return baseline
}

// holdIfAlarmed moves a version to StageHeld if one of its tests raises an alarm, unless the failure test is among them and
// the failures are attributed to a single server.
func (tr *Tracker) holdIfAlarmed(v *version, now time.Time) {
	if v.verdict.Stage == StageHeld || !v.alarmed() {
		return
	}
	if v.exceeds(v.failures.score, rateAlarmThreshold) && tr.isServerFault(v) {
		return
	}
	if v.verdict.Stage == StageFull && now.UnixNano()-v.verdict.UpdatedNanos > int64(alarmResetTime) {
		v.verdict.Alarms = 0
	}
	v.verdict.Alarms++
	tr.setStage(v, StageHeld, now)
	// The failures on the version's servers are attributed to the version, not to the servers.
	for id := range v.servers {
		tr.resetServer(id)
	}
}

// exceeds reports whether a score reaches the threshold or, while the version isn't at StageFull, rampUpAlarmThreshold, which
// is lower.
func (v *version) exceeds(score, threshold float64) bool {
	if v.verdict.Stage != StageFull {
		threshold = rampUpAlarmThreshold
	}
	return score >= threshold
}

func (v *version) alarmed() bool {
	if v.exceeds(v.failures.score, rateAlarmThreshold) || v.exceeds(v.slow.score, rateAlarmThreshold) {
		return true
	}
	for _, t := range v.ratings {
		if v.exceeds(t.score, ratingAlarmThreshold) {
			return true
		}
	}
	return false
}

// isServerFault reports whether most of the version's failures are on one of its servers and few on the others. It is
// false for a version with a single server.
func (tr *Tracker) isServerFault(v *version) bool {
	if len(v.servers) < 2 {
		return false
	}
	for id := range v.servers {
		t := tr.servers[id]
		if t == nil || t.sinceReset.bad < minServerFailureShare*v.failures.sinceReset.bad {
			continue
		}
		rest := rates{answers: v.failures.sinceReset.answers - t.sinceReset.answers, bad: v.failures.sinceReset.bad - t.sinceReset.bad}
		if rest.bad < minOtherFailures || rest.answers >= minOtherAnswersPerFailure*rest.bad {
			return true
		}
	}
	return false
}

// resetServer ends the hold of a server and resets its test.
func (tr *Tracker) resetServer(id crlid.Server) {
	delete(tr.suspectUntil, id)
	if t := tr.servers[id]; t != nil {
		t.clear()
	}
}

// setStage moves a version to a stage and resets its tests.
func (tr *Tracker) setStage(v *version, stage Stage, now time.Time) {
	v.verdict.Stage = stage
	v.verdict.UpdatedNanos = max(now.UnixNano(), v.verdict.UpdatedNanos+1)
	v.resetTests()
}

func (v *version) resetTests() {
	v.stageAnswers = 0
	v.failures.clear()
	v.slow.clear()
	for _, t := range v.ratings {
		t.clear()
	}
}

// mergeVerdict replaces this daemon's verdict by a peer's if the peer's was updated later, unless that would end a hold
// before its time.
func (tr *Tracker) mergeVerdict(verdict Verdict) {
	v, ok := tr.versions[verdict.Version]
	if !ok || verdict.UpdatedNanos <= v.verdict.UpdatedNanos {
		return
	}
	endsHold := v.verdict.Stage == StageHeld && verdict.Stage != StageHeld
	if endsHold && verdict.UpdatedNanos-v.verdict.UpdatedNanos < int64(v.verdict.holdDuration()) {
		// The peer advanced the version before it received the alarm. The hold remains in force, and a later update time
		// makes it win at the peer too.
		v.verdict.UpdatedNanos = verdict.UpdatedNanos + 1
		return
	}
	changed := v.verdict.Stage != verdict.Stage
	v.verdict = verdict
	if changed {
		v.resetTests()
	}
}

// Advance moves each version that is ready to its next stage, and ends the hold of each server whose time is over.
func (tr *Tracker) Advance(now time.Time) {
	for _, v := range tr.versions {
		stay := time.Duration(now.UnixNano() - v.verdict.UpdatedNanos)
		if v.verdict.ready(stay, v.stageAnswers) {
			tr.setStage(v, v.verdict.Stage.next(), now)
		}
	}
	for id, until := range tr.suspectUntil {
		if !now.Before(until) {
			tr.resetServer(id)
		}
	}
}

// Shares returns the share of new requests, from 0 to 1, of each version that isn't at StageFull.
func (tr *Tracker) Shares() map[crlid.Version]float64 {
	shares := make(map[crlid.Version]float64)
	for id, v := range tr.versions {
		if v.verdict.Stage != StageFull {
			shares[id] = v.verdict.Stage.Share()
		}
	}
	return shares
}

// Suspects returns the backend servers on hold: they should get no requests while other servers can take them.
func (tr *Tracker) Suspects() map[crlid.Server]bool {
	suspects := make(map[crlid.Server]bool, len(tr.suspectUntil))
	for id := range tr.suspectUntil {
		suspects[id] = true
	}
	return suspects
}

// applyServerCounts feeds an increase of a server's counts to its test, and puts the server on hold for firstHold if the
// test raises an alarm.
func (tr *Tracker) applyServerCounts(id crlid.Server, o rates, now time.Time) {
	t, ok := tr.servers[id]
	if !ok {
		t = &rateTest{}
		tr.servers[id] = t
	}
	t.add(o, 0)
	if t.score >= rateAlarmThreshold {
		t.score = rateAlarmThreshold // The score is capped, as otherwise each further failure would delay the effect of later good answers.
		tr.suspectUntil[id] = now.Add(firstHold)
	}
}
