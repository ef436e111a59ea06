package crlforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// Peer is another router, to which requests may be handed over.
type Peer struct {
	Address string // of its handler of requests that are handed over
	Domain  crlid.Domain
}

// Headers between routers. They are removed from what callers and backend servers send.
const (
	// headerRuns states after how many sends a server may have started to execute the request: in a request, all before; in an answer, those of the router.
	headerRuns     = "Cranberrylock-Runs"
	headerRunLimit = "Cranberrylock-Run-Limit" // of a request: number of such sends, in all, that the receiving router must not exceed
	headerRefusal  = "Cranberrylock-Refusal"   // of an answer: the reason of the receiving router's own refusal
)

const (
	maxHandovers = 3                      // routers to which a request is handed over, one after the other
	peerPause    = 2 * time.Second        // time without handovers to a router that could not be reached or could not take a request
	servicePause = 500 * time.Millisecond // time without handovers after a router that isn't cut off has reached no server of the service either
	// placesPause is the time without handovers after none of the routers that were tried had a free place at the brittle servers of the service. It is
	// short, as places become free all the time.
	placesPause = 100 * time.Millisecond
)

// handovers remembers which routers requests can't be handed over to now, and for which services that is of no use.
type handovers struct {
	now      crlclock.Clock
	mu       sync.Mutex // guards the fields below
	peers    map[string]crlclock.Instant
	services map[crlid.Service]crlclock.Instant
}

func newHandovers(now crlclock.Clock) *handovers {
	return &handovers{now: now, peers: make(map[string]crlclock.Instant), services: make(map[crlid.Service]crlclock.Instant)}
}

// pausePeer keeps requests from a router for peerPause.
func (h *handovers) pausePeer(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for a, until := range h.peers {
		if until <= now {
			delete(h.peers, a)
		}
	}
	h.peers[address] = now.Add(peerPause)
}

// pauseService ends handovers of a service's requests for a time.
func (h *handovers) pauseService(service crlid.Service, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.services[service] = max(h.services[service], h.now().Add(length))
}

// isPaused reports whether handovers of a service's requests are of no use now.
func (h *handovers) isPaused(service crlid.Service) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.services[service] > h.now()
}

// choose returns a random router that isn't paused and to which the request wasn't handed over yet. Routers of other failure domains come first,
// as whatever cuts off this VM may cut off its whole domain.
func (h *handovers) choose(peers []Peer, tried map[string]bool, own crlid.Domain) (Peer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var far, near []Peer
	for _, p := range peers {
		switch {
		case tried[p.Address] || h.peers[p.Address] > now:
		case p.Domain != own:
			far = append(far, p)
		default:
			near = append(near, p)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 {
		return Peer{}, false
	}
	return far[rand.IntN(len(far))], true
}

// Handovers returns the handler of requests that other routers hand over. It never hands them over again.
func (s *Service) Handovers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs, limit, err := decodeRuns(r.Header)
		if err != nil {
			w.Header().Set(headerRefusal, ReasonMalformed)
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.serve(w, r, func(x *exchange) {
			x.handedOver, x.runs, x.sends, x.runsBefore, x.grantedRuns = true, runs, runs, runs, limit
			x.writer = &handoverWriter{ResponseWriter: x.writer, exchange: x}
		})
	})
}

// decodeRuns returns how often a request that is handed over may have run, and how often it may run in all.
func decodeRuns(header http.Header) (runs, limit int, err error) {
	if runs, err = strconv.Atoi(header.Get(headerRuns)); err != nil || runs < 0 {
		return 0, 0, errors.New("header " + headerRuns + " must be a whole number of at least 0")
	}
	text := header.Get(headerRunLimit)
	if text == "" {
		return runs, runs + 1, nil // A router of an earlier version counts each handover as one run.
	}
	if limit, err = strconv.Atoi(text); err != nil || limit < runs {
		return 0, 0, errors.New("header " + headerRunLimit + " must be a whole number of at least that of " + headerRuns)
	}
	return runs, limit, nil
}

// handoverWriter states in the answer's header how often this router has run a request that was handed over to it.
type handoverWriter struct {
	http.ResponseWriter
	exchange *exchange
}

