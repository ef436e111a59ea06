package crlfleet

import (
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// TestServersOfAnOldCopyRankAfterThoseThatAnswer guards against requests that reach a server long after it has left, because this daemon has no newer copy
// of the entries, and against requests that are refused for that reason.
func TestServersOfAnOldCopyRankAfterThoseThatAnswer(t *testing.T) {
	const bound = 3 * time.Second
	for _, test := range []struct {
		name     string
		age      time.Duration // of the entries' confirmation
		answered time.Duration // how long ago the request was sent that the busy server answered, 0 for none
		exclude  crlid.Server
		want     crlid.Server
	}{
		{name: "confirmed", age: bound, answered: time.Second, want: "idle"},
		{name: "too old", age: bound + 1, answered: time.Second, want: "busy"},
		{name: "too old, answered long ago", age: bound + 1, answered: bound + 1, want: "idle"},
		{name: "too old, none answered", age: time.Minute, want: "idle"},
		{name: "too old, the one that answered was tried", age: time.Minute, answered: time.Second, exclude: "busy", want: "idle"},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := crlclock.Instant(time.Hour)
			start := now
			f := New(Config{Domain: "d", Daemons: func() int { return 1 }, Random: func() float64 { return 0 }, Now: func() crlclock.Instant { return now }})
			all := func(crlid.Version) bool { return true }
			need := Need{Service: "s", Allows: all, Prefers: all, Work: 0.1}
			f.Announce(Entry{Server: "busy", Service: "s", Domain: "d"}, now)
			if test.answered > 0 {
				p, err := f.Pick(need)
				if err != nil {
					t.Fatal(err)
				}
				p.RecordStatement(Statement{})
				p.Done(Result{Outcome: OutcomeAnswered})
				now = start.Add(test.answered)
			}
			f.Announce(Entry{Server: "idle", Service: "s", Domain: "d"}, now)
			f.servers["idle"].newVersionUntil = 0
			f.servers["busy"].pendingWork = 1
			f.LimitEntryAge(func() crlclock.Instant { return now.Add(-test.age) }, bound)
			need.Exclude = map[crlid.Server]bool{test.exclude: true}
			if p, err := f.Pick(need); err != nil || p.Server != test.want {
				t.Errorf("picked %v, error %v, want %s", p, err, test.want)
			}
		})
	}
}
