// Package crlfleet knows the backend servers that announce themselves and picks one for each request.
//
// Entries come from the platform's discovery; what the daemon itself saw of a
// server (open work, failures, latency) is added to them. An entry that is
// gone, leaving or in an evacuated failure domain gets nothing more.
package crlfleet
