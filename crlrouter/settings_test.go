package crlrouter

import (
	"testing"
	"time"
)

// TestServersArePolledWithinTheBound checks that a shorter drain bound shortens the pause between reads of the servers'
// entries, and that a longer one doesn't make a normal gap between confirmations look like an outage.
func TestServersArePolledWithinTheBound(t *testing.T) {
	for _, c := range []struct{ drain, want time.Duration }{
		{0, 700 * time.Millisecond},
		{2 * time.Second, 700 * time.Millisecond},
		{time.Second, 350 * time.Millisecond},
		{3 * time.Second, 800 * time.Millisecond},
		{time.Minute, 800 * time.Millisecond},
	} {
		got := Bounds{ServerDrain: c.drain}.serversPause()
		if got != c.want {
			t.Errorf("drain bound %s: pause %s, want %s", c.drain, got, c.want)
		}
		if fresh := got + relayDelay; fresh >= outageThreshold {
			t.Errorf("drain bound %s: normal gap between confirmations %s, want below the outage threshold %s", c.drain, fresh, outageThreshold)
		}
	}
}
