package crlid

import "github.com/google/uuid"

// Organisation names an organisation whose callers use the system.
type Organisation string

// Model names a family of versions.
type Model string

// Version names one deployable version of a model, unique over all models.
type Version string

// Service names a plain service beside the model engines.
type Service string

// Route names one route of a routing table.
type Route string

// Server names a backend server: a model engine or a plain service instance.
type Server string

// Domain names a failure domain.
type Domain string

// Class names a class of requests that share a quality target and latency goals.
type Class string

// Daemon names a cranberrylock daemon, stable over its restarts.
type Daemon string

// Incarnation identifies one run of a process.
type Incarnation string

// NewIncarnation returns an incarnation that no other run has.
func NewIncarnation() Incarnation { return Incarnation(uuid.NewString()) }

// Request identifies one caller's request over all its attempts.
type Request string

// NewRequest returns a request identifier that no other request has.
func NewRequest() Request { return Request(uuid.NewString()) }

// Session identifies one caller's session.
type Session string

// NewSession returns a session identifier that no other session has.
func NewSession() Session { return Session(uuid.NewString()) }

// Boot identifies one boot of a backend server.
type Boot string

// Stream names a stream of the platform's log.
type Stream string

// Offset is the position of an append in a log stream, counted from 0.
type Offset int64

// NoOffset is an offset before every append.
const NoOffset Offset = -1

// Term is the log offset of the roster record that began it and serves as a fencing number.
type Term int64

// NoTerm is a term before every roster.
const NoTerm Term = -1

// Quality is a rating of answers between 0 and 1.
type Quality float64

// MicroCost is a cost in millionths of the deployment's currency unit.
type MicroCost int64

// Tokens counts tokens of a prompt or an answer.
type Tokens int64

// Frame numbers the frames of a streamed answer from 1.
type Frame int64
