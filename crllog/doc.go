// Package crllog writes structured log lines that explain a daemon's decisions.
//
// A line is one JSON object: the time, the name of the event, the attributes that led to the decision, and its outcome.
// Logger is the only main type. Any number of goroutines may call its Event method, which never blocks; a goroutine
// that calls Run writes the lines to the output.
//
// Each event is limited to a number of lines per second. Lines above the limit, and lines that a slow or failing output
// can't accept, are lost and counted; Logger.Dropped and later lines report the counts.
package crllog
