package crlhealth

import "math"

// Parameters of the tests. A test raises an alarm when its score, the log-likelihood ratio of "degraded" against "as
// usual", reaches a threshold.
const (
	rateAlarmThreshold   = 17.0 // score at which a test of failures or of slow answers raises an alarm
	ratingAlarmThreshold = 20.0 // score at which a test of ratings raises an alarm
	rampUpAlarmThreshold = 9.0  // score at which any test of a version raises an alarm while the version ramps up

	minUsualRate     = 0.005 // lower bound of the share of bad answers that counts as usual
	maxUsualRate     = 0.3   // upper bound of the share of bad answers that counts as usual, whatever the baseline and the siblings show
	detectedRateRise = 0.35  // rise of the share of bad answers that a test looks for

	detectedRatingDrop    = 0.1    // fall of the mean rating that a test looks for
	minBaselineRatings    = 500    // ratings that a baseline needs before it is used
	minDeviation          = 0.05   // lower bound of the standard deviation of ratings
	maxDeviation          = 0.35   // upper bound of the standard deviation of ratings
	maxBaselineCount      = 20_000 // count above which sums are halved, so that old data loses weight
	priorAnswers          = 100    // good answers that are added to every baseline, so that few answers don't determine its rate
	recentHalfLifeSeconds = 10     // half-life of the recent answers of siblings
	recentPriorAnswers    = 20     // good answers added to the recent ones of siblings, so that few answers don't determine the rate
)

// rates counts answers and the bad ones among them; old counts lose weight.
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

// rate returns the share of bad answers. It counts prior good answers in addition, so that few answers give no high rate.
func (r *rates) rate(prior float64) float64 { return r.bad / (r.answers + prior) }

// rateTest is a CUSUM test for a rise of the share of bad answers.
type rateTest struct {
	score      float64
	sinceReset rates // input since the score was last 0
	baseline   rates // earlier input, which counts as usual
}

// add applies new counts. reference is the recent share of bad answers of the siblings.
func (t *rateTest) add(o rates, reference float64) {
	usual := min(maxUsualRate, max(minUsualRate, t.baseline.rate(priorAnswers), reference))
	risen := usual + detectedRateRise
	t.score += o.bad*math.Log(risen/usual) + (o.answers-o.bad)*math.Log((1-risen)/(1-usual))
	t.sinceReset.add(o)
	if t.score <= 0 {
		t.extendBaseline()
	}
}

// extendBaseline adds the input since the score was last 0 to the baseline, and clears the score and that input.
func (t *rateTest) extendBaseline() {
	t.baseline.add(t.sinceReset)
	t.clear()
}

// clear discards the score and the input since it was last 0; the baseline stays.
func (t *rateTest) clear() { t.score, t.sinceReset = 0, rates{} }

// moments holds the number, sum and sum of squares of ratings; old ratings lose weight.
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

// deviation returns the standard deviation, kept between minDeviation and maxDeviation.
func (m *moments) deviation() float64 {
	variance := m.squares/m.count - m.mean()*m.mean()
	return min(maxDeviation, max(minDeviation, math.Sqrt(max(0, variance))))
}

// ratingTest is a CUSUM test for a fall of the mean rating.
type ratingTest struct {
	score      float64
	sinceReset moments // input since the score was last 0
	baseline   moments // earlier input, which counts as usual
}

// add applies new ratings. sibling is the baseline of another version of the same model, used while this version's own
// has fewer than minBaselineRatings ratings; with neither, the ratings only go to the baseline.
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
