package crlini

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one error in a file with its location.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Line    int    `json:"line"` // counted from 1; 0 when the problem concerns the whole file
	Message string `json:"message"`
}

// String returns the problem in the form file:line: [section]: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: [%s]: %s", p.File, p.Line, p.Section, p.Message)
}

// Error holds every problem found in a file.
type Error struct {
	Problems []Problem `json:"problems"`
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file that collects the problems found in it.
type File struct {
	name     string
	content  *ini.File
	index    lineIndex
	problems []Problem // found so far
}

// Read parses the content of a file. Problems refer to the file by name.
//
// The error is an *Error. Duplicate sections and keys don't make Read fail; File.Err reports them.
func Read(name string, content []byte) (*File, error) {
	f := &File{name: name, index: indexLines(content)}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}, content)
	if err != nil {
		f.addProblem("", unreadableLine(content, err), err.Error())
		return nil, f.Err()
	}
	f.content = parsed
	f.reportDuplicates()
	return f, nil
}

// unreadableLine returns the number of the first line with the text that the ini library could not parse, or 0 when the error
// quotes none.
func unreadableLine(content []byte, err error) int {
	var missing ini.ErrDelimiterNotFound
	if !errors.As(err, &missing) {
		return 0
	}
	for i, line := range strings.Split(string(content), "\n") {
		if strings.TrimSpace(line) == strings.TrimSpace(missing.Line) {
			return i + 1
		}
	}
	return 0
}

// Err returns an *Error with all problems found so far, ordered by line, or nil if there are none.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Problems: f.problems}
}

// Sections returns the sections of the file in order. It adds a problem for each key outside of all sections.
func (f *File) Sections() []*Section {
	var sections []*Section
	for _, s := range f.content.Sections() {
		if s.Name() == ini.DefaultSection {
			f.reportKeysOutsideSections(s)
			continue
		}
		kind, id, _ := strings.Cut(s.Name(), " ")
		sections = append(sections, &Section{file: f, section: s, Kind: kind, ID: strings.TrimSpace(id)})
	}
	return sections
}

// Problemf adds a problem that concerns the whole file.
func (f *File) Problemf(format string, args ...any) {
	f.addProblem("", 0, fmt.Sprintf(format, args...))
}

func (f *File) addProblem(section string, line int, message string) {
	f.problems = append(f.problems, Problem{File: f.name, Section: section, Line: line, Message: message})
}

func (f *File) reportKeysOutsideSections(defaults *ini.Section) {
	for _, k := range defaults.Keys() {
		f.addProblem("", f.index.lineOf("", k.Name()), fmt.Sprintf("key %q stands outside every section", k.Name()))
	}
}

func (f *File) reportDuplicates() {
	for _, d := range f.index.duplicates {
		f.addProblem(d.section, d.line, d.message)
	}
}
