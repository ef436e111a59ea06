package crldaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlbalance"
	"github.com/cranberrylock/cranberrylock/crlcascade"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlhealth"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// Methods that send cumulative totals to a peer: health counts of versions and servers, and what the planner has learned.
const (
	methodHealth  crlpeer.Method = "merge-health"
	methodLearned crlpeer.Method = "merge-learned"
)

// Intervals and limits of the exchange of totals.
const (
	minSendInterval     = 100 * time.Millisecond // shortest time between two sends, also while failures request urgent ones
	routineSendInterval = 5 * time.Second        // time between two sends while nothing fails
	maxPeersPerSend     = 16                     // peers that receive the totals of one send
)

// mergeReply is the empty result of methodHealth and methodLearned.
type mergeReply struct{}

// policy decides, from observed outcomes, which backend servers are avoided and which share of new requests each version
// gets. It exchanges the observations with peers. The tracker is used only on the control loop; the balancer and the planner
// are safe for concurrent use.
type policy struct {
	daemon   *Daemon
	balancer *observedBalancer // chooses servers; wraps ejector
	tracker  *crlhealth.Tracker
	ejector  *crlbalance.Balancer // excludes the servers that the tracker suspects
	planner  *observedPlanner
	urgent   chan struct{} // capacity 1; holds a value while an urgent send is requested

	configured *crlconfig.Configuration // last configuration that was passed to the tracker
}

func (d *Daemon) newPolicy() {
	balancer := crlbalance.New(crlbalance.Config{Domain: d.config.Settings.Domain})
	d.policy = &policy{
		daemon: d, tracker: crlhealth.NewTracker(crlhealth.Config{Origin: d.incarnation}),
		ejector: balancer, urgent: make(chan struct{}, 1),
	}
	d.policy.planner = &observedPlanner{
		Planner: crlcascade.NewPlanner(crlcascade.Config{Origin: d.incarnation, RatingsPerSecond: d.ratingRate()}), policy: d.policy,
	}
	d.policy.balancer = &observedBalancer{Balancer: balancer, policy: d.policy}
	d.mux.Register(methodLearned, crlpeer.Typed(func(_ context.Context, m crlcascade.Message) (mergeReply, error) {
		d.policy.planner.Merge(m)
		return mergeReply{}, nil
	}))
	d.mux.Register(methodHealth, crlpeer.Typed(func(ctx context.Context, m crlhealth.Message) (mergeReply, error) {
		return mergeReply{}, d.loop.Do(ctx, func() {
			d.policy.tracker.Merge(m, time.Now())
			d.policy.applyDecisions()
		})
	}))
}

// observedBalancer is a balancer that also reports the results of attempts to the health tracker.
type observedBalancer struct {
	*crlbalance.Balancer
	policy *policy
}

// Finished passes the result of an ended attempt to the balancer and to the health tracker.
func (b *observedBalancer) Finished(result crlbalance.Result) {
	b.Balancer.Finished(result)
	b.policy.observe(crlhealth.Event{
		Version: result.Version, Class: result.Class, Server: result.Server,
		FirstToken: result.FirstToken, Failed: result.Failed,
	})
}

// observedPlanner is a planner that also reports ratings to the health tracker.
type observedPlanner struct {
	*crlcascade.Planner
	policy *policy
}

// Learn passes the outcome of an attempt to the planner, and a rating also to the health tracker. Ratings of attempts after an
// escalation are left out there: such prompts are harder than usual, so a low rating doesn't show that a version changed.
func (p *observedPlanner) Learn(o crlcascade.Outcome) {
	p.Planner.Learn(o)
	if o.Rated && o.EscalatedFrom == "" {
		p.policy.observe(crlhealth.Event{Version: o.Version, Class: o.Class, Rated: true, Rating: o.Rating})
	}
}

// ratingRate returns this daemon's share of the limit on ratings, in ratings per second, or 0 if answers are not rated.
func (d *Daemon) ratingRate() float64 {
	if d.config.Rater == nil {
		return 0
	}
	return float64(d.config.Settings.Limits.RatingRate) / float64(len(d.config.Settings.Peers)+1)
}

