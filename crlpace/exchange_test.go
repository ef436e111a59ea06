package crlpace

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

var _ crlrelay.Exchange = (*Estimator)(nil)

// teach lets an estimator observe prompts of the large model at a rate for a time factor of 1.
func teach(e *Estimator, rate float64) {
	for i := range 100 {
		prompt := 5000 + 370*i%30_000
		e.ObserveFirstEvent(testKey, "s", Work{Prompt: crlid.Tokens(prompt)}, Load{}, time.Duration((0.04+3*float64(prompt)/rate)*float64(time.Second)))
	}
}

func checkRate(t *testing.T, name string, e *Estimator, want float64) {
	t.Helper()
	if rate := 3 * e.PromptRate(testKey); math.Abs(rate/want-1) > 0.05 {
		t.Errorf("%s: rate is %.0f, want %.0f", name, rate, want)
	}
}

// Guards against routers that start or send no requests not getting what the others learned.
func TestFirstReplyBringsTheSumsOfTheSource(t *testing.T) {
	source, _ := newTestEstimator("source")
	follower, _ := newTestEstimator("follower")
	teach(source, 50_000)
	follower.Learn(source.Reply(follower.Request(true)))
	checkRate(t, "follower", follower, 50_000)
}

// Guards against sums that count again with each message, and those of a follower that come back to it as others'.
func TestRepeatedMessagesCountOnce(t *testing.T) {
	source, _ := newTestEstimator("source")
	follower, _ := newTestEstimator("follower")
	teach(follower, 50_000)
	teach(source, 30_000)
	request := follower.Request(true)
	weight := func(encoded json.RawMessage) float64 {
		_, r, ok := follower.decode(encoded, follower.config.Now())
		if !ok {
			t.Fatalf("message %s is not valid", encoded)
		}
		return r.models[testKey][promptWeight]
	}
	source.Reply(request) // settles the weights that depend on the estimates
	first, total := weight(source.Reply(request)), weight(source.Request(true))
	for range 20 {
		source.Reply(request)
	}
	if last := weight(source.Reply(request)); math.Abs(last/first-1) > 0.01 {
		t.Errorf("weight of the sums outside the follower's subtree went from %v to %v by repeated messages", first, last)
	}
	if last := weight(source.Request(true)); math.Abs(last/total-1) > 0.01 {
		t.Errorf("weight of all sums went from %v to %v by repeated messages", total, last)
	}
	if own := source.models[testKey].own.sums(source.models[testKey].fit, source.config.Now()); math.Abs(first/own[promptWeight]-1) > 0.01 {
		t.Errorf("reply has weight %v, want that of the source's own sums, %v", first, own[promptWeight])
	}
}

// Guards against the sums of a restarted follower or source being lost or kept for good, and against reports that outlive their daemon.
func TestRestarts(t *testing.T) {
	source, now := newTestEstimator("source")
	follower, _ := newTestEstimator("follower")
	teach(follower, 50_000)
	source.Reply(follower.Request(true))
	restarted, _ := newTestEstimator("follower-2")
	restarted.Learn(source.Reply(restarted.Request(true)))
	checkRate(t, "restarted follower", restarted, 50_000)
	other, _ := newTestEstimator("source-2")
	follower.Learn(other.Reply(follower.Request(true)))
	checkRate(t, "new source", other, 50_000)
	*now = now.Add(reportLifetime + time.Second)
	source.Reply(restarted.Request(true))
	if n := len(source.exchange.followers); n != 1 {
		t.Errorf("source keeps %d reports, want only that of the restarted follower", n)
	}
}

