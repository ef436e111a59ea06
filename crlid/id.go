package crlid

import "github.com/google/uuid"

// Organisation is the name of a customer whose callers use the system.
type Organisation string

// Model is the name of a family of versions.
type Model string

// Version is the name of one deployable version of a model, unique over all models. For a request router it is also the
// name of a version of a service's software, which roll-outs change, or of a model's weights.
type Version string

// Service is the name of a plain service, one that is not a model engine. In routing tables it is also the name of a
// service of model engines.
type Service string

// Route is the name of one route of a routing table.
type Route string

// Server is the name of a backend server: a model engine, or an instance of another service.
type Server string

// Domain is the name of a failure domain, a set of VMs that may fail together.
type Domain string

// Class is the name of a class of requests that share a quality target and latency objectives.
type Class string

// Daemon is the name of a cranberrylock daemon. It stays the same over restarts.
type Daemon string

// Incarnation identifies one run of a process, so that a restarted process can be told from the one before.
type Incarnation string

// NewIncarnation returns a random UUID, unique among all runs.
func NewIncarnation() Incarnation { return Incarnation(uuid.NewString()) }

// Request identifies one request of a caller. All attempts at the request share the identifier.
type Request string

// NewRequest returns a random UUID, unique among all requests.
func NewRequest() Request { return Request(uuid.NewString()) }

// Session identifies one session, a series of requests of a caller that one version should answer.
type Session string

// NewSession returns a random UUID, unique among all sessions.
func NewSession() Session { return Session(uuid.NewString()) }

// Boot identifies one boot of a backend server. A server that is started again has another.
type Boot string

// Stream is the name of a stream of the platform's log.
type Stream string

// Offset counts the appends to a log stream from 0, or those to a topic of the platform's metadata store in one era; see [Position].
type Offset int64

// NoOffset is smaller than the offset of every append. It stands for the absence of an offset.
const NoOffset Offset = -1

// Term identifies the period that begins with one roster record, a record in the log that lists the daemons that share the
// work. Its value is the log offset of that record, so that it increases from term to term and can serve as a fencing token.
type Term int64

// NoTerm is smaller than the term of every roster record.
const NoTerm Term = -1

// Quality is a rating of answers from 0 to 1, the best.
type Quality float64

// MicroCost is a cost in millionths of the deployment's currency unit.
type MicroCost int64

// Tokens is a number of tokens of a prompt or an answer.
type Tokens int64

// Frame is the number of a frame in a streamed answer, counted from 1.
type Frame int64
