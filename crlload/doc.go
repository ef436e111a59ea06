// Package crlload runs open-loop load experiments against daemons or fake backend servers.
//
// An Experiment is parsed from an INI file. It has flows (which caller sends which calls, at which rate), phases that
// scale the rates, and orders: HTTP calls that change the system under test at a given time, such as to inject a fault or to
// publish a configuration. A Runner runs an experiment once and returns a Report with latency percentiles and outcomes for
// each phase and flow. WriteTable prints the reports of several runs.
//
// The arrivals of each flow form a Poisson process drawn from a seed. A call starts at its arrival time however slow other
// calls are, and its latency counts from that time, so that a stall shows in full in the latency of every call due during
// it. An arrival makes one call, or the successive calls of a session, and is open until the last of them ends. An arrival
// that is due while MaxOpen arrivals are open isn't sent and counts as skipped.
//
// Each arrival runs on a goroutine of its own. A failed call is counted by its outcome; only a failed order, a failed fetch
// of the history or the end of the context fails a run.
package crlload
