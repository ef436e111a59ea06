package crlbill

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Periods and limits of a holdSender.
const (
	sendWindow        = 20 * time.Millisecond // time for which updates are collected before they are sent
	livenessPeriod    = 5 * time.Second       // longest time without a HoldRequest; well below peerTimeout
	failedPeerBackoff = 5 * time.Second       // time for which other peers are preferred to one that failed
	wantedHolders     = 2                     // peers that must hold a bill
	holdRetryDelay    = 10 * sendWindow       // pause before bills that not enough peers hold are sent again
	maxUnsentEntries  = 16 << 10              // limit on each list of the next HoldRequest
)

// holdSender asks two peers to hold the bills and open requests of this daemon that are not yet on the log.
type holdSender struct {
	config LedgerConfig

	mu        sync.Mutex             // guards next, waiters and uncounted
	next      HoldRequest            // updates since the last HoldRequest
	waiters   []chan struct{}        // closed once enough peers hold the bills of next
	uncounted map[crlid.Request]Bill // bills that the fold has not counted; they are sent again if a holder is lost

	nextChanged chan struct{} // receives a value when next has changed

	// The fields below are only accessed on the goroutine that calls run.
	domains     map[crlid.Daemon]crlid.Domain      // failure domains of the peers that have replied
	lastFailure map[crlid.Daemon]time.Time         // time of the failure, for the peers whose latest call failed
	holders     map[crlid.Daemon]crlid.Incarnation // last reply's incarnation of each peer that may hold bills or requests of this daemon
	holderLost  bool                               // one of the holders failed or restarted since the last requeueUncounted
}

func newHoldSender(config LedgerConfig) *holdSender {
	return &holdSender{
		config: config, nextChanged: make(chan struct{}, 1),
		domains: make(map[crlid.Daemon]crlid.Domain), lastFailure: make(map[crlid.Daemon]time.Time),
		holders: make(map[crlid.Daemon]crlid.Incarnation), uncounted: make(map[crlid.Request]Bill),
	}
}

// openRequest adds an open request to the next HoldRequest. The bill is the interrupted one of the request.
func (s *holdSender) openRequest(bill Bill) {
	s.update(func() { s.next.Open = appendBounded(s.next.Open, bill) })
}

// closeRequest adds to the next HoldRequest that an open request needs no bill.
func (s *holdSender) closeRequest(request crlid.Request) {
	s.update(func() { s.next.Closed = appendBounded(s.next.Closed, request) })
}

// requestHold adds a bill to the next HoldRequest. The channel is closed once enough peers hold the bill, and never if the list of
// bills is at its limit.
func (s *holdSender) requestHold(bill Bill) <-chan struct{} {
	done := make(chan struct{})
	s.update(func() {
		if len(s.next.Bills) < maxUnsentEntries {
			s.next.Bills = append(s.next.Bills, bill)
			s.waiters = append(s.waiters, done)
			if len(s.uncounted) < maxHeldBills {
				s.uncounted[bill.Request] = bill
			}
		}
	})
	return done
}

// dropCounted removes the bills that the fold has counted, as reported by the function countedComplete.
func (s *holdSender) dropCounted(countedComplete func(crlid.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.uncounted {
		if countedComplete(request) {
			delete(s.uncounted, request)
		}
	}
}

// requeueUncounted adds every bill that the fold has not counted to the next HoldRequest.
func (s *holdSender) requeueUncounted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued := make(map[crlid.Request]bool, len(s.next.Bills))
	for _, b := range s.next.Bills {
		queued[b.Request] = true
	}
	for request, bill := range s.uncounted {
		if !queued[request] {
			s.next.Bills = appendBounded(s.next.Bills, bill)
		}
	}
}

// appendBounded appends an element, unless the list is at its limit: then peers receive the element later or never.
func appendBounded[T any](list []T, element T) []T {
	if len(list) >= maxUnsentEntries {
		return list
	}
	return append(list, element)
}

// update applies a change of the next HoldRequest and notifies run, which then sends it.
func (s *holdSender) update(change func()) {
	s.mu.Lock()
	change()
	s.mu.Unlock()
	select {
	case s.nextChanged <- struct{}{}:
	default:
	}
}