// newRater returns a client of the rating service, or nil when the settings name none.
func newRater(url string, client *http.Client) crlentry.Rater {
	if url == "" {
		return nil
	}
	return crlplatform.NewRatingClient(crlplatform.RatingClientConfig{URL: url, Client: client})
}

// observe passes an event to the tracker on the control loop. A failure requests an urgent send to peers, before which
// sendHealth applies the tracker's decisions. After any other event they are applied at once, and a send is requested only if
// the share of a version changed.
func (p *policy) observe(e crlhealth.Event) {
	// Without a deadline, as Post waits only while the loop's queue is full, and the loop runs until the daemon ends.
	_ = p.daemon.loop.Post(context.Background(), func() {
		p.tracker.Observe(e, time.Now())
		if e.Failed || p.applyDecisions() {
			p.requestUrgentSend()
		}
	})
}

// configure passes a configuration to the tracker, unless it is nil or the tracker already has it. It runs on the control loop.
func (p *policy) configure(c *crlconfig.Configuration) {
	if c == nil || c == p.configured {
		return
	}
	p.configured = c
	p.tracker.Configure(c, time.Now())
	p.applyDecisions()
}

// requestUrgentSend makes runExchange send soon. It doesn't wait, and has no effect if a send is already requested.
func (p *policy) requestUrgentSend() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// applyDecisions ejects the servers that the tracker suspects, and publishes the versions' shares of new requests in a
// snapshot. It reports whether a share changed. It runs on the control loop.
func (p *policy) applyDecisions() bool {
	for id := range p.tracker.Suspects() {
		p.ejector.Eject(id)
	}
	before, after := p.daemon.snapshots.Load().Shares, p.tracker.Shares()
	changed := len(before) != len(after)
	for id, share := range after {
		if old, ok := before[id]; !ok || old != share {
			klog.Infof("health: version %s gets %.0f%% of its new work", id, 100*share)
			changed = true
		}
	}
	if changed {
		p.daemon.snapshots.Update(func(s *crlsnapshot.Snapshot) { s.Shares = after })
	}
	return changed
}

// runExchange sends totals to peers until ctx ends: every routineSendInterval, and soon after requestUrgentSend, but never
// twice within minSendInterval.
func (d *Daemon) runExchange(ctx context.Context) error {
	routine := crlclock.NewTicker(routineSendInterval)
	defer routine.Stop()
	for {
		urgent := false
		select {
		case <-d.policy.urgent:
			urgent = true
		case <-routine.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := d.sendHealth(ctx, urgent); err != nil {
			return err
		}
		if crlclock.Sleep(ctx, minSendInterval); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// sendHealth sends health counts to random peers: those that changed if urgent, and otherwise all of them together with the
// planner's totals. It starts the calls and doesn't wait for them.
func (d *Daemon) sendHealth(ctx context.Context, urgent bool) error {
	var m crlhealth.Message
	err := d.loop.Do(ctx, func() {
		d.policy.tracker.Advance(time.Now())
		d.policy.applyDecisions()
		if !urgent {
			d.policy.tracker.MarkAll()
		}
		m = d.policy.tracker.Message()
	})
	if err != nil {
		return err
	}
	for _, address := range d.randomPeers() {
		go d.sendTotals(ctx, address, methodHealth, m)
	}
	if !urgent {
		d.sendLearned(ctx)
	}
	return nil
}

// sendLearned sends the planner's totals to random peers without waiting for the calls.
func (d *Daemon) sendLearned(ctx context.Context) {
	m := d.policy.planner.Message()
	for _, address := range d.randomPeers() {
		go d.sendTotals(ctx, address, methodLearned, m)
	}
}

// sendTotals calls a method of a peer. A failure is only logged: totals are cumulative, so that a later send makes
// up for it.
func (d *Daemon) sendTotals(ctx context.Context, address string, method crlpeer.Method, message any) {
	if err := d.config.Peers.Call(ctx, address, method, message, &mergeReply{}); err != nil {
		klog.V(2).Infof("policy: %s to peer at %s failed: %v", method, address, err)
	}
}

// randomPeers returns the addresses of at most maxPeersPerSend random peers of the settings.
func (d *Daemon) randomPeers() []string {
	var addresses []string
	for _, address := range d.config.Settings.Peers {
		addresses = append(addresses, address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxPeersPerSend)]
}
