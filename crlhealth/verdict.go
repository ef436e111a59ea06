package crlhealth

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// What puts the failures of a version down to one of its servers.
const (
	minServerFailureShare     = 0.7 // serverShare is the least part of the failures that the server has.
	minOtherFailures          = 2   // restFailures is the number of failures elsewhere under which nothing speaks against the version.
	minOtherAnswersPerFailure = 4   // restPerFailure is the least number of answers for each failure elsewhere.
)

func (b *Tracker) version(id crlid.Version, now time.Time) *version {
	v, ok := b.versions[id]
	if !ok {
		v = &version{
			verdict: Verdict{Version: id}, ratings: make(map[crlid.Class]*ratingTest),
			servers: make(map[crlid.Server]bool), decayedAt: now,
		}
		v.recent = map[*rateTest]*rates{&v.failures: {}, &v.slow: {}}
		b.versions[id] = v
	}
	return v
}

// take feeds new counts of a version to its tests.
func (b *Tracker) applyCounts(key countKey, d Totals, now time.Time) {
	v, ok := b.versions[key.version]
	if !ok {
		return
	}
	v.stageAnswers += d.Answers
	v.decay(now)
	v.feed(&v.failures, rates{answers: float64(d.Answers), bad: float64(d.Failures)}, b.siblingRate(key.version, failuresOf))
	v.feed(&v.slow, rates{answers: float64(d.Answers - d.Failures), bad: float64(d.Slow)}, b.siblingRate(key.version, slowOf))
	if d.Ratings > 0 {
		v.rating(key.class).add(
			moments{count: float64(d.Ratings), sum: d.RatingSum, squares: d.RatingSquares}, b.siblingRatings(key),
		)
	}
	b.holdIfAlarmed(v, now)
}

// takePast counts the totals of an incarnation that was not heard before as usual.
func (b *Tracker) addBaseline(key countKey, t Totals) {
	v, ok := b.versions[key.version]
	if !ok {
		return
	}
	v.failures.baseline.add(rates{answers: float64(t.Answers), bad: float64(t.Failures)})
	v.slow.baseline.add(rates{answers: float64(t.Answers - t.Failures), bad: float64(t.Slow)})
	v.rating(key.class).baseline.add(moments{count: float64(t.Ratings), sum: t.RatingSum, squares: t.RatingSquares})
}

func (v *version) rating(class crlid.Class) *ratingTest {
	t, ok := v.ratings[class]
	if !ok {
		t = &ratingTest{}
		v.ratings[class] = t
	}
	return t
}

func (v *version) feed(t *rateTest, o rates, reference float64) {
	if o.answers == 0 && o.bad == 0 {
		return
	}
	t.add(o, reference)
	v.recent[t].add(o)
}

func (v *version) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(v.decayedAt).Seconds() / recentHalfLifeSeconds)
	for _, r := range v.recent {
		r.scale(min(1, factor))
	}
	v.decayedAt = now
}

func failuresOf(v *version) *rates { return v.recent[&v.failures] }
func slowOf(v *version) *rates     { return v.recent[&v.slow] }

// siblingRate returns the share of bad answers of the other versions that are well.
func (b *Tracker) siblingRate(id crlid.Version, of func(*version) *rates) float64 {
	var sum rates
	for other, v := range b.versions {
		if other != id && v.verdict.Stage == StageFull {
			sum.add(*of(v))
		}
	}
	return sum.rate(recentPriorAnswers)
}

// siblingRatings returns the past of another version of the same model in the class, nil if there is none.
func (b *Tracker) siblingRatings(key countKey) (past *moments) {
	if b.configuration == nil {
		return nil
	}
	model := b.configuration.Versions[key.version].Model
	for other, v := range b.versions {
		t := v.ratings[key.class]
		if other == key.version || t == nil || b.configuration.Versions[other].Model != model {
			continue
		}
		if past == nil || t.baseline.count > past.count {
			past = &t.baseline
		}
	}
	return past
}

