// Package crlbudget keeps a daemon within its part of limits that all daemons share.
//
// No daemon asks another: each derives its part from what it knows for sure,
// its own requests and an upper bound on the number of daemons, so that the
// sum stays under the limit while membership changes.
package crlbudget
