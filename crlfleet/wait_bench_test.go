package crlfleet

import "testing"

// BenchmarkExpectedWait measures the estimate of the wait at 140 servers with 1,000 open requests, which each admission decision needs.
func BenchmarkExpectedWait(b *testing.B) {
	l := newPickLoad(b, true, true)
	b.ReportAllocs()
	for b.Loop() {
		l.now++
		l.fleet.ExpectedWait(l.need.Service, l.need.Work)
	}
}
