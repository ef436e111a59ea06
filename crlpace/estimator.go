package crlpace

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Config configures an Estimator.
type Config struct {
	Self crlid.Incarnation // identifies this daemon's messages
	Now  crlclock.Clock
}

// Key identifies what an estimate is for.
type Key struct {
	Service crlid.Service
	Model   crlid.Model // empty for requests whose model isn't known
}

// Work is the size of a request.
type Work struct {
	Prompt crlid.Tokens // whole prompt
	Shared crlid.Tokens // tokens of Prompt that a server may have cached
	Output crlid.Tokens // expected length of the answer
	Event  crlid.Tokens // tokens in one event of the answer, 0 if not known
}

// Load is the load of a server without the request in question.
type Load struct {
	Running       float64 // running requests
	PromptSeconds float64 // prefill that is pending, in seconds
	Complete      bool    // whether the requests of all daemons are included, not only this daemon's
}

// Prediction is the expected cost and course of a request.
type Prediction struct {
	PromptSeconds float64       // time that the server works on the prompt
	DelaySeconds  float64       // time by which the answer's tokens delay each other running request
	FirstEvent    time.Duration // time from the send to the first event
	Pause         time.Duration // time between two events, 0 if Work.Event is not known
	End           time.Duration // time from the send to the last event
}

const (
	maxKeys   = 64               // keys that are learned; requests of further ones get initial estimates
	maxTime   = 10 * time.Minute // longer times are no observations of an engine
	maxTokens = 10_000_000       // larger counts are no observations of an engine
)

// Estimator learns costs and speeds. It implements crlrelay.Exchange.
type Estimator struct {
	config   Config
	mu       sync.RWMutex // guards the fields below
	models   map[Key]*model
	services map[crlid.Service]*speeds
	exchange exchange
	// keys are those of models in a fixed order: estimates depend on each other, so the order of a map would change them from run to run.
	keys []Key
}

// model is what is known about one service and model.
type model struct {
	placed     bool    // whether AddModel was called
	factor     float64 // initial time factor
	relative   float64 // learned time factor: the time per prompt token relative to that of the other models
	own        observations
	anchor     fit // slowly follows fit, which returns to it without observations
	fit        fit
	fitted     crlclock.Instant // when anchor and relative were last updated
	spread     float64          // how much the observed lengths of long prompts tell about the time per token, as a sum of weighted squares
	tokensSeen bool             // whether there were enough times per token for an estimate that doesn't depend on other models
}

// New returns an Estimator without observations.
func New(config Config) *Estimator {
	return &Estimator{
		config: config, models: make(map[Key]*model), services: make(map[crlid.Service]*speeds),
		exchange: exchange{followers: make(map[crlid.Incarnation]report)},
	}
}

// compare orders keys by service, then by model.
func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Model, other.Model))
}

// AddModel sets the initial estimate of a key by the place of its model among the count models of a route, smallest first. Only the
// first call for a key has an effect.
func (e *Estimator) AddModel(key Key, place, count int) {
	e.mu.RLock()
	m, ok := e.models[key]
	placed := ok && m.placed
	e.mu.RUnlock()
	if placed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if m = e.model(key); m == nil || m.placed {
		return
	}
	factor := initialFactor(place, count)
	// Observations of other daemons may have come before.
	m.anchor = initialFit(factor)
	m.placed, m.factor, m.relative = true, factor, factor
	e.refit(key, m, e.config.Now())
}

// model returns the state of a key and adds it if there is none, or returns nil if there are too many.
func (e *Estimator) model(key Key) *model {
	m, ok := e.models[key]
	if !ok && len(e.models) < maxKeys {
		s, known := e.services[key.Service]
		if !known {
			s = newSpeeds()
			e.services[key.Service] = s
		}
		m = &model{factor: 1, relative: 1, anchor: initialFit(1), own: observations{speeds: s}}
		m.fit = m.anchor
		e.models[key] = m
		at, _ := slices.BinarySearchFunc(e.keys, key, Key.compare)
		e.keys = slices.Insert(e.keys, at, key)
	}
	return m
}

// Predict returns the expected cost and course of a request at a server, or at a usual server of the service if server is empty.
func (e *Estimator) Predict(key Key, server crlid.Server, work Work, load Load) Prediction {
	e.mu.RLock()
	defer e.mu.RUnlock()
	f := initialFit(1)
	if m, ok := e.models[key]; ok {
		f = m.fit
	}
	speed := 1.0
	if server != "" {
		speed = e.services[key.Service].speed(server)
	}
	prompt := f.promptToken * float64(work.Prompt) / speed
	token := (f.token + f.tokenPerRunning*(load.Running+1)) / speed
	first := f.base(work.Prompt) + prompt + load.PromptSeconds
	return Prediction{
		PromptSeconds: prompt, DelaySeconds: f.tokenPerRunning * float64(work.Output) / speed,
		FirstEvent: duration(first), Pause: duration(token * float64(work.Event)), End: duration(first + token*float64(work.Output)),
	}
}

// PromptRate returns the prompt tokens that a usual server of the service prefills in a second.
func (e *Estimator) PromptRate(key Key) float64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if m, ok := e.models[key]; ok {
		return 1 / m.fit.promptToken
	}
	return initialPromptRate
}

// Speed returns the speed of a server relative to the usual one of its service, 1 if it isn't known.
func (e *Estimator) Speed(service crlid.Service, server crlid.Server) float64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[service].speed(server)
}

