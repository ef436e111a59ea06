package crlpermit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
)

var epoch = time.Unix(1000, 0)

// finish grants and completes permits one by one with an outcome.
func finish(b *Limiter, times int, o Outcome) (cold bool) {
	o.Sent = true
	for range times {
		for _, n := range b.grant(1, "holder", 1, epoch.Add(time.Hour)) {
			cold = b.Return(PermitID{Term: 1, Number: n}, o, epoch) || cold
		}
	}
	return cold
}

func TestLimiterGrowsWithCompletionsAndTurnsColdAtOnce(t *testing.T) {
	usual := Outcome{Boot: "boot-1", Latency: 100 * time.Millisecond}
	for _, c := range []struct {
		name   string
		strike func(b *Limiter) bool
		cold   bool
	}{
		{"a new boot", func(b *Limiter) bool { return finish(b, 1, Outcome{Boot: "boot-2"}) }, true},
		{"one slow answer", func(b *Limiter) bool { return finish(b, 1, Outcome{Boot: "boot-1", Latency: time.Second}) }, false},
		{"three slow answers", func(b *Limiter) bool { return finish(b, 3, Outcome{Boot: "boot-1", Latency: time.Second}) }, true},
		{"three failures", func(b *Limiter) bool { return finish(b, 3, Outcome{Failed: true}) }, true},
	} {
		b := NewLimiter(Limits{Cold: 2, Warm: 8}, time.Time{})
		finish(b, 5, usual)
		if b.Warm() || b.limit != 4 {
			t.Fatalf("%s: limit %d after 5 completions, want 4", c.name, b.limit)
		}
		finish(b, 1, usual)
		if !b.Warm() {
			t.Fatalf("%s: not warm after 2+4 completions", c.name)
		}
		finish(b, minLatencySamples, usual)
		if cold := c.strike(b); cold != c.cold || b.Warm() == c.cold {
			t.Fatalf("%s: cold %t, warm %t", c.name, cold, b.Warm())
		}
		if want := 2; c.cold && b.limit != want {
			t.Fatalf("%s: limit %d", c.name, b.limit)
		}
	}
}

// TestBookOfANewHomeDatesAnUnknownBootByItsFirstAnswer is the pattern of a server that reboots after its home moved and
// before the new home heard of it: the new home's own age says nothing of the boot.
func TestLimiterOfANewHomeDatesAnUnknownBootByItsFirstAnswer(t *testing.T) {
	const coldTime, rebooted = 10 * time.Second, time.Second
	for _, c := range []struct {
		name  string
		learn func(b *Limiter, at time.Time)
	}{
		{"an answer begins", func(b *Limiter, at time.Time) { b.ObserveBoot("boot-2", at) }},
		{"an answer ends", func(b *Limiter, at time.Time) {
			n := b.grant(1, "holder", 1, at.Add(time.Hour))
			b.Return(PermitID{Term: 1, Number: n[0]}, Outcome{Sent: true, Boot: "boot-2"}, at)
		}},
	} {
		b := NewLimiter(Limits{Cold: 2, Warm: 8, ColdTime: coldTime}, epoch)
		c.learn(b, epoch.Add(rebooted))
		complete := func(at time.Time) {
			for range 20 {
				for _, n := range b.grant(1, "holder", 1, at.Add(time.Hour)) {
					b.Return(PermitID{Term: 1, Number: n}, Outcome{Sent: true, Boot: "boot-2"}, at)
				}
			}
		}
		complete(epoch.Add(rebooted + coldTime - time.Millisecond))
		if b.limit != 2 {
			t.Errorf("%s: limit %d within the cold time, want 2", c.name, b.limit)
		}
		complete(epoch.Add(rebooted + coldTime))
		if !b.Warm() {
			t.Errorf("%s: not warm after the cold time", c.name)
		}
	}
}

func TestLimiterCountsPermitsOfAnUnreachableHolderUntilNoAttemptCanRun(t *testing.T) {
	b := NewLimiter(Limits{Cold: 1, Warm: 1}, time.Time{})
	until := epoch.Add(time.Minute)
	if n := b.grant(1, "a", 5, until); len(n) != 1 {
		t.Fatalf("a limit of 1 granted %d", len(n))
	}
	b.Expire(until.Add(-time.Nanosecond))
	if n := b.grant(1, "b", 1, until); len(n) != 0 {
		t.Fatal("a silent holder's permit was granted again")
	}
	b.Expire(until)
	if n := b.grant(1, "b", 1, until); len(n) != 1 {
		t.Fatal("a permit was counted for ever")
	}
}

func TestLimiterNeverGrantsBeyondItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Cold: rapid.IntRange(1, 3).Draw(t, "cold"), Warm: rapid.IntRange(1, 20).Draw(t, "warm")}
		b := NewLimiter(limits, time.Time{})
		var out []PermitID
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			if rapid.Bool().Draw(t, "ask") {
				before := b.InUse()
				for _, n := range b.grant(1, "holder", rapid.IntRange(1, 9).Draw(t, "want"), epoch) {
					out = append(out, PermitID{Term: 1, Number: n})
				}
				if b.InUse() > before && b.InUse() > limits.Warm {
					t.Fatalf("%d out of a warm limit of %d", b.InUse(), limits.Warm)
				}
				if !b.Warm() && b.InUse() > before+1 {
					t.Fatalf("a cold server got %d permits at once", b.InUse()-before)
				}
			} else if len(out) > 0 {
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				boot := rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "boot")
				before := b.InUse()
				b.Return(out[i], Outcome{Sent: true, Boot: crlid.Boot(boot)}, epoch)
				b.Return(out[i], Outcome{Sent: true}, epoch)
				if b.InUse() != before-1 {
					t.Fatalf("a permit given back twice freed %d", before-b.InUse())
				}
				out = append(out[:i], out[i+1:]...)
			}
		}
	})
}

func TestLimiterCountsAnIncompleteAttemptUntilTheServerNoticed(t *testing.T) {
	b := NewLimiter(Limits{Cold: 1, Warm: 1}, time.Time{})
	n := b.grant(1, "a", 1, epoch.Add(time.Minute))
	b.Return(PermitID{Term: 1, Number: n[0]}, Outcome{Sent: true, Incomplete: true}, epoch)
	b.Expire(epoch.Add(abortNoticeTime - time.Nanosecond))
	if b.InUse() != 1 {
		t.Fatal("freed before the server can have noticed")
	}
	b.Expire(epoch.Add(abortNoticeTime))
	if b.InUse() != 0 {
		t.Fatal("counted after the server has noticed")
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
		t.Errorf("permits of %v are revoked, want those of a", revoke)
	}
	if home.Limiter(server).Warm() {
		t.Error("the server is still warm")
	}
	if revoke := home.Return(began, epoch); len(revoke) != 0 {
		t.Errorf("the same boot again revokes the permits of %v", revoke)
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
			t.Errorf("with %s of the lease left: %+v, want %d permits", c.left, grant, c.want)
		}
	}
}
