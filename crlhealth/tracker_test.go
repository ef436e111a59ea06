package crlhealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

var start = time.Unix(1_000_000, 0)

// newConfiguration returns a configuration with six servers and three versions of two models, and the given versions in
// addition. Its only class is "draft", with a limit of one second for the first token.
func newConfiguration(versions ...crlid.Version) *crlconfig.Configuration {
	c := &crlconfig.Configuration{
		Versions: make(map[crlid.Version]crlconfig.Version), Servers: make(map[crlid.Server]crlconfig.Server),
		Classes: map[crlid.Class]crlconfig.Class{"draft": {ID: "draft", FirstToken: time.Second}},
		Domains: map[crlid.Domain]crlconfig.Domain{"d": {}},
	}
	for _, id := range append(versions, "small-1", "large-1", "large-2") {
		c.Versions[id] = crlconfig.Version{ID: id, Model: crlid.Model(id[:5])}
	}
	for i := range 6 {
		s := crlconfig.Server{ID: crlid.Server(fmt.Sprintf("s%d", i)), Domain: "d", Versions: []crlid.Version{"large-1", "large-2"}}
		if i%2 == 0 {
			s.Versions = []crlid.Version{"small-1"}
		}
		c.Servers[s.ID] = s
	}
	return c
}

// newTestTracker returns a tracker that was configured at start.
func newTestTracker(origin crlid.Incarnation) *Tracker {
	tracker := NewTracker(Config{Origin: origin})
	tracker.Configure(newConfiguration(), start)
	return tracker
}

// observe feeds n copies of an event to the tracker. Attempts without a server are spread over the version's servers.
func observe(tracker *Tracker, n int, e Event, now time.Time) {
	servers := map[crlid.Version][]crlid.Server{"small-1": {"s0", "s2", "s4"}, "large-1": {"s1", "s3", "s5"}, "large-2": {"s1", "s3", "s5"}}
	e.Class = "draft"
	for i := range n {
		attempt := e
		if attempt.Server == "" && !e.Rated {
			attempt.Server = servers[e.Version][i%3]
		}
		tracker.Observe(attempt, now)
	}
}

func stage(tracker *Tracker, id crlid.Version) Stage { return tracker.versions[id].verdict.Stage }

func TestFailuresHoldAVersion(t *testing.T) {
	tracker := newTestTracker("a")
	observe(tracker, 300, Event{Version: "small-1"}, start)
	observe(tracker, 300, Event{Version: "large-1"}, start)
	observe(tracker, 12, Event{Version: "large-1", Failed: true}, start)
	if got := stage(tracker, "large-1"); got != StageHeld {
		t.Fatalf("stage after 12 failures is %v, want held", got)
	}
	if stage(tracker, "small-1") != StageFull || len(tracker.Suspects()) != 0 {
		t.Errorf("the failures of large-1 changed small-1 to %v or put servers on hold: %v", stage(tracker, "small-1"), tracker.Suspects())
	}
}

func TestFailuresOfOneServerDoNotHoldTheVersion(t *testing.T) {
	tracker := newTestTracker("a")
	observe(tracker, 300, Event{Version: "large-1"}, start)
	for range 20 {
		observe(tracker, 2, Event{Version: "large-1", Server: "s3"}, start)
		observe(tracker, 1, Event{Version: "large-1", Server: "s1", Failed: true}, start)
	}
	if !tracker.Suspects()["s1"] || stage(tracker, "large-1") != StageFull {
		t.Fatalf("suspects %v, stage %v, want s1 alone and full", tracker.Suspects(), stage(tracker, "large-1"))
	}
	tracker.Advance(start.Add(firstHold))
	if len(tracker.Suspects()) != 0 {
		t.Error("the server is still on hold after firstHold")
	}
}

func TestSlowAnswersAndRatingsHoldAVersion(t *testing.T) {
	for name, bad := range map[string]Event{
		"slow":  {Version: "large-1", FirstToken: 2 * time.Second},
		"worse": {Version: "large-1", Rated: true, Rating: 0.7},
	} {
		tracker := newTestTracker("a")
		observe(tracker, 500, Event{Version: "large-1", FirstToken: time.Second / 2}, start)
		for range 300 {
			observe(tracker, 1, Event{Version: "large-1", Rated: true, Rating: 0.8 - 0.15}, start)
			observe(tracker, 1, Event{Version: "large-1", Rated: true, Rating: 0.8 + 0.15}, start)
		}
		if stage(tracker, "large-1") != StageFull {
			t.Fatalf("%s: a version without bad answers was held", name)
		}
		observe(tracker, 150, bad, start)
		if got := stage(tracker, "large-1"); got != StageHeld {
			t.Errorf("%s: stage %v, want held", name, got)
		}
	}
}

