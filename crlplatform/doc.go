// Package crlplatform holds HTTP clients for the services of the users' platform, and the values exchanged with them.
//
// LogClient appends to and reads from the platform's log, VMListClient reads the list of VMs, and RatingClient has
// answers rated. The Keyed types, Join, Owner and Conflict belong to the platform's metadata store, whose client is in
// package platform. Packages that use a service declare a small interface for it, so that tests can replace the client.
//
// Clients leave deadlines and retries to their callers. A failed call returns an *Error, which states whether the call may
// have taken effect all the same. All clients are safe for concurrent use.
package crlplatform
