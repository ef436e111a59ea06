package crlquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Suspect identifies what may crash servers: a part of prompts, or a request that comes again.
type Suspect string

const (
	requestPrefix = "request-"
	digestBytes   = 16 // of the digest of a request, enough that no caller can make a request that is taken for another
)

// PartSuspect returns the suspect that stands for a part of prompts. It is empty, which is never suspected, if the part's identifier could be
// taken for that of a request.
func PartSuspect(id string) Suspect {
	if strings.HasPrefix(id, requestPrefix) {
		return ""
	}
	return Suspect(id)
}

// Content is what a request and its repeats have in common.
type Content struct {
	Organisation crlid.Organisation // of the caller, empty for a request without an API key
	Method       string
	Host         string
	Target       string // path and query
	Body         []byte
}

// RequestSuspect returns the suspect that stands for all requests with the same content.
func RequestSuspect(c Content) Suspect {
	digest := sha256.New()
	var size [8]byte
	for _, field := range [][]byte{[]byte(c.Organisation), []byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body} {
		// The sizes keep apart contents whose fields are the same text when joined. A hash never returns an error.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = digest.Write(size[:])
		_, _ = digest.Write(field)
	}
	return requestPrefix + Suspect(hex.EncodeToString(digest.Sum(nil)[:digestBytes]))
}

// isRequest reports whether the suspect stands for a request.
func (s Suspect) isRequest() bool { return strings.HasPrefix(string(s), requestPrefix) }
