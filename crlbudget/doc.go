// Package crlbudget keeps one daemon within its share of limits that apply to
// all daemons together.
//
// A RetryBudget limits, for each service, the extra sends of requests relative
// to the number of requests. Extra sends are retries and escalations, in which
// a larger model replaces the answer of a smaller one. A Bucket limits a rate,
// such as the requests to a server that has just started.
//
// Each daemon uses only what it knows for certain: the requests that it received
// itself, and its part of the fixed limits. These are divided into slots, which
// the platform's store assigns to daemons; SlotLeases ensures that no two
// daemons use one at the same time. The sum over all daemons therefore stays
// within the limit while daemons come and go, are cut off or pause.
//
// A RetryBudget and SlotLeases are safe for concurrent use; a Bucket is not.
// Callers pass the time.
package crlbudget
