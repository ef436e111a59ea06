package crlhealth

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Message carries the totals of one incarnation and the verdicts that its sender holds.
type Message struct {
	Origin   crlid.Incarnation `json:"origin"`
	Versions []VersionCounts   `json:"cells"`
	Servers  []ServerCounts    `json:"servers"`
	Verdicts []Verdict         `json:"verdicts"`
}

// Cell holds what one incarnation ever counted of a version in a class.
type VersionCounts struct {
	Version crlid.Version `json:"version"`
	Class   crlid.Class   `json:"class"`
	Totals
}

// Totals are counts that only grow.
type Totals struct {
	Answers       int64   `json:"answers"`        // Answers counts attempts, failed ones among them.
	Failures      int64   `json:"failures"`       // Failures counts attempts that failed by the server's or version's fault.
	Slow          int64   `json:"slow"`           // Slow counts answers whose first token missed the class's limit.
	Ratings       int64   `json:"ratings"`        // Ratings counts rated answers.
	RatingSum     float64 `json:"rating-sum"`     // RatingSum adds their ratings.
	RatingSquares float64 `json:"rating-squares"` // RatingSquares adds the squares of their ratings.
}

// ServerCell holds what one incarnation ever counted of a backend server.
type ServerCounts struct {
	Server   crlid.Server `json:"server"`
	Answers  int64        `json:"answers"`
	Failures int64        `json:"failures"`
}

// Verdict is the stage of a version; of two, the one with the later stamp holds.
type Verdict struct {
	Version      crlid.Version `json:"version"`
	Stage        Stage         `json:"stage"`
	UpdatedNanos int64         `json:"stamp"`  // Stamp is in nanoseconds since 1970 and rises with each change.
	Alarms       int           `json:"alarms"` // Alarms counts those since the version last was well for long.
}

// Event is what one attempt or one rating showed.
type Event struct {
	Version    crlid.Version
	Class      crlid.Class
	Server     crlid.Server
	FirstToken time.Duration // FirstToken is 0 when no token came or it tells nothing.
	Failed     bool
	Rated      bool // Rated marks the rating of an answer that was counted before.
	Rating     crlid.Quality
}

// minus returns what t has beyond the older totals.
func (t Totals) minus(older Totals) Totals {
	return Totals{
		Answers: t.Answers - older.Answers, Failures: t.Failures - older.Failures, Slow: t.Slow - older.Slow,
		Ratings: t.Ratings - older.Ratings, RatingSum: t.RatingSum - older.RatingSum,
		RatingSquares: t.RatingSquares - older.RatingSquares,
	}
}

// newest returns the larger of each count; ratings go together with their number.
func (t Totals) merged(o Totals) Totals {
	result := t
	result.Answers = max(t.Answers, o.Answers)
	result.Failures = max(t.Failures, o.Failures)
	result.Slow = max(t.Slow, o.Slow)
	if o.Ratings > t.Ratings {
		result.Ratings, result.RatingSum, result.RatingSquares = o.Ratings, o.RatingSum, o.RatingSquares
	}
	return result
}
