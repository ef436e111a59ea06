package crlrouter

import (
	"testing"
	"time"
)

// TestServersArePolledWithinTheBound shows that a shorter bound on leaving servers shortens the pause, and that a longer one
// doesn't make a fresh proof look like an outage.
func TestServersArePolledWithinTheBound(t *testing.T) {
	for _, c := range []struct{ drain, want time.Duration }{
		{0, 700 * time.Millisecond},
		{2 * time.Second, 700 * time.Millisecond},
		{time.Second, 350 * time.Millisecond},
		{3 * time.Second, 800 * time.Millisecond},
		{time.Minute, 800 * time.Millisecond},
	} {
		got := Bounds{Drain: c.drain}.serversPause()
		if got != c.want {
			t.Errorf("bound %s: pause %s, want %s", c.drain, got, c.want)
		}
		if fresh := got + relayDelay; fresh >= outageThreshold {
			t.Errorf("bound %s: a proof of %s is fresh, an outage begins at %s", c.drain, fresh, outageThreshold)
		}
	}
}
