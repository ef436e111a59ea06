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
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// cascadeHarness implements the interfaces around a cascade. Each version answers with its own name.
type cascadeHarness struct {
	broken       crlid.Version // version that fails every attempt
	rating       crlid.Quality // of every answer
	delay        time.Duration // time that the rating service takes
	outcomes     []crlcascade.Outcome
	delivered    string          // text of the delivered frames
	headVersions []crlid.Version // version of each delivered head
}

func (h *cascadeHarness) Plan(crlcascade.Request) (crlcascade.Plan, bool) { panic("not used") }
func (h *cascadeHarness) Learn(o crlcascade.Outcome)                      { h.outcomes = append(h.outcomes, o) }

func (h *cascadeHarness) Pick(crlbalance.Request) (crlid.Server, bool) { return "s", true }
func (h *cascadeHarness) Started(crlid.Server)                         {}
func (h *cascadeHarness) Reported(crlid.Server, int)                   {}
func (h *cascadeHarness) Finished(crlbalance.Result)                   {}

func (h *cascadeHarness) Acquire(context.Context, crlconfig.Server) (crlpermit.Permit, bool) {
	return testPermit(), true
}
func (h *cascadeHarness) Answered(crlid.Server, crlid.Boot) {}
func (h *cascadeHarness) Done(crlpermit.Report)             {}

func (h *cascadeHarness) Rate(ctx context.Context, _ crlplatform.RatingRequest) (crlid.Quality, error) {
	if crlclock.Sleep(ctx, h.delay); ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return h.rating, nil
}

func (h *cascadeHarness) Call(context.Context, crlengine.ServiceAttempt) (crlengine.ServiceAnswer, error) {
	return crlengine.ServiceAnswer{}, errors.New("not used")
}

func (h *cascadeHarness) Open(_ context.Context, a crlengine.Attempt) (*crlengine.Answer, error) {
	if a.Version == h.broken {
		return nil, &crlengine.Error{Server: a.Server, Fault: crlengine.FaultFailed, Status: 500}
	}
	var frames iter.Seq2[crlengine.Frame, error] = func(yield func(crlengine.Frame, error) bool) {
		_ = yield(crlengine.Frame{Number: 1, Text: string(a.Version)}, nil) &&
			yield(crlengine.Frame{Number: 2, Last: true, Usage: crlengine.Usage{Completion: 10}}, nil)
	}
	return &crlengine.Answer{Version: a.Version, Stream: "x", Frames: frames, Close: func() {}}, nil
}

func (h *cascadeHarness) Head(head Head) error {
	h.headVersions = append(h.headVersions, head.Version)
	return nil
}

func (h *cascadeHarness) Frame(frame crlengine.Frame) error {
	h.delivered += frame.Text
	return nil
}

// run answers one request with a cascade of the versions cheap and good.
func (h *cascadeHarness) run(t *testing.T) (*exchange, *Refusal) {
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
			Organisations: map[crlid.Organisation]crlconfig.Organisation{
				"o": {ID: "o", Versions: map[crlid.Version]bool{"cheap": true, "good": true}},
			},
			Versions: map[crlid.Version]crlconfig.Version{
				"cheap": {ID: "cheap", CostPerToken: 1}, "good": {ID: "good", CostPerToken: 10},
			},
			Domains: map[crlid.Domain]crlconfig.Domain{"d": {}},
			Servers: map[crlid.Server]crlconfig.Server{"s": {ID: "s", Domain: "d"}},
		}
	})
	s := NewService(ServiceConfig{
		Snapshots: snapshots, Sealer: sealer, Permits: h, Planner: h, Balancer: h, Engines: h, Rater: h, Bills: discardBiller{},
		Limits: Limits{Freshness: time.Hour, Attempts: 2, Rating: time.Second},
	})
	x := s.newExchange(Call{Request: "r", Body: []byte(`{}`)}, h)
	x.organisation = x.snapshot.Configuration.Organisations["o"]
	x.plan = crlcascade.Plan{First: "cheap", Second: "good", Threshold: 0.8}
	x.version = "cheap"
	return x, s.answerPlan(t.Context(), x)
}

func TestCascadeDeliversOneAnswerAndBillsBoth(t *testing.T) {
	for name, c := range map[string]struct {
		harness   cascadeHarness
		delivered string
		cost      crlid.MicroCost
	}{
		"first is accepted":              {cascadeHarness{rating: 0.8}, "cheap", 10},
		"first is poor":                  {cascadeHarness{rating: 0.7}, "good", 110},
		"rating is late":                 {cascadeHarness{rating: 0.9, delay: time.Minute}, "good", 110},
		"first fails":                    {cascadeHarness{broken: "cheap"}, "good", 100},
		"first is poor and second fails": {cascadeHarness{rating: 0.7, broken: "good"}, "cheap", 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := c.harness
				x, refusal := h.run(t)
				if refusal != nil {
					t.Fatal(refusal)
				}
				if h.delivered != c.delivered || len(h.headVersions) != 1 || string(h.headVersions[0]) != c.delivered {
					t.Errorf("delivered %q with heads of %v, want one answer of %s", h.delivered, h.headVersions, c.delivered)
				}
				bill := x.finalBill()
				if bill.Cost != c.cost || string(bill.Version) != c.delivered {
					t.Errorf("bill %+v, want cost %d for %s", bill, c.cost, c.delivered)
				}
			})
		})
	}
}

func TestLateRatingIsReportedToThePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := cascadeHarness{rating: 0.9, delay: time.Minute}
		if _, refusal := h.run(t); refusal != nil {
			t.Fatal(refusal)
		}
		if len(h.outcomes) == 0 || !h.outcomes[0].RatingFailed {
			t.Errorf("planner was notified of %+v, want a failed rating first", h.outcomes)
		}
	})
}
