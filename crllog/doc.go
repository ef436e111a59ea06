// Package crllog writes structured lines that explain a daemon's decisions.
//
// A line is one JSON object with the event, the inputs that decided it and the
// outcome. Each event has a rate of its own; what is above it, and what a slow
// output can't take, is dropped and counted. Writing never blocks a caller.
package crllog
