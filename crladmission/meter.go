package crladmission

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// meterTime is the time constant of a meter. Rates follow a step in load within 2 s, and two requests a second still give an estimate.
const meterTime = 2 * time.Second

// minMeterTime is the shortest time over which a meter that was idle takes a rate. One amount alone would be an endless rate.
const minMeterTime = 500 * time.Millisecond

// meter measures a rate per second. The zero meter measures 0.
type meter struct {
	sum   float64 // of the amounts, each decayed by its age, as of at
	time  float64 // seconds since the first amount, decayed in the same way, as of at
	at    crlclock.Instant
	began bool
}

// decayed returns sum and time as of now.
func (m *meter) decayed(now crlclock.Instant) (sum, seconds float64) {
	if !m.began {
		return 0, 0
	}
	factor := math.Exp(-max(now.Sub(m.at), 0).Seconds() / meterTime.Seconds())
	return m.sum * factor, m.time*factor + meterTime.Seconds()*(1-factor)
}

func (m *meter) add(amount float64, now crlclock.Instant) {
	sum, seconds := m.decayed(now)
	m.sum, m.time, m.at, m.began = sum+amount, seconds, max(m.at, now), true
}

// rate returns the rate now.
func (m *meter) rate(now crlclock.Instant) float64 {
	sum, seconds := m.decayed(now)
	return sum / max(seconds, minMeterTime.Seconds())
}

// lastRate returns the rate when the newest amount was added. It doesn't decay while nothing is added.
func (m *meter) lastRate() float64 { return m.rate(m.at) }

// maxHeldGap bounds the time for which one observation counts in a heldRate, so that one after a quiet time changes little.
const maxHeldGap = 500 * time.Millisecond

// heldRate is the rate of a meter while the servers are busy. It is 0 until it has been measured.
type heldRate struct {
	rate float64
	at   crlclock.Instant // of the newest observation
}

// observe adds an amount to the meter. The held rate falls only while the servers are busy.
func (h *heldRate) observe(m *meter, amount float64, busy bool, now crlclock.Instant) {
	rate := m.rate(now) // The rate before the amount is unbiased, as amounts come at random times.
	if rate >= h.rate {
		h.rate = rate
	} else if busy {
		gap := min(max(now.Sub(h.at), 0), maxHeldGap)
		h.rate += (rate - h.rate) * (1 - math.Exp(-2*gap.Seconds()/meterTime.Seconds()))
	}
	h.at = max(h.at, now)
	m.add(amount, now)
}
