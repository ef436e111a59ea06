// Package crlfleet tracks the backend servers of all services and picks one for
// each request. Its Fleet is the set of these servers; in terms such as
// "fleet-wide limit", the fleet is the set of all daemons, as in other packages.
//
// A Fleet combines the entries that servers announce through the platform's
// discovery with what this daemon observed of each server: its open requests,
// failures and latency. Fleet.Pick returns the server with the lowest estimated
// time to the first byte of the answer; the caller must report the end of the
// send with Pick.Done. A server that is cold, which means that it has just
// started and can handle only little load, gets a limited rate of requests. A
// server that fails is suspect: it is not picked for a backoff time while
// others can be. A server without an entry, one that is leaving and one in an
// evacuated failure domain get no new requests.
//
// The load that other daemons have at model engines is added to a server's
// score if Config.Loads is set, and a server without memory for the request is
// not picked while others have some.
//
// A Fleet is safe for concurrent use. It holds its state in memory only.
package crlfleet
