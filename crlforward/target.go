package crlforward

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// target is the target of a request line. It is read once, when the request arrives: the choice of a route and every send use the same reading.
type target struct {
	raw  string // as its caller sent it
	path string // of raw, without the query, unchanged otherwise
}

var (
	errTargetForm  = errors.New("target of the request is neither a path nor a URL of a path")
	errTargetBytes = errors.New("target of the request has bytes that are not allowed there")
)

// readTarget returns the target of a request in origin form (a path and a query) or absolute form (with scheme and host). Any other form, and a target
// that could not be sent as it is, gives an error.
func readTarget(r *http.Request) (target, error) {
	t := target{raw: r.RequestURI}
	t.path, _, _ = strings.Cut(t.raw, "?")
	if !strings.HasPrefix(t.path, "/") {
		scheme, rest, ok := strings.Cut(t.path, "://")
		if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") || r.Method == http.MethodConnect {
			return t, errTargetForm
		}
		t.path = "/"
		if begin := strings.IndexByte(rest, '/'); begin >= 0 {
			t.path = rest[begin:]
		}
	}
	if strings.Contains(t.raw, "#") || strings.HasPrefix(t.raw, "//") && t.url("").RequestURI() != t.raw {
		return t, errTargetBytes
	}
	return t, nil
}

// url returns the URL with which net/http sends the target unchanged to an address.
func (t target) url(address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	if !strings.HasPrefix(t.raw, "//") {
		u.Opaque = t.raw
		return u
	}
	// net/http sends an opaque URL that begins with two slashes in absolute form, with the path's first segment as the host.
	u.RawPath, u.RawQuery, u.ForceQuery = strings.Cut(t.raw, "?")
	var err error
	if u.Path, err = url.PathUnescape(u.RawPath); err != nil {
		u.Path = u.RawPath
	}
	return u
}
