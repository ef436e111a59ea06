//go:build review

// Package rig runs routers as separate processes on loopback for the cases of the third review, with a store, backend servers and callers of its own
// process, and writes down what these send, answer and run.
package rig