// Guards against a message that is malformed, implausible or of another version changing anything or stopping the exchange.
func TestBadMessagesAreDroppedAndCounted(t *testing.T) {
	message := func(version int, origin string, change func(*sums)) json.RawMessage {
		s := sums{promptWeight: 2, promptUnique: 2, promptSeconds: 1, uniqueUnique: 3, uniqueSeconds: 1}
		change(&s)
		return json.RawMessage(fmt.Sprintf(`{"version":%d,"origin":%q,"models":[{"service":"engine","model":"large","sums":%q}]}`, version, origin, s.encode()))
	}
	none := func(*sums) {}
	for name, bad := range map[string]json.RawMessage{
		"no JSON": json.RawMessage("{"), "another type": json.RawMessage("[1]"), "another version": message(2, "b", none),
		"no origin": message(1, "", none), "own origin": message(1, "a", none),
		"short sums":         json.RawMessage(`{"version":1,"origin":"b","models":[{"service":"engine","sums":"AAAA"}]}`),
		"no number":          message(1, "b", func(s *sums) { s[promptWeight] = math.NaN() }),
		"infinite":           message(1, "b", func(s *sums) { s[promptSeconds] = math.Inf(1) }),
		"negative weight":    message(1, "b", func(s *sums) { s[promptWeight] = -1 }),
		"negative seconds":   message(1, "b", func(s *sums) { s[promptSeconds] = -1 }),
		"too much weight":    message(1, "b", func(s *sums) { s.scale(1e6) }),
		"impossible squares": message(1, "b", func(s *sums) { s[uniqueUnique] = 0.5 }),
		"too long":           message(1, "b", func(s *sums) { s[promptSeconds] = 1e5 }),
	} {
		e, _ := newTestEstimator("a")
		before := e.PromptRate(testKey)
		if reply := e.Reply(bad); reply != nil {
			t.Errorf("%s: got reply %s", name, reply)
		}
		e.Learn(bad)
		if e.Dropped() != 2 || e.PromptRate(testKey) != before {
			t.Errorf("%s: dropped %d messages, want 2; rate went from %v to %v", name, e.Dropped(), before, e.PromptRate(testKey))
		}
	}
	e, _ := newTestEstimator("a")
	if e.Reply(message(1, "b", none)); e.Dropped() != 0 {
		t.Error("dropped a valid message")
	}
}

// Guards against a panic or an estimate out of bounds by any message.
func TestAnyMessageIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, _ := newTestEstimator("a")
		var s sums
		for i := range s {
			s[i] = rapid.Float64().Draw(t, "sum")
		}
		models := []modelSums{{Service: "engine", Model: "large", Sums: s.encode()}, {Service: "engine", Sums: rapid.String().Draw(t, "sums")}}
		encoded, err := json.Marshal(message{Version: messageVersion, Origin: "b", Models: models[:rapid.IntRange(1, 2).Draw(t, "models")]})
		if err != nil {
			t.Fatal(err)
		}
		e.Learn(encoded)
		e.Reply(encoded)
		if rate := e.PromptRate(testKey); !(rate > 100 && rate < 1e8) {
			t.Fatalf("rate is %v", rate)
		}
	})
}

// Guards against messages that grow with the number of requests or of daemons.
func TestMessagesAreSmall(t *testing.T) {
	f := newFleet(83, 1)
	f.rate = 56_600
	f.run(5 * time.Second)
	for _, encoded := range []json.RawMessage{f.routers[1].Request(true), f.routers[0].Reply(f.routers[1].Request(true))} {
		if len(encoded) > 600 {
			t.Errorf("message has %d bytes, want at most 600", len(encoded))
		}
	}
	if unchanged := f.routers[1].Request(false); len(unchanged) > 100 {
		t.Errorf("unchanged message has %d bytes, want at most 100", len(unchanged))
	}
}

// Guards against messages of daemons that forward no requests to engines.
func TestNothingIsExchangedWithoutEngines(t *testing.T) {
	e := New(Config{Self: "a", Now: func() crlclock.Instant { return crlclock.Instant(time.Hour) }})
	if e.Pending() || e.Request(false) != nil || e.Reply(nil) != nil {
		t.Error("a daemon without engines exchanges messages")
	}
}
