package crlhealth

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Message carries the totals of one incarnation and its verdicts on versions, from one daemon to another.
type Message struct {
	Origin   crlid.Incarnation `json:"origin"`
	Versions []VersionCounts   `json:"cells"`
	Servers  []ServerCounts    `json:"servers"`
	Verdicts []Verdict         `json:"verdicts"`
}

// VersionCounts holds the totals of one incarnation for a version in a class.
type VersionCounts struct {
	Version crlid.Version `json:"version"`
	Class   crlid.Class   `json:"class"`
	Totals
}

// Totals are counts since the start of an incarnation; they never decrease.
type Totals struct {
	Answers       int64   `json:"answers"`        // attempts, including failed ones
	Failures      int64   `json:"failures"`       // attempts whose failure is attributed to the server or the version
	Slow          int64   `json:"slow"`           // answers whose first token came later than the class's limit
	Ratings       int64   `json:"ratings"`        // rated answers
	RatingSum     float64 `json:"rating-sum"`     // sum of the ratings
	RatingSquares float64 `json:"rating-squares"` // sum of the squares of the ratings
}

// ServerCounts holds the totals of one incarnation for a backend server.
type ServerCounts struct {
	Server   crlid.Server `json:"server"`
	Answers  int64        `json:"answers"`
	Failures int64        `json:"failures"`
}

// Verdict is the decision on a version: its stage. Of two verdicts on a version, the one updated later wins.
type Verdict struct {
	Version      crlid.Version `json:"version"`
	Stage        Stage         `json:"stage"`
	UpdatedNanos int64         `json:"stamp"`  // last change in Unix nanoseconds; rises with each change
	Alarms       int           `json:"alarms"` // alarms so far; an alarm after alarmResetTime at StageFull counts as the first
}

// Event is the result of one attempt, or the rating of one answer.
type Event struct {
	Version    crlid.Version
	Class      crlid.Class
	Server     crlid.Server
	FirstToken time.Duration // time to the first token; 0 if no token came or the attempt resumed an earlier answer
	Failed     bool
	Rated      bool // the event is a rating, of an answer that was counted by an earlier event
	Rating     crlid.Quality
}

// minus returns the increase from the older totals to t.
func (t Totals) minus(older Totals) Totals {
	return Totals{
		Answers: t.Answers - older.Answers, Failures: t.Failures - older.Failures, Slow: t.Slow - older.Slow,
		Ratings: t.Ratings - older.Ratings, RatingSum: t.RatingSum - older.RatingSum,
		RatingSquares: t.RatingSquares - older.RatingSquares,
	}
}

// merged returns the larger of each count. The three rating fields are taken together, from the totals with more ratings.
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
