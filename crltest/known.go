package crltest

import (
	"regexp"
	"strings"
)

// KnownRed is an entry of the list of known failures.
type KnownRed struct {
	Test string // name of a test, with its subtests separated by slashes, or of a run that isn't a test of Go
	Seen string // what was seen
}

// ParseKnownRed returns the entries of a list of known failures. They are separated by empty lines; each has lines of the form "name: value", with at least
// the name test.
func ParseKnownRed(text string) (entries []KnownRed) {
	for block := range strings.SplitSeq(text, "\n\n") {
		var entry KnownRed
		for line := range strings.Lines(block) {
			switch name, value, _ := strings.Cut(strings.TrimSpace(line), ": "); name {
			case "test":
				entry.Test = value
			case "seen":
				entry.Seen = value
			}
		}
		if entry.Test != "" {
			entries = append(entries, entry)
		}
	}
	return entries
}

// IsGoTest reports whether the entry names a test of Go.
func (k KnownRed) IsGoTest() bool { return strings.HasPrefix(k.Test, "Test") }

// SkipPattern returns the pattern with which go test -skip passes over exactly the tests of the entries.
func SkipPattern(entries []KnownRed) string {
	patterns := []string{"^$"} // matches no test, for a list without tests
	for _, e := range entries {
		if !e.IsGoTest() {
			continue
		}
		var parts []string
		for part := range strings.SplitSeq(e.Test, "/") {
			parts = append(parts, "^"+regexp.QuoteMeta(part)+"$")
		}
		patterns = append(patterns, strings.Join(parts, "/"))
	}
	return strings.Join(patterns, "|")
}
