// Package crlrelay passes what a few daemons read from the platform's store on to all others.
//
// A Replica holds the newest record of each key of one topic and the newest
// moment at which it was proved to be complete. Readers feed theirs from the
// store; the others follow a reader by long calls between daemons and fall back
// to other daemons, and to the store, when the proof they get grows old. Calls
// to the store then don't grow with the number of daemons, and a daemon that is
// cut off from the store alone still works.
package crlrelay