// judge turns a version whose tests raise an alarm to the stage held.
func (b *Tracker) holdIfAlarmed(v *version, now time.Time) {
	if v.verdict.Stage == StageHeld || !v.alarmed() {
		return
	}
	if v.exceeds(v.failures.score, rateAlarmThreshold) && b.isServerFault(v) {
		return
	}
	if v.verdict.Stage == StageFull && now.UnixNano()-v.verdict.UpdatedNanos > int64(alarmResetTime) {
		v.verdict.Alarms = 0
	}
	v.verdict.Alarms++
	b.setStage(v, StageHeld, now)
	// What failed on its servers was the version.
	for id := range v.servers {
		b.resetServer(id)
	}
}

// over reports whether a score passes the threshold, which is lower while the version is on its steps.
func (v *version) exceeds(score, threshold float64) bool {
	if v.verdict.Stage != StageFull {
		threshold = stepAlarmThreshold
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

// isServersFault reports whether most of the version's failures are on one of several servers and few elsewhere.
func (b *Tracker) isServerFault(v *version) bool {
	if len(v.servers) < 2 {
		return false
	}
	for id := range v.servers {
		t := b.servers[id]
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

// absolve forgets what speaks against a server.
func (b *Tracker) resetServer(id crlid.Server) {
	delete(b.suspectUntil, id)
	if t := b.servers[id]; t != nil {
		t.clear()
	}
}

// turn moves a version to a stage and begins its tests anew.
func (b *Tracker) setStage(v *version, stage Stage, now time.Time) {
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

// adopt takes the verdict of a peer if it is later than one's own.
func (b *Tracker) mergeVerdict(verdict Verdict) {
	v, ok := b.versions[verdict.Version]
	if !ok || verdict.UpdatedNanos <= v.verdict.UpdatedNanos {
		return
	}
	held := v.verdict.Stage == StageHeld && verdict.Stage != StageHeld
	if held && verdict.UpdatedNanos-v.verdict.UpdatedNanos < int64(v.verdict.holdDuration()) {
		// The peer took a step before it heard of the alarm; the alarm stands and must win there too.
		v.verdict.UpdatedNanos = verdict.UpdatedNanos + 1
		return
	}
	changed := v.verdict.Stage != verdict.Stage
	v.verdict = verdict
	if changed {
		v.resetTests()
	}
}

// Advance moves versions to their next step and ends the holds of servers when they are due.
func (b *Tracker) Advance(now time.Time) {
	for _, v := range b.versions {
		stay := time.Duration(now.UnixNano() - v.verdict.UpdatedNanos)
		if v.verdict.ready(stay, v.stageAnswers) {
			b.setStage(v, v.verdict.Stage.next(), now)
		}
	}
	for id, until := range b.suspectUntil {
		if !now.Before(until) {
			b.resetServer(id)
		}
	}
}

// Shares returns the part of the new work that each version may get, for those that may not get all.
func (b *Tracker) Shares() map[crlid.Version]float64 {
	shares := make(map[crlid.Version]float64)
	for id, v := range b.versions {
		if v.verdict.Stage != StageFull {
			shares[id] = v.verdict.Stage.Share()
		}
	}
	return shares
}

// Suspects returns the backend servers that should get no work while others can.
func (b *Tracker) Suspects() map[crlid.Server]bool {
	suspects := make(map[crlid.Server]bool, len(b.suspectUntil))
	for id := range b.suspectUntil {
		suspects[id] = true
	}
	return suspects
}

// takeServer feeds new counts of a server to its test.
func (b *Tracker) applyServerCounts(id crlid.Server, o rates, now time.Time) {
	t, ok := b.servers[id]
	if !ok {
		t = &rateTest{}
		b.servers[id] = t
	}
	t.add(o, 0)
	if t.score >= rateAlarmThreshold {
		t.score = rateAlarmThreshold
		b.suspectUntil[id] = now.Add(firstHold)
	}
}
