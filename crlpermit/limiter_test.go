package crlpermit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
)

var epoch = time.Unix(1000, 0)

// finish grants permits one by one, returns each with the outcome, and reports whether the server turned cold.
func finish(limiter *Limiter, times int, o Outcome) (cold bool) {
	o.Sent = true
	for range times {
		for _, n := range limiter.grant(1, "holder", 1, epoch.Add(time.Hour)) {
			cold = limiter.Return(PermitID{Term: 1, Number: n}, o, epoch) || cold
		}
	}
	return cold
}

func TestLimiterGrowsWithCompletionsAndTurnsColdAtOnce(t *testing.T) {
	usual := Outcome{Boot: "boot-1", Latency: 100 * time.Millisecond}
	for _, c := range []struct {
		name   string
		finish func(limiter *Limiter) bool
		cold   bool
	}{
		{"a new boot", func(limiter *Limiter) bool { return finish(limiter, 1, Outcome{Boot: "boot-2"}) }, true},
		{"one slow answer", func(limiter *Limiter) bool { return finish(limiter, 1, Outcome{Boot: "boot-1", Latency: time.Second}) }, false},
		{"three slow answers", func(limiter *Limiter) bool { return finish(limiter, 3, Outcome{Boot: "boot-1", Latency: time.Second}) }, true},
		{"three failures", func(limiter *Limiter) bool { return finish(limiter, 3, Outcome{Failed: true}) }, true},
	} {
		limiter := NewLimiter(Limits{Cold: 2, Warm: 8}, time.Time{})
		finish(limiter, 5, usual)
		if limiter.Warm() || limiter.limit != 4 {
			t.Fatalf("%s: limit %d after 5 completions, want 4", c.name, limiter.limit)
		}
		finish(limiter, 1, usual)
		if !limiter.Warm() {
			t.Fatalf("%s: not warm after 2+4 completions", c.name)
		}
		finish(limiter, minLatencySamples, usual)
		if cold := c.finish(limiter); cold != c.cold || limiter.Warm() == c.cold {
			t.Fatalf("%s: turned cold %t, warm %t, want %t and %t", c.name, cold, limiter.Warm(), c.cold, !c.cold)
		}
		if want := 2; c.cold && limiter.limit != want {
			t.Fatalf("%s: limit %d, want %d", c.name, limiter.limit, want)
		}
	}
}

// TestLimiterOfANewHomeDatesAnUnknownBootByItsFirstAnswer guards against a cold limit that ends too early. A server
// restarts after its home moved and before the new home observed its boot, so the age of the new home's limiter doesn't
// bound the age of the boot.
func TestLimiterOfANewHomeDatesAnUnknownBootByItsFirstAnswer(t *testing.T) {
	const coldTime, restart = 10 * time.Second, time.Second
	for _, c := range []struct {
		name    string
		observe func(limiter *Limiter, at time.Time)
	}{
		{"an answer begins", func(limiter *Limiter, at time.Time) { limiter.ObserveBoot("boot-2", at) }},
		{"an answer ends", func(limiter *Limiter, at time.Time) {
			n := limiter.grant(1, "holder", 1, at.Add(time.Hour))
			limiter.Return(PermitID{Term: 1, Number: n[0]}, Outcome{Sent: true, Boot: "boot-2"}, at)
		}},
	} {
		limiter := NewLimiter(Limits{Cold: 2, Warm: 8, ColdTime: coldTime}, epoch)
		c.observe(limiter, epoch.Add(restart))
		complete := func(at time.Time) {
			for range 20 {
				for _, n := range limiter.grant(1, "holder", 1, at.Add(time.Hour)) {
					limiter.Return(PermitID{Term: 1, Number: n}, Outcome{Sent: true, Boot: "boot-2"}, at)
				}
			}
		}
		complete(epoch.Add(restart + coldTime - time.Millisecond))
		if limiter.limit != 2 {
			t.Errorf("%s: limit %d within the cold time, want 2", c.name, limiter.limit)
		}
		complete(epoch.Add(restart + coldTime))
		if !limiter.Warm() {
			t.Errorf("%s: not warm after the cold time", c.name)
		}
	}
}

func TestLimiterCountsPermitsOfAnUnreachableHolderUntilNoAttemptCanRun(t *testing.T) {
	limiter := NewLimiter(Limits{Cold: 1, Warm: 1}, time.Time{})
	until := epoch.Add(time.Minute)
	if n := limiter.grant(1, "a", 5, until); len(n) != 1 {
		t.Fatalf("granted %d permits at a limit of 1", len(n))
	}
	limiter.Expire(until.Add(-time.Nanosecond))
	if n := limiter.grant(1, "b", 1, until); len(n) != 0 {
		t.Fatal("the permit of an unreachable holder was granted again before it expired")
	}
	limiter.Expire(until)
	if n := limiter.grant(1, "b", 1, until); len(n) != 1 {
		t.Fatal("a permit still counts as used after it expired")
	}
}

func TestLimiterNeverGrantsBeyondItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Cold: rapid.IntRange(1, 3).Draw(t, "cold"), Warm: rapid.IntRange(1, 20).Draw(t, "warm")}
		limiter := NewLimiter(limits, time.Time{})
		var granted []PermitID
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			if rapid.Bool().Draw(t, "ask") {
				before := limiter.InUse()
				for _, n := range limiter.grant(1, "holder", rapid.IntRange(1, 9).Draw(t, "want"), epoch) {
					granted = append(granted, PermitID{Term: 1, Number: n})
				}
				if limiter.InUse() > before && limiter.InUse() > limits.Warm {
					t.Fatalf("%d permits in use at a warm limit of %d", limiter.InUse(), limits.Warm)
				}
				if !limiter.Warm() && limiter.InUse() > before+1 {
					t.Fatalf("a cold server got %d permits at once", limiter.InUse()-before)
				}
			} else if len(granted) > 0 {
				i := rapid.IntRange(0, len(granted)-1).Draw(t, "which")
				boot := rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "boot")
				before := limiter.InUse()
				limiter.Return(granted[i], Outcome{Sent: true, Boot: crlid.Boot(boot)}, epoch)
				limiter.Return(granted[i], Outcome{Sent: true}, epoch)
				if limiter.InUse() != before-1 {
					t.Fatalf("a permit returned twice freed %d", before-limiter.InUse())
				}
				granted = append(granted[:i], granted[i+1:]...)
			}
		}
	})
}

func TestLimiterCountsAnIncompleteAttemptUntilTheServerNoticed(t *testing.T) {
	limiter := NewLimiter(Limits{Cold: 1, Warm: 1}, time.Time{})
	n := limiter.grant(1, "a", 1, epoch.Add(time.Minute))
	limiter.Return(PermitID{Term: 1, Number: n[0]}, Outcome{Sent: true, Incomplete: true}, epoch)
	limiter.Expire(epoch.Add(abortNoticeTime - time.Nanosecond))
	if limiter.InUse() != 1 {
		t.Fatal("permit freed before the server must have noticed the aborted attempt")
	}
	limiter.Expire(epoch.Add(abortNoticeTime))
	if limiter.InUse() != 0 {
		t.Fatal("permit still in use after the server must have noticed the aborted attempt")
	}
}

func TestHomeTurnsColdWhenAnAnswerOfANewBootBegins(t *testing.T) {
	const server = "engine"
	home := NewHome(HomeConfig{Lease: time.Hour, Guard: time.Hour, Expiry: time.Minute, MaxAttempt: time.Hour, ClockRate: 1})
	home.ApplyAssignment(Assignment{
		Term: 1, Holders: []crlid.Incarnation{"a"}, Servers: map[crlid.Server]Limits{server: {Cold: 1, Warm: 4}},
	}, epoch)
	home.HolderReported(1, server, "a", nil, epoch)
	home.Confirm(1, epoch)
	ask := Ask{Holder: "a", Server: server, Term: 1, Want: 4}
	for !home.Limiter(server).Warm() {
		ask.Sequence++
		grant := home.Grant(ask, epoch)
		ask.Answered = ask.Sequence
		for _, n := range grant.Numbers {
			home.Return(Returned{Server: server, PermitID: PermitID{Term: 1, Number: n}, Outcome: Outcome{Sent: true, Boot: "boot-1"}}, epoch)
		}
	}
	ask.Sequence++
	home.Grant(ask, epoch)
	began := Returned{Server: server, PermitID: PermitID{Number: bootOnlyNumber}, Outcome: Outcome{Boot: "boot-2"}}
	if revoke := home.Return(began, epoch); len(revoke) != 1 || revoke[0] != "a" {
		t.Errorf("permits to revoke are those of %v, want those of a", revoke)
	}
	if home.Limiter(server).Warm() {
		t.Error("the server is still warm after a new boot")
	}
	if revoke := home.Return(began, epoch); len(revoke) != 0 {
		t.Errorf("the same boot, reported again, revokes the permits of %v", revoke)
	}
}

func TestHomeGrantsNothingThatCannotBeUsed(t *testing.T) {
	const lease = time.Second
	for _, c := range []struct {
		left time.Duration
		want int
	}{{lease, 1}, {2 * minPermitLife, 1}, {minPermitLife / 2, 0}, {time.Nanosecond, 0}, {0, 0}} {
		home := NewHome(HomeConfig{Lease: lease, Guard: lease, Expiry: time.Minute, MaxAttempt: time.Hour, ClockRate: 1})
		home.ApplyAssignment(Assignment{
			Term: 1, Holders: []crlid.Incarnation{"a"}, Servers: map[crlid.Server]Limits{"engine": {Cold: 1, Warm: 1}},
		}, epoch)
		home.HolderReported(1, "engine", "a", nil, epoch)
		home.Confirm(1, epoch)
		grant := home.Grant(Ask{Holder: "a", Server: "engine", Term: 1, Sequence: 1, Want: 1}, epoch.Add(lease-c.left))
		if len(grant.Numbers) != c.want || grant.Lapsed != (c.want == 0) {
			t.Errorf("grant with %s of the lease left: %+v, want %d permits", c.left, grant, c.want)
		}
	}
}
