package crlpace

import (
	"math"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Initial estimates: figures of unloaded servers of present deployments, for a model with time factor 1.
const (
	initialPromptRate  = 157_000.0 // prompt tokens per second
	initialFirstEvent  = 0.040     // time to the first event of an answer to a short prompt, in seconds
	initialPerRunning  = 0.00005   // time per token for each running request, in seconds
	initialTokenTime   = 0.0025    // time per token without running requests, in seconds
	smallestFactor     = 0.3       // time factor of the smallest of several models
	largestFactor      = 3.0       // time factor of the largest of several models
	decodeCostInPrompt = initialPerRunning * initialPromptRate
)

// LongPrompt is the prompt length in tokens from which the time to the first event is mostly spent on the prompt.
const LongPrompt crlid.Tokens = 4000

// initialFactor returns the time factor assumed for a model by its place among count models.
func initialFactor(place, count int) float64 {
	if count < 2 || place < 0 || place >= count {
		return 1
	}
	return smallestFactor + (largestFactor-smallestFactor)*float64(place*place)/float64((count-1)*(count-1))
}

// InitialPromptSeconds returns the time that a prompt is assumed to take at a server of which nothing is learned, by the place of the model
// among the count models of a route, smallest first.
func InitialPromptSeconds(prompt crlid.Tokens, place, count int) float64 {
	return initialFactor(place, count) * float64(prompt) / initialPromptRate
}

// fit is the estimates for a usual server, in seconds.
type fit struct {
	longBase        float64 // time to the first event of a long prompt without the time for its tokens
	shortBase       float64 // the same for a shorter prompt
	promptToken     float64 // time per prompt token
	sharedToken     float64 // time per prompt token of a shared part, from 0 to promptToken
	token           float64 // time per token of an answer without running requests
	tokenPerRunning float64 // time that each running request adds to each token
}

func initialFit(factor float64) fit {
	return fit{
		longBase: initialFirstEvent, shortBase: initialFirstEvent, promptToken: factor / initialPromptRate, sharedToken: factor / initialPromptRate,
		token: factor * initialTokenTime, tokenPerRunning: factor * initialPerRunning,
	}
}

func (f fit) base(prompt crlid.Tokens) float64 {
	if prompt >= LongPrompt {
		return f.longBase
	}
	return f.shortBase
}

// approach moves the estimates towards others; keep is the part of the difference that is left.
func (f *fit) approach(to fit, keep float64) {
	move := func(from *float64, to float64) { *from = to + (*from-to)*keep }
	move(&f.longBase, to.longBase)
	move(&f.shortBase, to.shortBase)
	move(&f.promptToken, to.promptToken)
	move(&f.sharedToken, to.sharedToken)
	move(&f.token, to.token)
	move(&f.tokenPerRunning, to.tokenPerRunning)
}

const (
	// promptExpectile weighs answers that come later than predicted, against 1 for earlier ones. With 0.02 and half of the prompts waiting 1 s on
	// average, 4 of 40 simulated fleets missed the rate of a model with 10 prompts a second by over a fifth after 5 s; with 0.01, 2 of 40.
	promptExpectile = 0.01
	// tokenExpectile is higher, as prompts of other requests delay tokens at most times and callers see that too.
	tokenExpectile = 0.25
	// An observation counts as at most lateFactor times the prediction and lateMargin seconds, so that waits hardly move the line. An estimate that
	// is too low grows by as much in each round.
	lateFactor = 1.3
	lateMargin = 0.05
	// earlyFactor is the part of the prediction below which an observation has the weight of a late one.
	earlyFactor = 0.4
	// longestEarly is the prompt length in tokens above which such an observation weighs as much as one of this length.
	longestEarly = 4 * float64(LongPrompt)
	unit         = 10_000.0 // prompt tokens are counted in this unit, which keeps the sums of one magnitude
)

// promptSample returns the sums of one observed time to the first event at a server of a speed, times decay.
func (f fit) promptSample(p *promptTime, speed, decay float64) (s sums) {
	unique, shared := p.unique/speed, p.shared/speed
	base := f.longBase
	if p.short {
		base = f.shortBase
	}
	expected := base + unique*f.promptToken + shared*f.sharedToken
	weight, seconds := weigh(p.seconds, expected, promptExpectile)
	if seconds < earlyFactor*expected {
		// The line would follow the square of a wrong length.
		ratio := min(1, longestEarly/(unique+shared))
		weight *= ratio * ratio
	}
	weight *= decay
	if p.short {
		s[shortWeight], s[shortTokens], s[shortSeconds] = weight, weight*(unique+shared)/unit, weight*seconds
		return s
	}
	u, c := unique/unit, shared/unit
	s[promptWeight], s[promptUnique], s[promptShared], s[promptSeconds] = weight, weight*u, weight*c, weight*seconds
	s[uniqueUnique], s[uniqueShared], s[sharedShared] = weight*u*u, weight*u*c, weight*c*c
	s[uniqueSeconds], s[sharedSeconds] = weight*u*seconds, weight*c*seconds
	return s
}

// tokenSample returns the sums of one observed time per token. Without the load of all daemons, the effect of running requests isn't
// learned: the own requests are a part of them whose size isn't known.
func (f fit) tokenSample(load Load, seconds float64) sums {
	running := load.Running + 1
	weight, seconds := weigh(seconds, f.token+running*f.tokenPerRunning, tokenExpectile)
	if !load.Complete {
		seconds -= running * f.tokenPerRunning
		running = 0
	}
	return sums{
		tokenWeight: weight, tokenRunning: weight * running, tokenSeconds: weight * seconds,
		runningRunning: weight * running * running, runningSeconds: weight * running * seconds,
	}
}

// weigh returns the weight of an observation, and the observation with an upper bound.
func weigh(seconds, expected, expectile float64) (weight, bounded float64) {
	if seconds < earlyFactor*expected {
		// Most likely the prompt was cached, or shorter than the caller stated. Such times move the estimate only if most of them agree.
		return expectile, seconds
	}
	if seconds <= expected {
		return 1 - expectile, seconds
	}
	return expectile, min(seconds, lateFactor*expected+lateMargin)
}

// Weights of the prior in a fit. They are about those of a few answers that are later than predicted, as all are that come first at an engine which is slower than its
// initial estimate.
const (
	basePrior    = 0.02
	sharedPrior  = 0.1 // holds the time for shared tokens at that for others
	tokenPrior   = 0.25
	runningPrior = 50.0 // as of observations that differ by several running requests
	maxChange    = 50   // largest ratio of an estimate to its initial value, either way
)

// solve fits the estimates to the sums. The estimates stay near prior as far as the sums say nothing else.
func (s *sums) solve(prior prior, initial fit) fit {
	f := prior.fit
	s.solvePrompts(&f, prior, initial)
	f.shortBase = max(0, (s[shortSeconds]-f.promptToken*unit*s[shortTokens]+basePrior*prior.shortBase)/(s[shortWeight]+basePrior))
	s.solveTokens(&f, prior.fit, initial)
	return f
}

// solvePrompts solves the normal equations of the line through the times of long prompts.
func (s *sums) solvePrompts(f *fit, prior prior, initial fit) {
	w, u, c := s[promptWeight]+basePrior, s[promptUnique], s[promptShared]
	y, uy, cy := s[promptSeconds]+basePrior*prior.longBase, s[uniqueSeconds]+prior.promptWeight*prior.promptToken*unit, s[sharedSeconds]
	uu, uc, cc := s[uniqueUnique]+prior.promptWeight, s[uniqueShared], s[sharedShared]
	// The constant is eliminated first, which leaves two equations.
	uu, uc, cc, uy, cy = uu-u*u/w, uc-u*c/w, cc-c*c/w, uy-u*y/w, cy-c*y/w
	determinant := (uu+sharedPrior)*(cc+sharedPrior) - (uc-sharedPrior)*(uc-sharedPrior)
	unique := (uy*(cc+sharedPrior) - cy*(uc-sharedPrior)) / determinant
	shared := ((uu+sharedPrior)*cy - (uc-sharedPrior)*uy) / determinant
	switch {
	case shared < 0:
		unique, shared = uy/uu, 0
	case shared > unique:
		unique = (uy + cy) / (uu + 2*uc + cc)
		shared = unique
	}
	lowest, highest := initial.promptToken*unit/maxChange, initial.promptToken*unit*maxChange
	unique = min(max(unique, lowest), highest)
	shared = min(max(shared, 0), unique)
	f.promptToken, f.sharedToken = unique/unit, shared/unit
	f.longBase = max(0, (y-unique*u-shared*c)/w)
}

// solveTokens fits the line through the times per token, over the number of running requests.
func (s *sums) solveTokens(f *fit, prior, initial fit) {
	// Without observations that tell, a token costs as many prompt tokens as initially.
	perRunning := f.promptToken * decodeCostInPrompt
	w := s[tokenWeight] + tokenPrior
	n, y := s[tokenRunning], s[tokenSeconds]+tokenPrior*prior.token
	nn, ny := s[runningRunning]+runningPrior-n*n/w, s[runningSeconds]+runningPrior*perRunning-n*y/w
	f.tokenPerRunning = min(max(ny/nn, perRunning/maxChange), perRunning*maxChange)
	f.token = min(max((y-f.tokenPerRunning*n)/w, initial.token/maxChange), initial.token*maxChange)
}

// isFinite reports whether a number is neither infinite nor NaN.
func isFinite(v float64) bool { return !math.IsInf(v, 0) && !math.IsNaN(v) }
