package crlanswer

import (
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HeadError is the error of a read that brought bytes which are no head of an answer over HTTP/1.1.
type HeadError struct {
	Line   string // the line at fault, cut to a few bytes
	Reason string
}

// Error returns the reason with the line.
func (e *HeadError) Error() string {
	return fmt.Sprintf("malformed head of an answer: %s: %q", e.Reason, e.Line)
}

const (
	maxLineBytes   = 64 << 10 // of a head
	maxQuotedBytes = 80       // of a line in an error
	maxStatus      = 599
)

// headChecker checks the heads of one answer, interim ones included, in the pieces in which they arrive.
type headChecker struct {
	line      []byte // the part of a line that has arrived
	inFields  bool   // whether the status line has arrived
	interim   bool   // whether the head is that of an interim answer, after which another one follows
	hasLength bool
	hasCoding bool // whether the head names a transfer coding
	done      bool // whether the last head is complete
	err       error
}

// check checks the bytes that have arrived next. An error is returned again by later calls.
func (h *headChecker) check(text []byte) error {
	for len(text) > 0 && !h.done && h.err == nil {
		line, rest, complete := bytes.Cut(text, []byte("\n"))
		if !complete || len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		switch {
		case len(line) > maxLineBytes:
			h.fail(line, "line too long")
		case complete:
			h.checkLine(bytes.TrimSuffix(line, []byte("\r")))
			h.line = h.line[:0]
		}
		text = rest
	}
	return h.err
}

// fail records why a line is none of a head.
func (h *headChecker) fail(line []byte, reason string) {
	h.err = &HeadError{Line: string(line[:min(len(line), maxQuotedBytes)]), Reason: reason}
}

// checkLine checks a complete line.
func (h *headChecker) checkLine(line []byte) {
	switch {
	case !h.inFields:
		h.checkStatus(line)
	case len(line) > 0:
		h.checkField(line)
	case h.hasLength && h.hasCoding:
		h.fail(line, "both a length and a transfer coding")
	case h.interim:
		*h = headChecker{line: h.line}
	default:
		h.done = true
	}
}

// checkStatus checks a status line.
func (h *headChecker) checkStatus(line []byte) {
	const (
		example     = "HTTP/1.1 200"
		minorAt     = len("HTTP/1.")
		statusAt    = len("HTTP/1.1 ")
		statusBytes = len("200")
	)
	if len(line) < len(example) || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[minorAt]) || line[statusAt-1] != ' ' {
		h.fail(line, "no status line of HTTP/1")
		return
	}
	status := 0
	for _, c := range line[statusAt : statusAt+statusBytes] {
		if !isDigit(c) {
			h.fail(line, "no status of three digits")
			return
		}
		status = 10*status + int(c-'0')
	}
	reason := line[statusAt+statusBytes:]
	switch {
	case len(reason) > 0 && reason[0] != ' ' || hasControl(reason):
		h.fail(line, "no status of three digits, or control bytes behind it")
	case status < http.StatusContinue || status > maxStatus:
		h.fail(line, "no status of HTTP")
	case status == http.StatusSwitchingProtocols:
		h.fail(line, "switch to a protocol that was not asked for")
	}
	h.inFields, h.interim = true, status < http.StatusOK
}

// checkField checks the line of a field. One that continues the line before begins with a blank, which no name does.
func (h *headChecker) checkField(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || !isToken(name):
		h.fail(line, "no name of a field")
	case hasControl(value):
		h.fail(line, "control bytes in a field")
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.hasCoding = true
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether a text is a token of HTTP, as names of fields are.
func isToken(text []byte) bool {
	for _, c := range text {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(text) > 0
}

// hasControl reports whether a text has control bytes other than tabs.
func hasControl(text []byte) bool {
	const del = 0x7f
	return bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == del })
}