func TestVersionRampsUpAndIsHeldAgain(t *testing.T) {
	tracker, now := newTestTracker("a"), start
	observe(tracker, 300, Event{Version: "large-1"}, now)
	observe(tracker, 12, Event{Version: "large-1", Failed: true}, now)
	for _, want := range []float64{0.01, 0.05, 0.2, 0.5} {
		now = now.Add(firstHold)
		tracker.Advance(now)
		if got := tracker.Shares()["large-1"]; got != want {
			t.Fatalf("share %v, want %v", got, want)
		}
		tracker.Advance(now.Add(minStageTime))
		if got := tracker.Shares()["large-1"]; got != want {
			t.Fatalf("share changed to %v without an answer, want still %v", got, want)
		}
		observe(tracker, minStageAnswers, Event{Version: "large-1"}, now)
	}
	observe(tracker, 6, Event{Version: "large-1", Failed: true}, now)
	tracker.Advance(now.Add(firstHold))
	if got := tracker.Shares()["large-1"]; got != 0 {
		t.Errorf("share %v one firstHold after the second alarm, want still 0", got)
	}
}

func TestNewVersionStartsWithASmallShare(t *testing.T) {
	tracker := newTestTracker("a")
	tracker.Configure(newConfiguration("large-3"), start)
	if got := tracker.Shares(); len(got) != 1 || got["large-3"] != 0.01 {
		t.Errorf("shares %v, want 0.01 for large-3 alone", got)
	}
}

// TestHoldOverridesAConcurrentStep guards against a lost hold: a peer that has not received another daemon's alarm yet
// advances the version just after it, so that the peer's verdict is the later one.
func TestHoldOverridesAConcurrentAdvance(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	for _, tracker := range []*Tracker{a, b} {
		tracker.setStage(tracker.versions["large-1"], StageHalf, start)
	}
	a.setStage(a.versions["large-1"], StageHeld, start.Add(time.Second))
	b.setStage(b.versions["large-1"], StageFull, start.Add(2*time.Second))
	a.Merge(b.Message(), start)
	b.Merge(a.Message(), start)
	if stage(a, "large-1") != StageHeld || stage(b, "large-1") != StageHeld {
		t.Errorf("stages %v and %v, want held", stage(a, "large-1"), stage(b, "large-1"))
	}
}

func TestFirstMessageOfAnIncarnationIsBaseline(t *testing.T) {
	a, b := newTestTracker("a"), newTestTracker("b")
	observe(a, 100, Event{Version: "large-1"}, start)
	observe(a, 4, Event{Version: "large-1", Failed: true}, start)
	b.Merge(a.Message(), start)
	if v := b.versions["large-1"]; v.failures.score != 0 || v.failures.baseline.bad != 4 {
		t.Errorf("score %v and baseline %v, want the totals in the baseline", v.failures.score, v.failures.baseline)
	}
}

// TestMergeIsIdempotent checks that repeated and reordered messages give the same totals as the messages in order.
func TestMergeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newTestTracker("a")
		var messages []Message
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			source.Observe(Event{
				Version: "large-1", Class: "draft", Server: "s1", Failed: rapid.Bool().Draw(t, "failed"),
				Rated: rapid.Bool().Draw(t, "rated"), Rating: crlid.Quality(rapid.Float64Range(0, 1).Draw(t, "rating")),
			}, start)
			source.MarkAll()
			messages = append(messages, source.Message())
		}
		straight, shuffled := newTestTracker("b"), newTestTracker("b")
		for _, m := range messages {
			straight.Merge(m, start)
		}
		repeated := append(append([]Message{}, messages...), messages...)
		for _, m := range rapid.Permutation(repeated).Draw(t, "order") {
			shuffled.Merge(m, start)
		}
		equal := cmp.Equal(straight.origins["a"].versions, shuffled.origins["a"].versions, cmp.AllowUnexported(countKey{})) &&
			cmp.Equal(straight.origins["a"].servers, shuffled.origins["a"].servers)
		if !equal {
			t.Fatalf("totals %v, want %v", shuffled.origins["a"].versions, straight.origins["a"].versions)
		}
	})
}
