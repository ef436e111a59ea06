package crlini

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one error of a file with its place.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Line    int    `json:"line"` // Line counts from 1 and is 0 when the whole file is meant.
	Message string `json:"message"`
}

// String returns the problem in the form file:line: [section]: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: [%s]: %s", p.File, p.Line, p.Section, p.Message)
}

// Error reports every problem of a file.
type Error struct {
	Problems []Problem `json:"problems"`
}

// Error lists the problems, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is a file being checked; it collects problems until Err is asked for.
type File struct {
	name     string
	content  *ini.File
	index    lineIndex
	problems []Problem
}

// Read splits the content of a file into sections; name is used in problems.
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

// unreadableLine returns the line that the ini library could not read, or 0 when it names none.
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

// Err returns an *Error with all problems found in the order of their lines, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Problems: f.problems}
}

// Sections returns the sections of the file in order, and as a problem any key outside them.
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

func (f *File) reportKeysOutsideSections(s *ini.Section) {
	for _, k := range s.Keys() {
		f.addProblem("", f.index.lineOf("", k.Name()), fmt.Sprintf("key %q stands outside every section", k.Name()))
	}
}

func (f *File) reportDuplicates() {
	for _, r := range f.index.duplicates {
		f.addProblem(r.section, r.line, r.message)
	}
}