// takeNext returns the next HoldRequest with its waiters, and replaces them by empty ones.
func (s *holdSender) takeNext() (HoldRequest, []chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request, waiters := s.next, s.waiters
	s.next, s.waiters = HoldRequest{}, nil
	request.From = s.config.Incarnation
	return request, waiters
}

// requeue adds the bills of a HoldRequest to the next one, because not enough peers hold them. Its open and closed requests are not
// sent again.
func (s *holdSender) requeue(request HoldRequest, waiters []chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next.Bills = append(request.Bills, s.next.Bills...)
	s.waiters = append(waiters, s.waiters...)
}

// run sends updates to peers, and a HoldRequest at least every livenessPeriod, until ctx ends.
func (s *holdSender) run(ctx context.Context) error {
	liveness := crlclock.NewTicker(livenessPeriod)
	defer liveness.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.nextChanged:
		case <-liveness.C:
			if s.holderLost {
				s.requeueUncounted()
			}
			s.holderLost = false
		}
		if crlclock.Sleep(ctx, sendWindow); ctx.Err() != nil {
			return ctx.Err()
		}
		s.sendNext(ctx)
	}
}

// sendNext sends the next HoldRequest. If not enough peers hold its bills, it adds them to the next one and waits holdRetryDelay.
func (s *holdSender) sendNext(ctx context.Context) {
	request, waiters := s.takeNext()
	if s.sendToPeers(ctx, request) {
		for _, done := range waiters {
			close(done)
		}
		return
	}
	if len(request.Bills) == 0 {
		return
	}
	s.requeue(request, waiters)
	if crlclock.Sleep(ctx, holdRetryDelay); ctx.Err() == nil {
		s.update(func() {})
	}
}

// sendToPeers sends a HoldRequest to one peer after the other until enough hold it, and reports whether enough do.
//
// Any further peers that may hold bills or requests of this daemon get only the closed requests, which also shows them that
// this daemon is running.
func (s *holdSender) sendToPeers(ctx context.Context, request HoldRequest) bool {
	held, candidates := 0, s.candidates()
	wanted := min(wantedHolders, len(candidates))
	for _, peer := range candidates {
		switch {
		case held < wanted:
			if s.sendToPeer(ctx, peer, request) {
				held++
			}
		case s.holders[peer] != "":
			s.sendToPeer(ctx, peer, HoldRequest{From: request.From, Closed: request.Closed})
		}
	}
	return held == wanted && wanted > 0
}

// sendToPeer sends a HoldRequest to a peer and reports whether the peer holds its content.
func (s *holdSender) sendToPeer(ctx context.Context, peer crlid.Daemon, request HoldRequest) bool {
	before := s.holders[peer]
	reply, err := s.config.HoldClient.Hold(ctx, peer, request)
	if err != nil {
		klog.V(1).Infof("bill: request to %s to hold %d bills and %d open requests failed: %v",
			peer, len(request.Bills), len(request.Open), err)
		s.lastFailure[peer] = time.Now()
		s.holderLost = s.holderLost || before != ""
		return false
	}
	s.holderLost = s.holderLost || before != "" && before != reply.Incarnation
	if before != "" || len(request.Open)+len(request.Bills) > 0 {
		s.holders[peer] = reply.Incarnation
	}
	delete(s.lastFailure, peer)
	s.domains[peer] = reply.Domain
	return reply.Held
}

// candidates returns the peers in order of preference: first those that are not known to be in the failure domain of this daemon,
// last those that have failed within failedPeerBackoff.
func (s *holdSender) candidates() []crlid.Daemon {
	peers := crljournal.Rendezvous(string(s.config.Incarnation), s.config.Peers())
	rank := func(peer crlid.Daemon) int {
		switch domain, known := s.domains[peer]; {
		case time.Since(s.lastFailure[peer]) < failedPeerBackoff:
			return 2
		case known && domain == s.config.Domain:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(peers, func(a, b crlid.Daemon) int { return rank(a) - rank(b) })
	return peers
}
