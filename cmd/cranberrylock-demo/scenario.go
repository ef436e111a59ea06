package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Parameters of the scenario.
const (
	demoTokens       = 30 // tokens, and so frames, of each answer
	demoTokenDelay   = 20 * time.Millisecond
	demoKey          = "key-firm-a"                 // API key of an organisation of examples/demo.ini
	stepTimeout      = 20 * time.Second             // bounds each step
	domainOutLimit   = 3 * time.Second              // a failure domain that was taken out must get no new requests after this time
	domainOutTraffic = 5 * time.Second              // how long requests are sent after a failure domain was taken out
	demoDomain       = crlid.Domain("montevideo-1") // the failure domain that is taken out
	framesBeforeStop = 5                            // frames of an answer that arrive before its daemon is stopped
)

// scenario is the state that later steps need from earlier ones.
type scenario struct {
	*fleet
	offset           crlid.Offset    // offset of the configuration in force
	content          []byte          // file of that configuration
	session          string          // token of the session that continueSession opened
	version          crlid.Version   // version that answers the session's calls
	answeredRequests map[string]bool // identifiers of requests that were answered and must be billed
}

// step is one step of the scenario, which checks its own result.
type step struct {
	title string // guarantee that the step shows
	run   func(ctx context.Context) error
}

// runScenario runs the steps in order and returns the first failure.
func (f *fleet) runScenario(ctx context.Context) error {
	s := &scenario{fleet: f, content: f.environment.Content, answeredRequests: make(map[string]bool)}
	steps := []step{
		{"the configuration is in force at every daemon", s.applyInitial},
		{"an idempotent request gets a complete streamed answer", s.streamAnswer},
		{"a session keeps its version when another daemon answers", s.continueSession},
		{"a call of the service filing, sent twice under one idempotency key, runs once", s.fileTwice},
		{"a call of a session is refused, and runs nothing, once its version is withdrawn", s.withdrawVersion},
		{"a failure domain taken out of service gets no new requests after 3 s", s.takeDomainOut},
		{"an answer is resumed at another daemon after the one that streamed it was stopped", s.resumeAnswer},
		{"each request is billed once", s.checkBills},
	}
	for i, step := range steps {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step.run(stepCtx)
		cancel()
		if err != nil {
			return fmt.Errorf("step %d, %s: %w", i+1, step.title, err)
		}
		fmt.Printf("ok %d  %s\n", i+1, step.title)
	}
	fmt.Printf("%d steps passed\n", len(steps))
	return nil
}

// applyInitial publishes the first configuration.
func (s *scenario) applyInitial(ctx context.Context) error {
	s.offset = crlid.NoOffset
	return s.apply(ctx, s.content)
}

// apply publishes a configuration, with the one that the scenario applied last as its base, and waits until every daemon has
// it in force.
func (s *scenario) apply(ctx context.Context, content []byte) error {
	offset, err := s.publish(ctx, s.offset, content)
	if err != nil {
		return err
	}
	s.offset, s.content = offset, content
	return retry(ctx, func() error { return s.checkInForce(ctx, offset) })
}

// streamAnswer checks that an answer is streamed completely.
func (s *scenario) streamAnswer(ctx context.Context) error {
	answer, err := s.chat(ctx, s.daemons[0], "auto", "")
	if err != nil {
		return err
	}
	return s.checkComplete(answer)
}

// checkComplete checks that every frame of an answer arrived exactly once, in order, and belongs to its request.
func (s *scenario) checkComplete(a answer) error {
	if len(a.texts) != demoTokens || !a.complete {
		return fmt.Errorf("answer has %d frames (complete %t), want %d", len(a.texts), a.complete, demoTokens)
	}
	for i, text := range a.texts {
		if want := fmt.Sprintf("%s-%d ", a.request, i+1); text != want {
			return fmt.Errorf("frame %d is %q, want %q", i+1, text, want)
		}
	}
	s.answeredRequests[a.request] = true
	return nil
}

// continueSession opens a session at one daemon and checks that another daemon answers its next call with the same version.
func (s *scenario) continueSession(ctx context.Context) error {
	first, err := s.chat(ctx, s.daemons[0], "drafter-2", "")
	if err != nil {
		return err
	}
	second, err := s.chat(ctx, s.daemons[1], "auto", first.session)
	if err != nil {
		return err
	}
	if first.version != "drafter-2" || second.version != first.version {
		return fmt.Errorf("the session began on version %s and continued on version %s", first.version, second.version)
	}
	s.session, s.version = second.session, second.version
	return errors.Join(s.checkComplete(first), s.checkComplete(second))
}

// fileTwice sends one request of a plain service to two daemons under the same idempotency key, and checks that it ran once.
func (s *scenario) fileTwice(ctx context.Context) error {
	var answers [2]struct {
		Number int `json:"number"`
	}
	for i := range answers {
		url := "http://" + s.daemons[i].Listen + "/v1/services/filing"
		header := http.Header{crlentry.HeaderIdempotencyKey: {"filing-1"}}
		if err := s.callJSON(ctx, http.MethodPost, url, header, struct{ Entry int }{1}, &answers[i]); err != nil {
			return err
		}
	}
	runs := 0
	for _, r := range s.environment.Platform.History.Runs() {
		if r.Key == "filing-1" {
			runs++
			s.answeredRequests[string(r.Request)] = true
		}
	}
	if runs != 1 || answers[0] != answers[1] {
		return fmt.Errorf("the filing ran %d times, want 1, and got the answers %v, want two equal ones", runs, answers)
	}
	return nil
}

// withdrawVersion withdraws the version of the session and checks that the session's next call is refused and that nothing runs
// on the version.
func (s *scenario) withdrawVersion(ctx context.Context) error {
	before := s.runsOf(s.version)
	content, err := setKey(s.content, "version "+string(s.version), "state", "withdrawn")
	if err != nil {
		return err
	}
	if err := s.apply(ctx, content); err != nil {
		return err
	}
	_, err = s.chat(ctx, s.daemons[2], "auto", s.session)
	var refused *refusedError
	if !errors.As(err, &refused) || refused.Code != crlentry.CodeVersionWithdrawn || refused.Ran != crlentry.RanNotRun {
		return fmt.Errorf("the session's next call got %w, want a refusal version-withdrawn, not-run", err)
	}
	if after := s.runsOf(s.version); after != before {
		return fmt.Errorf("version %s ran %d requests after it was withdrawn", s.version, after-before)
	}
	return nil
}

// runsOf returns how many requests the backend servers ran on a version.
func (s *scenario) runsOf(version crlid.Version) int {
	n := 0
	for _, r := range s.environment.Platform.History.Runs() {
		if r.Version == version {
			n++
		}
	}
	return n
}

// checkBills waits until the bills count exactly the answered requests.
func (s *scenario) checkBills(ctx context.Context) error {
	daemon := s.daemons[2]
	return retry(ctx, func() error {
		var summary crlbill.Summary
		if err := s.callJSON(ctx, http.MethodGet, "http://"+daemon.Admin+"/admin/bills", nil, nil, &summary); err != nil {
			return err
		}
		if summary.Requests != len(s.answeredRequests) {
			return fmt.Errorf("%d requests are billed, want %d", summary.Requests, len(s.answeredRequests))
		}
		return nil
	})
}
