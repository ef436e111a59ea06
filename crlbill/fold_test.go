package crlbill

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// applyBill applies a bill whose log time is the given number of seconds.
func applyBill(t interface{ Fatal(args ...any) }, fold *Fold, second int, bill Bill) {
	raw, err := crljournal.Encode(bill)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(int64(second), 0)
	fold.Apply(crljournal.LoggedEntry{Entry: crljournal.Entry{Kind: KindBill, Body: raw}, Time: now}, now)
}

// TestFoldCountsEachRequestOnce applies random bills, with a save and restore of the fold at random places, and compares the sums
// with a simple model: a request counts once, and a bill of its complete answer replaces an interrupted one.
func TestFoldCountsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fold := NewFold(time.Hour)
		counted := make(map[crlid.Request]Bill)
		duplicates := 0
		for second := range rapid.IntRange(1, 80).Draw(t, "entries") {
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				fold = saveAndRestore(t, fold)
			}
			bill := Bill{
				Request:      crlid.Request(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "request")),
				Organisation: "o", Version: crlid.Version(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "version")),
				Cost: crlid.MicroCost(rapid.IntRange(1, 9).Draw(t, "cost")), Interrupted: rapid.Bool().Draw(t, "interrupted"),
			}
			before, ok := counted[bill.Request]
			if !ok || before.Interrupted && !bill.Interrupted {
				counted[bill.Request] = bill
			} else {
				duplicates++
			}
			applyBill(t, fold, second, bill)
		}
		var want, got Account
		for _, b := range counted {
			want.add(b, 1)
		}
		summary := fold.Summary()
		for _, a := range summary.Accounts {
			got.Requests += a.Requests
			got.Interrupted += a.Interrupted
			got.Cost += a.Cost
		}
		if got != want || summary.Requests != len(counted) || summary.Duplicates != duplicates {
			t.Fatalf("counted %+v, %d requests, %d duplicates, want %+v, %d, %d",
				got, summary.Requests, summary.Duplicates, want, len(counted), duplicates)
		}
	})
}

func saveAndRestore(t interface{ Fatal(args ...any) }, fold *Fold) *Fold {
	state, err := fold.Save()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewFold(fold.horizon)
	if err := restored.Restore(state); err != nil {
		t.Fatal(err)
	}
	return restored
}

// TestFoldEvictsRequestsAfterHorizonAndKeepsSums guards against memory that grows with the stream: requests older than two horizons
// must be evicted, while the sums still contain them.
func TestFoldEvictsRequestsAfterHorizonAndKeepsSums(t *testing.T) {
	const requests, horizonSeconds = 10_000, 100
	fold := NewFold(horizonSeconds * time.Second)
	for n := range requests {
		applyBill(t, fold, n, Bill{Request: crlid.Request(fmt.Sprint(n)), Organisation: "o", Cost: 1})
		applyBill(t, fold, n+horizonSeconds/2, Bill{Request: crlid.Request(fmt.Sprint(n)), Organisation: "o", Cost: 1})
	}
	if n := len(fold.state.Current) + len(fold.state.Previous); n > 3*horizonSeconds {
		t.Errorf("fold holds %d requests, want at most %d", n, 3*horizonSeconds)
	}
	if s := fold.Summary(); s.Requests != requests || s.Duplicates != requests || s.Accounts[0].Cost != requests {
		t.Errorf("%d requests, %d duplicates, want %d of each", s.Requests, s.Duplicates, requests)
	}
}

// TestHeldBillsDue shows what a holder appends for its peers: a bill that the peer did not append in time, again while the fold does
// not count it, and the open requests of a stopped peer. Counted bills and open requests that were closed are dropped.
func TestHeldBillsDue(t *testing.T) {
	start := time.Unix(0, 0)
	held := NewHeldBills()
	held.Add(HoldRequest{
		From: "stopped", Open: []Bill{{Request: "open", Interrupted: true}, {Request: "refused", Interrupted: true}},
		Bills: []Bill{{Request: "unappended"}, {Request: "counted"}},
	}, start)
	held.Add(HoldRequest{From: "running", Open: []Bill{{Request: "begun", Interrupted: true}}}, start)
	held.Add(HoldRequest{From: "stopped", Closed: []crlid.Request{"refused", "unappended"}}, start)
	held.DropCounted(func(r crlid.Request) bool { return r == "counted" })
	for _, step := range []struct {
		after time.Duration
		want  []crlid.Request
	}{
		{ownerAppendTimeout - 1, nil},
		{ownerAppendTimeout, []crlid.Request{"unappended"}},
		{ownerAppendTimeout + 1, nil},
		{peerTimeout + 1, []crlid.Request{"open"}},
		{ownerAppendTimeout + reappendInterval, []crlid.Request{"unappended"}},
	} {
		held.Add(HoldRequest{From: "running"}, start.Add(step.after))
		var got []crlid.Request
		for _, b := range held.Due(start.Add(step.after)) {
			got = append(got, b.Request)
		}
		if fmt.Sprint(got) != fmt.Sprint(step.want) {
			t.Errorf("after %s: due %v, want %v", step.after, got, step.want)
		}
	}
	if held.Add(HoldRequest{From: "running", Open: make([]Bill, maxHeldBills)}, start) {
		t.Errorf("held more than the limit of %d", maxHeldBills)
	}
}
