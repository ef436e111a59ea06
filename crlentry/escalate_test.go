package crlentry

import (
	"context"
	"errors"
	"iter"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbalance"
	"github.com/cranberrylock/cranberrylock/crlcascade"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// cascadeWorld stands in for everything around a cascade; a version answers with its own name.
type cascadeHarness struct {
	broken   crlid.Version
	rating   crlid.Quality
	delay    time.Duration // delay is how long the rating service takes.
	outcomes []crlcascade.Outcome
	shown    string
	versions []crlid.Version
}

func (w *cascadeHarness) Plan(crlcascade.Request) (crlcascade.Plan, bool) { panic("not used") }
func (w *cascadeHarness) Learn(o crlcascade.Outcome)                      { w.outcomes = append(w.outcomes, o) }

func (w *cascadeHarness) Pick(crlbalance.Request) (crlid.Server, bool) { return "s", true }
func (w *cascadeHarness) Started(crlid.Server)                         {}
func (w *cascadeHarness) Reported(crlid.Server, int)                   {}
func (w *cascadeHarness) Finished(crlbalance.Result)                   {}

func (w *cascadeHarness) Acquire(context.Context, crlconfig.Server) (crlpermit.Permit, bool) {
	return testPermit(), true
}
func (w *cascadeHarness) Answered(crlid.Server, crlid.Boot) {}
func (w *cascadeHarness) Done(crlpermit.Report)             {}

func (w *cascadeHarness) Rate(ctx context.Context, _ crlplatform.RatingRequest) (crlid.Quality, error) {
	select {
	case <-time.After(w.delay):
		return w.rating, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (w *cascadeHarness) Call(context.Context, crlengine.ServiceAttempt) (crlengine.ServiceAnswer, error) {
	return crlengine.ServiceAnswer{}, errors.New("not used")
}

func (w *cascadeHarness) Open(_ context.Context, a crlengine.Attempt) (*crlengine.Answer, error) {
	if a.Version == w.broken {
		return nil, &crlengine.Error{Server: a.Server, Fault: crlengine.FaultFailed, Status: 500}
	}
	var frames iter.Seq2[crlengine.Frame, error] = func(yield func(crlengine.Frame, error) bool) {
		_ = yield(crlengine.Frame{Number: 1, Text: string(a.Version)}, nil) &&
			yield(crlengine.Frame{Number: 2, Last: true, Usage: crlengine.Usage{Completion: 10}}, nil)
	}
	return &crlengine.Answer{Version: a.Version, Stream: "x", Frames: frames, Close: func() {}}, nil
}

func (w *cascadeHarness) Head(head Head) error {
	w.versions = append(w.versions, head.Version)
	return nil
}

func (w *cascadeHarness) Frame(frame crlengine.Frame) error {
	w.shown += frame.Text
	return nil
}

// run answers one request by a cascade from the version cheap to the version good.
func (w *cascadeHarness) run(t *testing.T) (*exchange, *Refusal) {
	sealer, err := crlsession.NewSealer(crlsession.SealerConfig{
		Keys: map[crlsession.KeyID][]byte{"k": make([]byte, crlsession.KeyBytes)}, Newest: "k",
	})
	if err != nil {
		t.Fatal(err)
	}
	snapshots := crlsnapshot.NewHolder()
	snapshots.Update(func(s *crlsnapshot.Snapshot) {
		s.ConfirmedAt = time.Now()
		s.Configuration = &crlconfig.Configuration{
			Organisations: map[crlid.Organisation]crlconfig.Organisation{"o": {ID: "o", Versions: map[crlid.Version]bool{"cheap": true, "good": true}}},
			Versions:      map[crlid.Version]crlconfig.Version{"cheap": {ID: "cheap", CostPerToken: 1}, "good": {ID: "good", CostPerToken: 10}},
			Domains:       map[crlid.Domain]crlconfig.Domain{"d": {}},
			Servers:       map[crlid.Server]crlconfig.Server{"s": {ID: "s", Domain: "d"}},
		}
	})
	s := NewService(ServiceConfig{
		Snapshots: snapshots, Sealer: sealer, Permits: w, Planner: w, Balancer: w, Engines: w, Rater: w, Bills: discardBiller{},
		Limits: Limits{Freshness: time.Hour, Attempts: 2, Rating: time.Second},
	})
	x := s.newExchange(Call{Request: "r", Body: []byte(`{}`)}, w)
	x.organisation = x.snapshot.Configuration.Organisations["o"]
	x.plan = crlcascade.Plan{First: "cheap", Second: "good", Threshold: 0.8}
	x.version = "cheap"
	return x, s.answerPlan(t.Context(), x)
}

func TestCascadeDeliversOneAnswerAndBillsBoth(t *testing.T) {
	for name, c := range map[string]struct {
		world cascadeHarness
		shown string
		cost  crlid.MicroCost
	}{
		"first stands":           {cascadeHarness{rating: 0.8}, "cheap", 10},
		"first is poor":          {cascadeHarness{rating: 0.7}, "good", 110},
		"rating is late":         {cascadeHarness{rating: 0.9, delay: time.Minute}, "good", 110},
		"first breaks":           {cascadeHarness{broken: "cheap"}, "good", 100},
		"poor and second breaks": {cascadeHarness{rating: 0.7, broken: "good"}, "cheap", 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := c.world
				x, refusal := w.run(t)
				if refusal != nil {
					t.Fatal(refusal)
				}
				if w.shown != c.shown || len(w.versions) != 1 || string(w.versions[0]) != c.shown {
					t.Errorf("shown %q with heads of %v, want one answer of %s", w.shown, w.versions, c.shown)
				}
				bill := x.finalBill()
				if bill.Cost != c.cost || string(bill.Version) != c.shown {
					t.Errorf("bill %+v, want cost %d for %s", bill, c.cost, c.shown)
				}
			})
		})
	}
}

func TestLateRatingIsReportedToThePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := cascadeHarness{rating: 0.9, delay: time.Minute}
		if _, refusal := w.run(t); refusal != nil {
			t.Fatal(refusal)
		}
		if len(w.outcomes) == 0 || !w.outcomes[0].RatingFailed {
			t.Errorf("learned %+v, want a failed rating first", w.outcomes)
		}
	})
}
