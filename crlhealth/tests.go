package crlhealth

import "math"

// Parameters of the tests. An alarm is due when the log-likelihood ratio of "turned bad" passes a threshold.
const (
	rateAlarmThreshold   = 17.0 // rateAlarm is the threshold of failures and slow answers.
	ratingAlarmThreshold = 20.0 // ratingAlarm is the threshold of ratings.
	stepAlarmThreshold   = 9.0  // stepAlarm is the threshold of any test while the version is on its steps.

	minUsualRate     = 0.005 // minRate is the least share of bad answers that counts as usual.
	maxUsualRate     = 0.3   // maxRate is the largest share of bad answers that is excused by the past or the siblings.
	detectedRateRise = 0.35  // rateRise is the rise of the share that a test looks for.

	detectedRatingDrop    = 0.1  // ratingDrop is the fall of the mean rating that a test looks for.
	minBaselineRatings    = 500  // minRatings is the number of ratings that makes a past.
	minDeviation          = 0.05 // minDeviation bounds the standard deviation of ratings from below.
	maxDeviation          = 0.35 // maxDeviation bounds the standard deviation of ratings from above.
	maxBaselineCount      = 20_000
	priorAnswers          = 100 // priorAnswers weighs the assumption that a version without a past is well.
	recentHalfLifeSeconds = 10  // recentSeconds is the half-life of what siblings show now.
	recentPriorAnswers    = 20
)

// rates counts answers and the bad ones among them, discounted.
type rates struct{ answers, bad float64 }

func (r *rates) add(o rates) {
	r.answers += o.answers
	r.bad += o.bad
	if r.answers > maxBaselineCount {
		r.scale(0.5)
	}
}

func (r *rates) scale(factor float64) {
	r.answers *= factor
	r.bad *= factor
}

// rate returns the share of bad answers, drawn to 0 while there are few.
func (r *rates) rate(prior float64) float64 { return r.bad / (r.answers + prior) }

// rateTest looks for a rise of the share of bad answers.
type rateTest struct {
	score      float64
	sinceReset rates // since holds what came after the score last was 0.
	baseline   rates // past holds what came before.
}

// add takes new counts; reference is the share of bad answers that siblings show now.
func (t *rateTest) add(o rates, reference float64) {
	usual := min(maxUsualRate, max(minUsualRate, t.baseline.rate(priorAnswers), reference))
	risen := usual + detectedRateRise
	t.score += o.bad*math.Log(risen/usual) + (o.answers-o.bad)*math.Log((1-risen)/(1-usual))
	t.sinceReset.add(o)
	if t.score <= 0 {
		t.absorb()
	}
}

// settle counts what the test has seen as usual.
func (t *rateTest) absorb() {
	t.baseline.add(t.sinceReset)
	t.clear()
}

// clear forgets what the test has seen since its score was 0.
func (t *rateTest) clear() { t.score, t.sinceReset = 0, rates{} }

// moments sums ratings, discounted.
type moments struct{ count, sum, squares float64 }

func (m *moments) add(o moments) {
	m.count += o.count
	m.sum += o.sum
	m.squares += o.squares
	if m.count > maxBaselineCount {
		m.count, m.sum, m.squares = m.count/2, m.sum/2, m.squares/2
	}
}

func (m *moments) mean() float64 { return m.sum / m.count }

func (m *moments) deviation() float64 {
	variance := m.squares/m.count - m.mean()*m.mean()
	return min(maxDeviation, max(minDeviation, math.Sqrt(max(0, variance))))
}

// ratingTest looks for a fall of the mean rating.
type ratingTest struct {
	score      float64
	sinceReset moments
	baseline   moments
}

// add takes new ratings; sibling is the past of another version of the same model, used until there is one of its own.
func (t *ratingTest) add(o moments, sibling *moments) {
	reference := &t.baseline
	if t.baseline.count < minBaselineRatings && sibling != nil {
		reference = sibling
	}
	if reference.count < minBaselineRatings {
		t.baseline.add(o)
		return
	}
	variance := reference.deviation() * reference.deviation()
	fall := o.count*(reference.mean()-detectedRatingDrop/2) - o.sum
	t.score += detectedRatingDrop / variance * fall
	t.sinceReset.add(o)
	if t.score <= 0 {
		t.baseline.add(t.sinceReset)
		t.clear()
	}
}

func (t *ratingTest) clear() { t.score, t.sinceReset = 0, moments{} }