// WriteHeader writes the header of the answer.
func (w *handoverWriter) WriteHeader(status int) {
	w.Header().Set(headerRuns, strconv.Itoa(w.exchange.runs-w.exchange.runsBefore))
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *handoverWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// choosePeer returns the one of peers to which the request is to be handed over next, false if it isn't to be: a request that was handed over, one
// that must not run twice and may have run, one that may have run as often as its route allows, and one for which other routers are of no use.
func (s *Service) choosePeer(x *exchange, peers func() []Peer) (Peer, bool) {
	if peers == nil || x.handedOver || len(x.peers) >= maxHandovers || x.runs > 0 && !x.route.Repeatable() ||
		x.runs >= x.route.Attempts || s.handovers.isPaused(x.service.Name) {
		return Peer{}, false
	}
	return s.handovers.choose(peers(), x.peers, s.config.Domain)
}

// placePeers returns the function that lists the routers which may have a free place at a brittle server of the request's service.
func (s *Service) placePeers(x *exchange) func() []Peer {
	if s.config.PlacePeers == nil {
		return s.config.Peers
	}
	return func() []Peer { return s.config.PlacePeers(x.service.Name) }
}

// tryHandover hands the request over to one of peers; ok is false if it isn't to be handed over.
func (s *Service) tryHandover(ctx context.Context, x *exchange, peers func() []Peer) (v verdict, refusal *Refusal, ok bool) {
	peer, ok := s.choosePeer(x, peers)
	if !ok {
		return verdictFinal, nil, false
	}
	if refusal := s.payRepeat(x); refusal != nil {
		return verdictFinal, refusal, true
	}
	v, refusal = s.handOver(ctx, x, peer)
	return v, refusal, true
}

// grant returns how many of the runs that its route still allows the next router may use: all but one. An exchange that is broken off counts as all
// that were granted, and the last one then lets the request be sent once more.
func (x *exchange) grant() int { return max(x.route.Attempts-x.runs-1, 1) }

// encodeHandover returns the function that sets the headers of a request that is handed over with so many granted runs.
func (s *Service) encodeHandover(x *exchange, granted int) func(http.Header) {
	return func(header http.Header) {
		s.config.Dialect.EncodeHandover(header, Handover{
			Deadline: time.Until(x.deadline), LastEvent: x.stream.lastEvent, Resumes: x.head.Resumes || x.stream.lastEvent > 0,
		})
		header.Set(headerRuns, strconv.Itoa(x.runs))
		header.Set(headerRunLimit, strconv.Itoa(x.runs+granted))
	}
}

// handOver sends the request to another router, which forwards it as if its caller had sent it there, and relays the answer.
func (s *Service) handOver(ctx context.Context, x *exchange, peer Peer) (verdict, *Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.peers[peer.Address] = true
	if x.admission.begun {
		// From here on, the request waits for the other router, which says nothing about this router's servers.
		s.admission.Cancel(&x.admission.ticket, s.config.Now())
	}
	s.config.Metrics.handovers.Inc()
	reached, paid, ended, granted, start := x.reached, x.retryPaid, x.endedLast, x.grant(), time.Now()
	response, connected, err := s.roundTrip(ctx, cancel, x, peer.Address, func() {}, s.encodeHandover(x, granted))
	if err != nil {
		if connected {
			x.runs += granted
		}
		x.recordHandover(peer, 0, 0, err.Error())
		if endedLocally(ctx) {
			return verdictFinal, nil
		}
		s.handovers.pausePeer(peer.Address)
		if !connected {
			return verdictAgain, nil
		}
		return s.retryVerdict(x), nil
	}
	defer response.Body.Close()
	reason := response.Header.Get(headerRefusal)
	x.recordHandover(peer, response.StatusCode, time.Since(start), reason)
	ran := x.runsOfHandover(response, granted)
	x.runs += ran
	if reason != "" {
		if ran == 0 {
			x.reached, x.retryPaid, x.endedLast = reached, paid, ended
		}
		return s.handleRefusal(x, peer, response, reason, ran > 0)
	}
	return s.relayHandover(ctx, x, response), nil
}

// runsOfHandover returns how often another router, which was granted a number of runs, may have run the request when its answer has ended.
func (x *exchange) runsOfHandover(response *http.Response, granted int) int {
	isRefusal := response.Header.Get(headerRefusal) != ""
	runs, err := strconv.Atoi(response.Header.Get(headerRuns))
	if err != nil || runs < 0 {
		return x.unstatedRuns(response.StatusCode, isRefusal)
	}
	if !isRefusal && x.isStream(response) {
		return max(runs, granted) // The other router may send the request again when the stream breaks off.
	}
	return runs
}

// unstatedRuns returns how often a router of an earlier version may have run the request, which doesn't state it and observes no limit but the route's.
func (x *exchange) unstatedRuns(status int, isRefusal bool) int {
	if isRefusal && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		return 0
	}
	return max(x.route.Attempts-x.runs, 1)
}

