package crlini

import (
	"bytes"
	"fmt"
	"strings"
)

// places maps sections and keys to their lines, which the ini library does not tell.
type lineIndex struct {
	lines      map[location]int
	duplicates []duplicate
}

type location struct{ section, key string }

// repeat is a section or key that stands twice.
type duplicate struct {
	section string
	line    int
	message string
}

func indexLines(content []byte) lineIndex {
	p := lineIndex{lines: make(map[location]int)}
	section := ""
	for i, raw := range bytes.Split(content, []byte("\n")) {
		text := strings.TrimSpace(string(raw))
		line := i + 1
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = strings.TrimSpace(strings.Trim(text, "[]"))
			p.add(location{section: section}, line, fmt.Sprintf("section stands twice, first on line %d", p.lines[location{section: section}]))
		default:
			key, _, _ := strings.Cut(text, "=")
			k := location{section: section, key: strings.TrimSpace(key)}
			p.add(k, line, fmt.Sprintf("key %q stands twice, first on line %d", k.key, p.lines[k]))
		}
	}
	return p
}

func (p *lineIndex) add(k location, line int, message string) {
	if _, ok := p.lines[k]; ok {
		p.duplicates = append(p.duplicates, duplicate{section: k.section, line: line, message: message})
		return
	}
	p.lines[k] = line
}

func (p *lineIndex) lineOf(section, lineOf string) int {
	if line, ok := p.lines[location{section: section, key: lineOf}]; ok {
		return line
	}
	return p.lines[location{section: section}]
}
