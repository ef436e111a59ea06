package crlanswer

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// heads are heads of answers that HTTP/1.1 allows, and malformed ones.
var heads = []struct {
	name, text string
	malformed  bool
}{
	{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", false},
	{"no reason", "HTTP/1.1 200\r\n\r\n", false},
	{"empty reason", "HTTP/1.1 200 \r\n\r\n", false},
	{"earlier protocol", "HTTP/1.0 200 OK\r\n\r\n", false},
	{"lines that end without a return", "HTTP/1.1 200 OK\nContent-Length: 4\n\n", false},
	{"empty value", "HTTP/1.1 204 No Content\r\nX-A:\r\nX-B: \t\r\n\r\n", false},
	{"bytes beyond ASCII in a value", "HTTP/1.1 200 OK\r\nX-A: \xe9\xff\r\n\r\n", false},
	{"odd token", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~1: a\r\n\r\n", false},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	{"after an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", false},
	{"length in an interim answer", "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	{"highest status", "HTTP/1.1 599 Odd\r\n\r\n", false},
	{"status of zeros", "HTTP/1.1 000 OK\r\n\r\n", true},
	{"status below 100", "HTTP/1.1 099 OK\r\n\r\n", true},
	{"status above 599", "HTTP/1.1 600 OK\r\n\r\n", true},
	{"four digits", "HTTP/1.1 2000 OK\r\n\r\n", true},
	{"two digits", "HTTP/1.1 20 OK\r\n\r\n", true},
	{"sign", "HTTP/1.1 +20 OK\r\n\r\n", true},
	{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n", true},
	{"later protocol", "HTTP/2.0 200 OK\r\n\r\n", true},
	{"no protocol", "ICY 200 OK\r\n\r\n", true},
	{"blank line first", "\r\nHTTP/1.1 200 OK\r\n\r\n", true},
	{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", true},
	{"control byte in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", true},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n", true},
	{"blank in a name", "HTTP/1.1 200 OK\r\nX A: 4\r\n\r\n", true},
	{"continued line", "HTTP/1.1 200 OK\r\nX-A: 4\r\n Content-Length: 4\r\n\r\n", true},
	{"line of blanks", "HTTP/1.1 200 OK\r\nX-A: 4\r\n \r\n\r\n", true},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x7f-A: 4\r\n\r\n", true},
	{"byte beyond ASCII in a name", "HTTP/1.1 200 OK\r\nX\xe9: 4\r\n\r\n", true},
	{"no name", "HTTP/1.1 200 OK\r\n: 4\r\n\r\n", true},
	{"no colon", "HTTP/1.1 200 OK\r\nX-A\r\n\r\n", true},
	{"return within a line", "HTTP/1.1 200 OK\r\nX-A: 4\rX-B: 5\r\n\r\n", true},
	{"zero byte in a value", "HTTP/1.1 200 OK\r\nX-A: \x00\r\n\r\n", true},
	{"length and chunks", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n", true},
	{"malformed after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", true},
	{"malformed interim answer", "HTTP/1.1 103 Early Hints\r\nX : a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
	{"long line", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", maxLineBytes) + "\r\n\r\n", true},
}

// TestHeadsAreChecked checks which heads are answers, however their bytes arrive. Whatever follows a head is not checked.
func TestHeadsAreChecked(t *testing.T) {
	const body = "\x00 : \r\n"
	for _, tc := range heads {
		for _, size := range []int{1, 2, 3, 7, 4096, len(tc.text) + len(body)} {
			var h headChecker
			var err error
			for rest := []byte(tc.text + body); len(rest) > 0 && err == nil; {
				n := min(size, len(rest))
				err = h.check(rest[:n])
				rest = rest[n:]
			}
			var headErr *HeadError
			if got := errors.As(err, &headErr); got != tc.malformed || got == h.done {
				t.Errorf("%s in pieces of %d: error %v, done %t, want malformed: %t", tc.name, size, err, h.done, tc.malformed)
			}
			if headErr != nil && len(headErr.Line) > maxQuotedBytes {
				t.Errorf("%s: the error quotes %d bytes", tc.name, len(headErr.Line))
			}
		}
	}
}

// FuzzHead looks for heads that are taken for an answer and that net/http reads as another one, or with fields that HTTP/1.1 forbids.
func FuzzHead(f *testing.F) {
	for _, tc := range heads {
		f.Add([]byte(tc.text), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, at int) {
		var whole, split headChecker
		err := whole.check(text)
		at = min(max(at, 0), len(text))
		_ = split.check(text[:at])
		if splitErr := split.check(text[at:]); (splitErr == nil) != (err == nil) || split.done != whole.done {
			t.Fatalf("%q: error %v in one piece, %v in two", text, err, splitErr)
		}
		if err != nil || !whole.done || text[len("HTTP/1.1 ")] == '1' {
			return // ReadResponse returns an interim answer, not the one after it.
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
			t.Errorf("%q has status %d", text, response.StatusCode)
		}
		for name, values := range response.Header {
			if !isToken([]byte(name)) || hasControl([]byte(strings.Join(values, ""))) {
				t.Errorf("%q has field %q: %q", text, name, values)
			}
		}
	})
}
