// Package crlbudget keeps one daemon within its share of limits that apply to
// all daemons together.
//
// A RetryBudget limits, for each service, the extra sends of requests relative
// to the number of requests. Extra sends are retries and escalations, in which
// a larger model replaces the answer of a smaller one. A Bucket limits a rate,
// such as the requests to a server that has just started.
//
// Daemons don't coordinate their budgets. Each one uses only what it knows for
// certain: the requests that it received itself, and a share of the fixed part
// of the limit that is based on an upper bound of the number of daemons. The
// sum over all daemons therefore stays within the limit while daemons come and
// go.
//
// A RetryBudget is safe for concurrent use; a Bucket is not. Callers pass the
// time.
package crlbudget
