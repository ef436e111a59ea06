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

// The demo's answers, its caller and the bounds of its steps.
const (
	demoTokens       = 30
	demoTokenDelay   = 20 * time.Millisecond
	demoKey          = "key-firm-a"
	stepTimeout      = 20 * time.Second
	domainOutLimit   = 3 * time.Second // outWithin is how soon a failure domain taken out gets no new work.
	domainOutTraffic = 5 * time.Second // outWatched is how long the tour sends work after it took a domain out.
	demoDomain       = crlid.Domain("montevideo-1")
	framesBeforeStop = 5 // framesBefore is how many frames arrive before a daemon is stopped.
)

// tour is what the steps of the tour hand on to each other.
type scenario struct {
	*fleet
	offset           crlid.Offset // offset is that of the configuration in force.
	content          []byte
	session          string
	version          crlid.Version
	answeredRequests map[string]bool // billed holds the identifiers of requests that were answered.
}

// step is one part of the tour with its own check.
type step struct {
	title string
	run   func(ctx context.Context) error
}

// tour takes each step and returns the first failure.
func (f *fleet) runScenario(ctx context.Context) error {
	t := &scenario{fleet: f, content: f.site.Content, answeredRequests: make(map[string]bool)}
	steps := []step{
		{"the configuration is in force at every daemon", t.applyInitial},
		{"an idempotent request is streamed whole", t.streamAnswer},
		{"a session keeps its version over two daemons", t.continueSession},
		{"a filing sent twice with one key runs once", t.fileTwice},
		{"a withdrawn version refuses its session and runs nothing new", t.withdrawVersion},
		{"a failure domain taken out gets no new work after 3 s", t.takeDomainOut},
		{"an answer is resumed at another daemon after its own was stopped", t.resumeAnswer},
		{"each request is billed once", t.checkBills},
	}
	for i, s := range steps {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := s.run(stepCtx)
		cancel()
		if err != nil {
			return fmt.Errorf("step %d, %s: %w", i+1, s.title, err)
		}
		fmt.Printf("ok %d  %s\n", i+1, s.title)
	}
	fmt.Printf("%d steps passed\n", len(steps))
	return nil
}

func (t *scenario) applyInitial(ctx context.Context) error {
	t.offset = crlid.NoOffset
	return t.apply(ctx, t.content)
}

// apply puts content in force, based on the configuration that the tour applied last.
func (t *scenario) apply(ctx context.Context, content []byte) error {
	offset, err := t.publish(ctx, t.offset, content)
	if err != nil {
		return err
	}
	t.offset, t.content = offset, content
	return retry(ctx, func() error { return t.checkInForce(ctx, offset) })
}

func (t *scenario) streamAnswer(ctx context.Context) error {
	answer, err := t.chat(ctx, t.daemons[0], "auto", "")
	if err != nil {
		return err
	}
	return t.checkComplete(answer)
}

// checkWhole checks that every frame of an answer arrived once and belongs to its request.
func (t *scenario) checkComplete(a answer) error {
	if len(a.texts) != demoTokens || !a.complete {
		return fmt.Errorf("%d frames arrived (ended %t), want %d", len(a.texts), a.complete, demoTokens)
	}
	for i, text := range a.texts {
		if want := fmt.Sprintf("%s-%d ", a.request, i+1); text != want {
			return fmt.Errorf("frame %d is %q, want %q", i+1, text, want)
		}
	}
	t.answeredRequests[a.request] = true
	return nil
}

func (t *scenario) continueSession(ctx context.Context) error {
	first, err := t.chat(ctx, t.daemons[0], "drafter-2", "")
	if err != nil {
		return err
	}
	second, err := t.chat(ctx, t.daemons[1], "auto", first.session)
	if err != nil {
		return err
	}
	if first.version != "drafter-2" || second.version != first.version {
		return fmt.Errorf("the session began on %s and went on at %s", first.version, second.version)
	}
	t.session, t.version = second.session, second.version
	return errors.Join(t.checkComplete(first), t.checkComplete(second))
}

func (t *scenario) fileTwice(ctx context.Context) error {
	var answers [2]struct {
		Number int `json:"number"`
	}
	for i := range answers {
		url := "http://" + t.daemons[i].Listen + "/v1/services/filing"
		header := http.Header{crlentry.HeaderIdempotencyKey: {"filing-1"}}
		if err := t.callJSON(ctx, http.MethodPost, url, header, struct{ Entry int }{1}, &answers[i]); err != nil {
			return err
		}
	}
	runs := 0
	for _, r := range t.site.Platform.History.Runs() {
		if r.Key == "filing-1" {
			runs++
			t.answeredRequests[string(r.Request)] = true
		}
	}
	if runs != 1 || answers[0] != answers[1] {
		return fmt.Errorf("it ran %d times with the answers %v", runs, answers)
	}
	return nil
}

func (t *scenario) withdrawVersion(ctx context.Context) error {
	before := t.runsOf(t.version)
	content, err := setKey(t.content, "version "+string(t.version), "state", "withdrawn")
	if err != nil {
		return err
	}
	if err := t.apply(ctx, content); err != nil {
		return err
	}
	_, err = t.chat(ctx, t.daemons[2], "auto", t.session)
	var refused *refusedError
	if !errors.As(err, &refused) || refused.Code != crlentry.CodeVersionWithdrawn || refused.Ran != crlentry.RanNotRun {
		return fmt.Errorf("the session's next call got %w, want a refusal version-withdrawn, not-run", err)
	}
	if after := t.runsOf(t.version); after != before {
		return fmt.Errorf("version %s ran %d requests after it was withdrawn", t.version, after-before)
	}
	return nil
}

func (t *scenario) runsOf(version crlid.Version) int {
	n := 0
	for _, r := range t.site.Platform.History.Runs() {
		if r.Version == version {
			n++
		}
	}
	return n
}

func (t *scenario) checkBills(ctx context.Context) error {
	reader := t.daemons[2]
	return retry(ctx, func() error {
		var summary crlbill.Summary
		if err := t.callJSON(ctx, http.MethodGet, "http://"+reader.Admin+"/admin/bills", nil, nil, &summary); err != nil {
			return err
		}
		if summary.Requests != len(t.answeredRequests) {
			return fmt.Errorf("%d requests are billed, want %d", summary.Requests, len(t.answeredRequests))
		}
		return nil
	})
}