// ObserveFirstEvent records the time from a send to the first event of its answer.
func (e *Estimator) ObserveFirstEvent(key Key, server crlid.Server, work Work, load Load, firstEvent time.Duration) {
	if work.Prompt <= 0 || work.Prompt > maxTokens || work.Shared < 0 || firstEvent <= 0 || firstEvent > maxTime {
		return
	}
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.model(key)
	if m == nil {
		return
	}
	shared := min(work.Shared, work.Prompt)
	m.own.addPrompt(promptTime{
		unique: float64(work.Prompt - shared), shared: float64(shared), server: m.own.speeds.server(server, now), short: work.Prompt < LongPrompt,
		seconds: max(firstEvent.Seconds()-max(load.PromptSeconds, 0), 0), at: now,
	}, m.fit, now)
	e.exchange.changed, e.exchange.observed = true, now
	e.refit(key, m, now)
}

// ObserveTokens records the mean time per token between events of an answer.
func (e *Estimator) ObserveTokens(key Key, server crlid.Server, load Load, perToken time.Duration) {
	if perToken <= 0 || perToken > maxTime || load.Running < 0 || load.Running > maxRunning {
		return
	}
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.model(key)
	if m == nil {
		return
	}
	s := m.own.speeds
	expected := m.fit.token + m.fit.tokenPerRunning*(load.Running+1)
	s.add(server, perToken.Seconds()/expected, now)
	m.own.older.add(m.fit.tokenSample(load, perToken.Seconds()*s.speed(server)), now)
	e.exchange.changed, e.exchange.observed = true, now
	e.refit(key, m, now)
}

const (
	// anchorTime is the time constant with which the anchor of a model follows its fit. It is above decayTime, so that the
	// fit comes from the observations while there are some.
	anchorTime = 30 * time.Second
	// refitRounds is the number of times that a fit is repeated with the weights that it gives to the newest observations.
	refitRounds = 3
)

// refit computes the estimates of a key, and of the other models of the service, which depend on them.
func (e *Estimator) refit(key Key, m *model, now crlclock.Instant) {
	e.solve(key, m, now)
	for _, other := range e.keys {
		o := e.models[other]
		if other != key && other.Service == key.Service {
			e.solve(other, o, now)
		}
	}
	e.follow(key, m, now)
}

// follow moves what is kept of a key's estimates without observations towards them.
func (e *Estimator) follow(key Key, m *model, now crlclock.Instant) {
	if m.fitted != 0 {
		keep := decayFactor(now.Sub(m.fitted), anchorTime)
		m.anchor.approach(m.fit, keep)
		// What few observations say about the model alone is mostly noise.
		keep = 1 - (1-keep)*m.spread/(m.spread+groupPrior)
		scale, _ := e.promptScale(key)
		m.relative *= math.Pow(m.fit.promptToken*initialPromptRate/(scale*m.relative), 1-keep)
	}
	m.fitted = now
}

// solve computes the estimates of a key from all sums.
func (e *Estimator) solve(key Key, m *model, now crlclock.Instant) {
	var remote sums
	e.exchange.addRemote(&remote, key, "", now)
	initial, p := initialFit(m.factor), e.prior(key, m)
	for range refitRounds {
		total := m.own.sums(m.fit, now)
		total.add(&remote)
		m.spread, m.tokensSeen = total.uniqueSpread(), m.tokensSeen || total[tokenWeight] > 2*tokenPrior
		m.fit = total.solve(p, initial)
	}
}

// prior is what estimates stay near without observations.
type prior struct {
	fit
	promptWeight float64 // weight of fit.promptToken
}

const (
	promptPrior = 0.05 // promptWeight without other models
	groupPrior  = 0.15 // largest addition to promptWeight by other models; 0.5 and 2.0 held a model with 10 prompts a second too near its initial factor
	// groupPart is the part of the other models' spread up to which promptWeight grows, so that models of which
	// little is known don't hold each other at their initial estimates.
	groupPart = 0.5
)

// prior returns the estimates of a key without its observations: those of earlier ones and of the service's other models if there
// were any, else the initial ones.
func (e *Estimator) prior(key Key, m *model) prior {
	p := prior{fit: m.anchor}
	scale, spread := e.promptScale(key)
	p.promptWeight = promptPrior + min(groupPrior, groupPart*spread)
	if spread > promptPrior {
		p.promptToken = m.relative * scale / initialPromptRate
	}
	if !m.tokensSeen {
		p.token = initialTokenTime * m.factor * e.tokenScale(key)
	}
	return p
}

// promptScale returns the time per prompt token of a service's other models, relative to the initial one for their learned time factors,
// and how much their observations tell about it. It is the mean of their logarithms, 1 if nothing is known.
func (e *Estimator) promptScale(key Key) (scale, spread float64) {
	var sum float64
	for _, other := range e.keys {
		m := e.models[other]
		if other != key && other.Service == key.Service {
			sum += m.spread * math.Log(m.fit.promptToken*initialPromptRate/m.relative)
			spread += m.spread
		}
	}
	if spread == 0 {
		return 1, 0
	}
	return math.Exp(sum / spread), spread
}

// tokenScale returns the time per token of a service's other models relative to their initial estimates, 1 if it isn't known.
func (e *Estimator) tokenScale(key Key) float64 {
	var sum, count float64
	for _, other := range e.keys {
		m := e.models[other]
		if other != key && other.Service == key.Service && m.tokensSeen {
			sum += math.Log(m.fit.token / (initialTokenTime * m.factor))
			count++
		}
	}
	return math.Exp(sum / max(count, 1))
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
