package crltest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Summary counts the results of tests that have no subtests, of all packages, as go test -json prints them.
type Summary struct {
	Passed, Failed, Skipped int
	// BrokenPackages is the number of packages that failed without a failing test: they don't build, or ended by themselves.
	BrokenPackages int
}

// event is a line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testKey identifies a test.
type testKey struct{ pack, test string }

// Read reads the lines of go test -json until their end. It writes the result of each package to w, and the output of failed tests. A line that isn't
// JSON, such as an error of the compiler, is written as it is.
func (s *Summary) Read(r io.Reader, w io.Writer) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	output, hasSubtests, failed := make(map[testKey][]string), make(map[testKey]bool), make(map[string]bool)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil || e.Action == "" {
			if _, err := fmt.Fprintln(w, lines.Text()); err != nil {
				return fmt.Errorf("write a line of go test: %w", err)
			}
			continue
		}
		key := testKey{e.Package, e.Test}
		if parent := strings.LastIndexByte(e.Test, '/'); e.Action == "run" && parent > 0 {
			hasSubtests[testKey{e.Package, e.Test[:parent]}] = true
		}
		if e.Action == "output" || e.Action == "build-output" {
			output[key] = append(output[key], e.Output)
			continue
		}
		s.count(e, hasSubtests[key], failed)
		if e.Action == "pass" && e.Test == "" {
			output[key] = output[key][max(len(output[key])-1, 0):] // "ok", the package and its time
		}
		if err := write(w, e, output[key]); err != nil {
			return err
		}
		if e.Action != "run" && e.Action != "start" {
			delete(output, key)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read the results of go test: %w", err)
	}
	return nil
}

// maxLineBytes bounds a line of go test -json.
const maxLineBytes = 16 << 20

// count counts a result. failed holds the packages with failed tests.
func (s *Summary) count(e event, hasSubtests bool, failed map[string]bool) {
	switch {
	case e.Test == "" && e.Action == "fail" && !failed[e.Package]:
		s.BrokenPackages++
	case e.Test == "" || hasSubtests && e.Action != "fail":
	case e.Action == "pass":
		s.Passed++
	case e.Action == "fail":
		failed[e.Package] = true
		if !hasSubtests {
			s.Failed++
		}
	case e.Action == "skip":
		s.Skipped++
	}
}

// write writes the output of a package that has ended, or of a test that has failed.
func write(w io.Writer, e event, output []string) error {
	isResult := e.Action == "pass" && e.Test == "" || e.Action == "fail" || e.Action == "build-fail"
	if !isResult {
		return nil
	}
	if _, err := io.WriteString(w, strings.Join(output, "")); err != nil {
		return fmt.Errorf("write the result of %s %s: %w", e.Package, e.Test, err)
	}
	return nil
}

// HasFailed reports whether a test or a package has failed.
func (s *Summary) HasFailed() bool { return s.Failed > 0 || s.BrokenPackages > 0 }

// String returns the counts in one line.
func (s *Summary) String() string {
	return fmt.Sprintf("%d passed, %d failed, %d skipped", s.Passed, s.Failed+s.BrokenPackages, s.Skipped)
}
