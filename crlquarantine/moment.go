package crlquarantine

//go:generate go run github.com/dmarkham/enumer -type=Moment -trimprefix=Moment -transform=kebab -text -output=moment_enumer.go

// Moment is how far a server's answer to a request had come when the server ended.
type Moment int

// The moments, of which earlier versions recorded the first one for parts, and the second one for requests.
const (
	MomentHead   Moment = iota // the head of the answer had come and no event, so that the server worked on the request
	MomentBefore               // nothing had come: the request may have waited, or its prompt may have been read
	MomentBody                 // an event, or a part of the body of a plain answer, had come
)
