package crlentry

import (
	"testing"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

func TestSelectByShareFollowsShares(t *testing.T) {
	candidates := []crlconfig.Version{{ID: "good"}, {ID: "held"}, {ID: "half"}}
	snapshot := &crlsnapshot.Snapshot{Shares: map[crlid.Version]float64{"held": 0, "half": 0.5}}
	seen := make(map[crlid.Version]int)
	for range 1000 {
		for _, v := range selectByShare(candidates, snapshot) {
			seen[v.ID]++
		}
	}
	if seen["good"] != 1000 || seen["held"] != 0 || seen["half"] < 400 || seen["half"] > 600 {
		t.Errorf("versions let through %v, want good always, held never, half half the time", seen)
	}
	if got := selectByShare(candidates[1:2], snapshot); len(got) != 1 {
		t.Errorf("no candidate left, though the held one is the only one")
	}
}
