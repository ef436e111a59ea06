package crlpermit

import (
	"testing"
	"time"
)

// TestGrantedSaysWhatCanBeUsed provokes the grants after which a sender asked again without end.
func TestApplyGrantReportsWhetherAPermitCanBeUsed(t *testing.T) {
	const life = time.Second
	for _, c := range []struct {
		name  string
		told  bool // told is true when a home of a later term asked what is held.
		grant Grant
		took  time.Duration
		want  bool
	}{
		{name: "a permit", grant: Grant{Term: 1, Numbers: []uint64{1}, Life: life}, want: true},
		{name: "nothing", grant: Grant{Term: 1, Life: life}},
		{name: "a permit of an earlier term", told: true, grant: Grant{Term: 1, Numbers: []uint64{1}, Life: life}},
		{name: "a permit that expired on its way", grant: Grant{Term: 1, Numbers: []uint64{1}, Life: life}, took: life},
	} {
		w := NewPool(PoolConfig{Self: "a", MaxAttempt: time.Hour})
		ask := w.Ask("engine", 1, 1)
		if c.told {
			w.ReportHeld(2, "engine")
		}
		now := epoch.Add(c.took)
		got := w.ApplyGrant(ask, c.grant, epoch, now)
		_, taken, _ := w.Take("engine", now)
		if got != c.want || taken != c.want {
			t.Errorf("%s: reported %t and taken %t, want %t", c.name, got, taken, c.want)
		}
	}
}
