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
		t.Errorf("selected versions %v, want good always, held never, half in 400 to 600 of 1000", seen)
	}
	if got := selectByShare(candidates[1:2], snapshot); len(got) != 1 {
		t.Errorf("got %v for a single candidate with share 0, want that candidate", got)
	}
}
