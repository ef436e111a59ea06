package crltest

import (
	"slices"
	"strings"
	"testing"
)

// TestSkipPattern guards against known failures that are run, and other tests that are passed over.
func TestSkipPattern(t *testing.T) {
	entries := ParseKnownRed("test: TestA\ncommand: go test\nseen: once\nissue: 1\n\ntest: TestB/part.1/seed-2\nseen: twice\n\ntest: sweep-300\nseen: a run\n\n")
	want := []KnownRed{{"TestA", "once"}, {"TestB/part.1/seed-2", "twice"}, {"sweep-300", "a run"}}
	if !slices.Equal(entries, want) {
		t.Errorf("entries %v, want %v", entries, want)
	}
	if got, want := SkipPattern(entries), `^$|^TestA$|^TestB$/^part\.1$/^seed-2$`; got != want {
		t.Errorf("pattern %s, want %s", got, want)
	}
	if got := SkipPattern(nil); got != "^$" {
		t.Errorf("pattern %s without entries, want one that matches no test", got)
	}
}

// TestSummary guards against failures that are not counted, or whose output is not shown.
func TestSummary(t *testing.T) {
	for _, tc := range []struct {
		name, lines string
		want        string
		shown       string
	}{
		{"passed", `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"noise\n"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Output":"PASS\n"}
{"Action":"output","Package":"p","Output":"ok p 1s\n"}
{"Action":"pass","Package":"p"}`, "1 passed, 0 failed, 0 skipped", "ok p 1s\n"},
		{"subtests", `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestA/x"}
{"Action":"run","Package":"p","Test":"TestA/y"}
{"Action":"output","Package":"p","Test":"TestA/y","Output":"bad\n"}
{"Action":"fail","Package":"p","Test":"TestA/y"}
{"Action":"skip","Package":"p","Test":"TestA/x"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"fail","Package":"p"}`, "0 passed, 1 failed, 1 skipped", "bad\n"},
		{"panic outside of a test", `{"Action":"output","Package":"p","Output":"panic\n"}
{"Action":"fail","Package":"p"}`, "0 passed, 1 failed, 0 skipped", "panic\n"},
		{"test that ends its process", `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"panic\n"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"fail","Package":"p"}`, "0 passed, 1 failed, 0 skipped", "panic\n"},
		{"does not build", "p.go:1: no", "0 passed, 0 failed, 0 skipped", "p.go:1: no\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s Summary
			var shown strings.Builder
			if err := s.Read(strings.NewReader(tc.lines+"\n"), &shown); err != nil {
				t.Fatal(err)
			}
			if s.String() != tc.want || shown.String() != tc.shown || s.HasFailed() != !strings.Contains(tc.want, "0 failed") {
				t.Errorf("got %q and %q, want %q and %q", s.String(), shown.String(), tc.want, tc.shown)
			}
		})
	}
}
