package crldaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlbalance"
	"github.com/cranberrylock/cranberrylock/crlcascade"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlhealth"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// Methods that hand a peer the totals of this daemon.
const (
	methodHealth  crlpeer.Method = "merge-health"
	methodLearned crlpeer.Method = "merge-learned"
)

// Periods and bounds of the exchange between peers.
const (
	urgentSendInterval  = 100 * time.Millisecond // healthUrgent is the shortest time between messages after a failure.
	routineSendInterval = 5 * time.Second        // healthRoutine is the time between messages while all is well.
	maxPeersPerSend     = 16                     // healthPeers bounds the peers that get one message.
)

// merged is the empty reply to a message that was merged.
type mergeReply struct{}

// policy holds what the daemon learns and decides by itself; the control loop owns the book.
type policy struct {
	daemon   *Daemon
	balancer *observedBalancer
	tracker  *crlhealth.Tracker
	ejector  *crlbalance.Balancer
	planner  *observedPlanner
	urgent   chan struct{}

	configured *crlconfig.Configuration // configured is the one that the book has.
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

// observedBalancer hands the results of attempts to the health book.
type observedBalancer struct {
	*crlbalance.Balancer
	policy *policy
}

// Finished counts an attempt as closed and takes what it showed.
func (b *observedBalancer) Finished(result crlbalance.Result) {
	b.Balancer.Finished(result)
	b.policy.observe(crlhealth.Event{
		Version: result.Version, Class: result.Class, Server: result.Server,
		FirstToken: result.FirstToken, Failed: result.Failed,
	})
}

// observedPlanner hands ratings to the health book.
type observedPlanner struct {
	*crlcascade.Planner
	policy *policy
}

// Learn takes what an attempt taught; ratings after an escalation are of hard prompts and say nothing of a change.
func (p *observedPlanner) Learn(o crlcascade.Outcome) {
	p.Planner.Learn(o)
	if o.Rated && o.EscalatedFrom == "" {
		p.policy.observe(crlhealth.Event{Version: o.Version, Class: o.Class, Rated: true, Rating: o.Rating})
	}
}

// ratings returns this daemon's part of the ratings per second.
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

// observe hands an event to the control loop.
func (p *policy) observe(e crlhealth.Event) {
	// The loop takes tasks until the daemon ends, so this waits no longer than its queue.
	_ = p.daemon.loop.Post(context.Background(), func() {
		p.tracker.Observe(e, time.Now())
		if e.Failed || p.applyDecisions() {
			p.requestUrgentSend()
		}
	})
}

// configure takes a configuration that is new, or none before the first; it runs on the control loop.
func (p *policy) configure(c *crlconfig.Configuration) {
	if c == nil || c == p.configured {
		return
	}
	p.configured = c
	p.tracker.Configure(c, time.Now())
	p.applyDecisions()
}

func (p *policy) requestUrgentSend() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// publish puts the book's decisions in force and reports whether a version's share changed; it runs on the control loop.
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

// runPolicy sends totals to peers, soon after a failure and from time to time, until ctx ends.
func (d *Daemon) runExchange(ctx context.Context) error {
	routine := time.NewTicker(routineSendInterval)
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
		select {
		case <-time.After(urgentSendInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

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

// sendLearned hands peers what the planner learned.
func (d *Daemon) sendLearned(ctx context.Context) {
	m := d.policy.planner.Message()
	for _, address := range d.randomPeers() {
		go d.sendTotals(ctx, address, methodLearned, m)
	}
}

func (d *Daemon) sendTotals(ctx context.Context, address string, method crlpeer.Method, message any) {
	if err := d.config.Peers.Call(ctx, address, method, message, &mergeReply{}); err != nil {
		klog.V(2).Infof("policy: totals not sent: %v", err)
	}
}

// somePeers returns the addresses of a bounded number of random peers.
func (d *Daemon) randomPeers() []string {
	var addresses []string
	for _, address := range d.config.Settings.Peers {
		addresses = append(addresses, address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxPeersPerSend)]
}
