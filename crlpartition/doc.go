// Package crlpartition keeps long prompts from delaying short answers: it assigns requests to servers by their size.
//
// A model engine reads a prompt in chunks between the tokens of the requests that it runs, so a request that shares an
// engine with a long prompt begins late and goes on slowly. All daemons order the servers of a service in the same way, each
// at a position from 0 to 1. Requests of each size prefer the positions that match their share of the work: if requests
// smaller than a given one bring 30% of the work, it prefers positions from 0.3 on. This is size-interval task assignment. The
// boundaries are soft: a request goes to a server outside its interval if that costs less than it saves.
//
// A Partition learns the work by size from the requests of its daemon alone, so daemons exchange no messages for it.
package crlpartition
