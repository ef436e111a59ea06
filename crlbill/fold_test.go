package crlbill

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

func applyBill(t interface{ Fatal(args ...any) }, fold *Fold, second int, bill Bill) {
	raw, err := crljournal.Encode(bill)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(int64(second), 0)
	fold.Apply(crljournal.LoggedEntry{Entry: crljournal.Entry{Kind: KindBill, Body: raw}, Time: now}, now)
}

// TestFoldCountsEachRequestOnce compares the fold, saved and restored anywhere, with a plain model.
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
	again := NewFold(fold.horizon)
	if err := again.Restore(state); err != nil {
		t.Fatal(err)
	}
	return again
}

func TestFoldEvictsRequestsAfterHorizonAndKeepsSums(t *testing.T) {
	const requests, horizonSeconds = 10_000, 100
	fold := NewFold(horizonSeconds * time.Second)
	for n := range requests {
		applyBill(t, fold, n, Bill{Request: crlid.Request(fmt.Sprint(n)), Organisation: "o", Cost: 1})
		applyBill(t, fold, n+horizonSeconds/2, Bill{Request: crlid.Request(fmt.Sprint(n)), Organisation: "o", Cost: 1})
	}
	if n := len(fold.state.Current) + len(fold.state.Previous); n > 3*horizonSeconds {
		t.Errorf("the fold holds %d requests, more than the two horizons bring", n)
	}
	if s := fold.Summary(); s.Requests != requests || s.Duplicates != requests || s.Accounts[0].Cost != requests {
		t.Errorf("%d requests, %d duplicates, want %d of each", s.Requests, s.Duplicates, requests)
	}
}

func TestHeldBillsDue(t *testing.T) {
	began := time.Unix(0, 0)
	book := NewHeldBills()
	book.Add(HoldRequest{
		From: "gone", Open: []Bill{{Request: "open", Interrupted: true}, {Request: "refused", Interrupted: true}},
		Bills: []Bill{{Request: "owed"}, {Request: "counted"}},
	}, began)
	book.Add(HoldRequest{From: "lives", Open: []Bill{{Request: "running", Interrupted: true}}}, began)
	book.Add(HoldRequest{From: "gone", Closed: []crlid.Request{"refused", "owed"}}, began)
	book.DropCounted(func(r crlid.Request) bool { return r == "counted" })
	for _, step := range []struct {
		after time.Duration
		want  []crlid.Request
	}{
		{ownerAppendTimeout - 1, nil},
		{ownerAppendTimeout, []crlid.Request{"owed"}},
		{ownerAppendTimeout + 1, nil},
		{peerTimeout + 1, []crlid.Request{"open"}},
		{ownerAppendTimeout + reappendInterval, []crlid.Request{"owed"}},
	} {
		book.Add(HoldRequest{From: "lives"}, began.Add(step.after))
		var got []crlid.Request
		for _, b := range book.Due(began.Add(step.after)) {
			got = append(got, b.Request)
		}
		if fmt.Sprint(got) != fmt.Sprint(step.want) {
			t.Errorf("after %s: due %v, want %v", step.after, got, step.want)
		}
	}
	if book.Add(HoldRequest{From: "lives", Open: make([]Bill, maxHeldBills)}, began) {
		t.Error("the book takes more than its bound")
	}
}
