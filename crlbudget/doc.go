// Package crlbudget keeps one daemon within its share of limits that apply to
// all daemons together.
//
// A RetryBudget limits the extra sends (retries and escalations to another
// model) relative to the number of requests, for each service. A Bucket limits
// a rate, such as the requests to a server that has just started.
//
// Daemons don't coordinate their budgets. Each one uses only what it knows for
// certain: the requests that it received itself, and a share of the fixed part
// of the limit that is based on an upper bound of the number of daemons. The
// sum therefore stays within the limit while daemons come and go.
//
// A RetryBudget is safe for concurrent use; a Bucket is not. Callers pass the
// time.
package crlbudget
