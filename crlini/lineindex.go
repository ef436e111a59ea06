package crlini

import (
	"bytes"
	"fmt"
	"strings"
)

// lineIndex maps sections and keys to their line numbers, which the ini library does not report.
type lineIndex struct {
	lines      map[location]int // first line of each section and key, counted from 1
	duplicates []duplicate
}

// location names a key of a section, or the section's header when key is empty.
type location struct{ section, key string }

// duplicate is a second or later occurrence of a section or key.
type duplicate struct {
	section string
	line    int
	message string
}

// indexLines returns the lines of all sections and keys of a file.
func indexLines(content []byte) lineIndex {
	index := lineIndex{lines: make(map[location]int)}
	section := ""
	for i, raw := range bytes.Split(content, []byte("\n")) {
		text := strings.TrimSpace(string(raw))
		line := i + 1
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = strings.TrimSpace(strings.Trim(text, "[]"))
			index.add(location{section: section}, line,
				fmt.Sprintf("section stands twice, first on line %d", index.lines[location{section: section}]))
		default:
			key, _, _ := strings.Cut(text, "=")
			at := location{section: section, key: strings.TrimSpace(key)}
			index.add(at, line, fmt.Sprintf("key %q stands twice, first on line %d", at.key, index.lines[at]))
		}
	}
	return index
}

// add records the line of a section or key. If the location has a line already, it adds a duplicate with the message instead.
func (x *lineIndex) add(at location, line int, message string) {
	if _, ok := x.lines[at]; ok {
		x.duplicates = append(x.duplicates, duplicate{section: at.section, line: line, message: message})
		return
	}
	x.lines[at] = line
}

// lineOf returns the line of a key, or the line of the section's header when the section does not have the key.
func (x *lineIndex) lineOf(section, key string) int {
	if line, ok := x.lines[location{section: section, key: key}]; ok {
		return line
	}
	return x.lines[location{section: section}]
}
