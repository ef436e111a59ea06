package crlpace

import "github.com/cranberrylock/cranberrylock/crlclock"

// promptTime is an observed time to the first event.
type promptTime struct {
	unique, shared float64 // prompt tokens
	server         *slowness
	short          bool // whether the prompt is shorter than LongPrompt
	seconds        float64
	at             crlclock.Instant
}

// recentTimes is the number of times to the first event that are kept of long prompts, and of shorter ones.
const recentTimes = 64

// observations holds what this daemon observed of one key. The newest times to the first event are kept singly, as their weights
// depend on the fit and on the speeds of the servers, which change most when little is known.
type observations struct {
	speeds      *speeds
	long, short recent
	older       decaying // those that are no longer kept singly, and the times per token
}

// recent is a ring of the newest times.
type recent struct {
	times []promptTime
	next  int // index of the oldest time of a full ring
}

// addPrompt records a time. The oldest one that is kept singly gets its final weight from f.
func (o *observations) addPrompt(p promptTime, f fit, now crlclock.Instant) {
	ring := &o.long
	if p.short {
		ring = &o.short
	}
	if len(ring.times) < recentTimes {
		ring.times = append(ring.times, p)
		return
	}
	oldest := &ring.times[ring.next]
	o.older.add(f.promptSample(oldest, o.speeds.of(oldest.server), decayFactor(now.Sub(oldest.at), decayTime)), now)
	*oldest = p
	ring.next = (ring.next + 1) % recentTimes
}

// sums returns the sums of all observations, with the weights that f gives to those that are kept singly.
func (o *observations) sums(f fit, now crlclock.Instant) sums {
	total := o.older.at(now)
	for _, ring := range []*recent{&o.long, &o.short} {
		for i := range ring.times {
			p := &ring.times[i]
			sample := f.promptSample(p, o.speeds.of(p.server), decayFactor(now.Sub(p.at), decayTime))
			total.add(&sample)
		}
	}
	return total
}
