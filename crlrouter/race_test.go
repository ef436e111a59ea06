//go:build race

package crlrouter

// raceDetector is whether the tests run under the race detector.
const raceDetector = true
