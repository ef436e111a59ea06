package crlpermit

import (
	"testing"
	"time"
)

// TestApplyGrantReportsWhetherAPermitCanBeUsed guards against an endless loop: if ApplyGrant returns true and the client
// then finds no permit to take, the client asks the home again at once.
func TestApplyGrantReportsWhetherAPermitCanBeUsed(t *testing.T) {
	const life = time.Second
	for _, c := range []struct {
		name     string
		reported bool // a home of a later term asked for the held permits before the grant arrived
		grant    Grant
		took     time.Duration // time from the request to the arrival of the grant
		want     bool
	}{
		{name: "a permit", grant: Grant{Term: 1, Numbers: []uint64{1}, Life: life}, want: true},
		{name: "nothing", grant: Grant{Term: 1, Life: life}},
		{name: "a permit of an earlier term", reported: true, grant: Grant{Term: 1, Numbers: []uint64{1}, Life: life}},
		{name: "a permit that expired on its way", grant: Grant{Term: 1, Numbers: []uint64{1}, Life: life}, took: life},
	} {
		pool := NewPool(PoolConfig{Self: "a", MaxAttempt: time.Hour})
		ask := pool.Ask("engine", 1, 1)
		if c.reported {
			pool.ReportHeld(2, "engine")
		}
		now := epoch.Add(c.took)
		got := pool.ApplyGrant(ask, c.grant, epoch, now)
		_, taken, _ := pool.Take("engine", now)
		if got != c.want || taken != c.want {
			t.Errorf("%s: ApplyGrant returned %t and Take %t, want %t from both", c.name, got, taken, c.want)
		}
	}
}
