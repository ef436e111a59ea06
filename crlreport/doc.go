// Package crlreport measures how fast the requests of each organisation and class spend the error budget of their
// service-level objectives, and raises alerts on it.
//
// A [Tracker] counts outcomes of requests for each [Indicator] of each [Key], in three rings of time buckets: ten seconds over
// an hour, one minute over six hours, and twelve minutes over three days. Its memory is bounded by the number of keys, not of
// requests. A [Report] holds the burn rate in several windows: the share of bad events divided by the share that the
// objective allows. At a burn rate of 1 the error budget lasts exactly its period of 30 days. Counts of daemons add up, so the
// report of the fleet is the sum of the daemons' reports.
//
// A [Recorder] makes a Tracker safe for concurrent use. Traffic goroutines call it once per request, never per token. It is
// also a Prometheus collector for the counts. A Tracker and a Report have no locks of their own.
package crlreport
