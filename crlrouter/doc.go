// Package crlrouter assembles the router of generic HTTP routes on a platform with a metadata store.
//
// A router keeps nothing that must last: the configuration, the backend
// servers' entries and the states of roll-outs are read from the store's
// topics, and its part of shared limits follows from group membership there.
// What the platform calls things is known to the Codec and Dialect that it is
// given.
package crlrouter