// isStream reports whether a response is the request's stream, rather than a plain answer.
func (x *exchange) isStream(response *http.Response) bool {
	return response.StatusCode < http.StatusMultipleChoices && x.route.Kind == crlroute.KindStream
}

// handleRefusal returns what to do after another router has refused the request, which may have run there.
func (s *Service) handleRefusal(x *exchange, peer Peer, response *http.Response, reason string, mayHaveRun bool) (verdict, *Refusal) {
	switch reason {
	case ReasonUnreachable:
		s.handovers.pauseService(x.service.Name, servicePause)
		return s.verdictAfter(x, mayHaveRun), nil
	case ReasonNoPlace:
		if len(x.peers) >= maxHandovers {
			s.handovers.pauseService(x.service.Name, placesPause)
		}
		return s.verdictAfter(x, mayHaveRun), nil
	case ReasonAttempts, ReasonOutcomeUnknown:
		// The router has used what it was granted, which may be less than the route allows.
		return s.verdictAfter(x, mayHaveRun), nil
	case ReasonOverloaded, ReasonNoBudget, ReasonCrashes, ReasonNoServer, ReasonRouteTimeout, ReasonDeadline:
		refusal := x.finalRefusal(reason)
		if x.runs == 0 || response.StatusCode != http.StatusServiceUnavailable {
			// A router that has no room refuses without regard to the sends before, after which a server may have run the request.
			refusal.Status = response.StatusCode
		}
		if pause := s.config.Dialect.DecodeAnswer(response.StatusCode, response.Header).Statement.Pause; refusal.RetryAfter > 0 && pause > 0 {
			refusal.RetryAfter = pause
		}
		return verdictFinal, refusal
	default:
		// The router is cut off too, drains, or knows an older configuration than this one.
		s.handovers.pausePeer(peer.Address)
		return s.verdictAfter(x, mayHaveRun), nil
	}
}

// verdictAfter returns the verdict on a request that a router could not take.
func (s *Service) verdictAfter(x *exchange, mayHaveRun bool) verdict {
	if mayHaveRun {
		return s.retryVerdict(x)
	}
	return verdictAgain
}

// relayHandover relays a backend server's answer that came over another router, which has judged it.
func (s *Service) relayHandover(ctx context.Context, x *exchange, response *http.Response) verdict {
	if x.isStream(response) {
		head := s.config.Dialect.DecodeAnswer(response.StatusCode, response.Header)
		v, _ := s.relayStream(ctx, x, nil, response, head, &modelPlan{}, &comparison{})
		return v
	}
	if x.stream.started {
		x.trace.cause = "backend server did not go on with the stream"
		return s.retryVerdict(x)
	}
	body, complete, err := s.readHeld(x, response.Body)
	if err != nil {
		if endedLocally(ctx) {
			return verdictFinal
		}
		x.trace.cause = err.Error()
		return s.retryVerdict(x)
	}
	answer := &reply{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError && complete && x.route.Repeatable() && x.runs < x.route.Attempts {
		x.lastFailure = answer
		return verdictAgain
	}
	x.trace.status = answer.status
	if !complete {
		v, _ := s.relayOversized(ctx, x, nil, answer, response)
		return v
	}
	s.recordPlainCompletion(x, response)
	answer.write(x.writer)
	return verdictAnswered
}

// recordHandover adds a handover to the trace.
func (x *exchange) recordHandover(peer Peer, status int, firstByte time.Duration, cause string) {
	x.trace.sends = append(x.trace.sends, sendTrace{
		Router: peer.Address, Status: status, FirstByteMS: float64(firstByte.Microseconds()) / 1000, Cause: cause,
	})
}
