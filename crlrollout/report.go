package crlrollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Report carries samples to another daemon: those of the daemon that sends it, and those that it received from others.
type Report struct {
	Rollouts []RolloutReport `json:"rollouts"`
}

// RolloutReport holds samples of one roll-out.
type RolloutReport struct {
	Service crlid.Service `json:"service"`
	OrderReference
	ElapsedMS int64          `json:"elapsed-ms,omitempty"` // since the order was read first, as far as the sender knows; earlier versions state none
	Origins   []OriginReport `json:"origins"`
}

// OrderReference names an order in messages by its position. Daemons of earlier versions state no era.
type OrderReference struct {
	Order crlid.Offset `json:"order"`
	Era   *crlid.Era   `json:"era,omitempty"`
}

func referTo(order Order) OrderReference {
	era := order.Position.Era
	return OrderReference{Order: order.Position.Offset, Era: &era}
}

// isTo reports whether the reference names an order. One without an era may name an order of any.
func (r OrderReference) isTo(order Order) bool {
	era := order.Position.Era
	if r.Era != nil {
		era = *r.Era
	}
	return order.Position == crlid.Position{Era: era, Offset: r.Order}
}

// equal reports whether two references are the same.
func (r OrderReference) equal(other OrderReference) bool {
	return r.Order == other.Order && (r.Era == nil) == (other.Era == nil) && (r.Era == nil || *r.Era == *other.Era)
}

// OriginReport holds samples of one origin: all that are kept of those after number After, up to number UpTo.
type OriginReport struct {
	Origin  crlid.Incarnation `json:"origin"`
	After   int64             `json:"after"`
	UpTo    int64             `json:"up-to"`
	Samples []Sample          `json:"samples"`
}

// Reply answers a Report.
type Reply struct {
	Rollouts []RolloutReply `json:"rollouts"`
}

// RolloutReply states what a daemon knows about one roll-out.
type RolloutReply struct {
	Service crlid.Service `json:"service"`
	OrderReference
	// Received holds the number of the newest sample that the daemon has of each origin that the report named.
	Received map[crlid.Incarnation]int64 `json:"received"`
	Suspect  bool                        `json:"suspect"` // the target is suspect
	Open     bool                        `json:"open"`    // the target's answers don't suffice to complete the roll-out
	Bad      bool                        `json:"bad"`     // the target is marked bad
	// ElapsedMS is as in RolloutReport.
	ElapsedMS int64 `json:"elapsed-ms,omitempty"`
}

// Reporter sends the samples of a Tracker to another daemon in pieces. It must be used by one goroutine.
type Reporter struct {
	tracker  *Tracker
	received map[crlid.Service]RolloutReply // what the other daemon has of each roll-out
}

// NewReporter returns a Reporter that has sent nothing.
func NewReporter(tracker *Tracker) *Reporter {
	return &Reporter{tracker: tracker, received: make(map[crlid.Service]RolloutReply)}
}

// Reset prepares for reports to another daemon, which gets all samples that are kept.
func (r *Reporter) Reset() { clear(r.received) }

// Pending reports whether a roll-out is running whose outcome samples may still change.
func (r *Reporter) Pending() bool {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	for _, rollout := range r.tracker.rollouts {
		if rollout.assessable() {
			return true
		}
	}
	return false
}

// Next returns the report to send next; ok is false if no roll-out is running.
func (r *Reporter) Next(now crlclock.Instant) (report Report, ok bool) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, rollout := range t.rollouts {
		if !rollout.assessable() {
			continue
		}
		rollout.reportedAt = now
		known := r.received[service]
		if !known.isTo(rollout.order) {
			known.Received = nil
		}
		part := RolloutReport{Service: service, OrderReference: referTo(rollout.order), ElapsedMS: now.Sub(rollout.startedAt).Milliseconds()}
		for _, origin := range slices.Sorted(maps.Keys(rollout.logs)) {
			log, after := rollout.logs[origin], known.Received[origin]
			if after >= log.newest {
				continue
			}
			samples, upTo := log.after(after)
			part.Origins = append(part.Origins, OriginReport{Origin: origin, After: after, UpTo: upTo, Samples: samples})
		}
		report.Rollouts = append(report.Rollouts, part)
	}
	return report, len(report.Rollouts) > 0
}

// Learn applies the reply to a report. It returns the services whose targets it marks bad.
func (r *Reporter) Learn(reply Reply, now crlclock.Instant) (markedBad []crlid.Service) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, news := range reply.Rollouts {
		r.merge(news)
		rollout, ok := t.rollouts[news.Service]
		if ok && news.isTo(rollout.order) {
			rollout.suspectElsewhere, rollout.openElsewhere, rollout.repliedAt = news.Suspect, news.Open, now
			rollout.learnElapsed(time.Duration(news.ElapsedMS)*time.Millisecond, now)
		}
		if ok && news.Bad && news.isTo(rollout.order) && rollout.assessable() {
			rollout.verdict = verdictLearned
			markedBad = append(markedBad, news.Service)
		}
	}
	return markedBad
}

// merge adds what a reply states as received to what is known.
func (r *Reporter) merge(news RolloutReply) {
	known := r.received[news.Service]
	if !known.equal(news.OrderReference) || known.Received == nil {
		known = RolloutReply{OrderReference: news.OrderReference, Received: make(map[crlid.Incarnation]int64)}
	}
	for origin, number := range news.Received {
		known.Received[origin] = number
	}
	r.received[news.Service] = known
}

// Receive adds the samples of another daemon's report to the assessments, and returns the reply and the services whose targets it
// marks bad. Each sample is added once, whichever way it comes.
func (t *Tracker) Receive(report Report, now crlclock.Instant) (reply Reply, markedBad []crlid.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range report.Rollouts {
		r, ok := t.rollouts[part.Service]
		if !ok || !part.isTo(r.order) {
			continue
		}
		r.learnElapsed(time.Duration(part.ElapsedMS)*time.Millisecond, now)
		news := RolloutReply{
			Service: part.Service, OrderReference: part.OrderReference, Received: make(map[crlid.Incarnation]int64, len(part.Origins)),
			ElapsedMS: now.Sub(r.startedAt).Milliseconds(),
		}
		for _, origin := range part.Origins {
			if t.receive(r, origin, now) {
				markedBad = append(markedBad, part.Service)
			}
			news.Received[origin.Origin] = r.log(origin.Origin).newest
		}
		t.updateClear(r, now)
		news.Suspect, news.Open = r.suspectSince != 0, r.clearSince == 0
		news.Bad = r.verdict != verdictOpen || r.tellsRolledBack()
		reply.Rollouts = append(reply.Rollouts, news)
	}
	return reply, markedBad
}

// receive adds the samples of one origin and reports whether the target is now marked bad. A report that does not continue what was
// received before is ignored: the reply tells its sender where to continue.
func (t *Tracker) receive(r *rollout, report OriginReport, now crlclock.Instant) (markedBad bool) {
	log := r.log(report.Origin)
	if !r.assessable() || report.After != log.newest || report.UpTo < report.After+int64(len(report.Samples)) {
		return false
	}
	for i, sample := range report.Samples {
		// The numbers of single samples don't matter, as long as they rise up to that of the last one.
		log.add(report.UpTo-int64(len(report.Samples)-1-i), sample)
		r.assessment.add(sample, now, r.servers)
	}
	log.newest = report.UpTo
	return t.judge(r, now)
}
