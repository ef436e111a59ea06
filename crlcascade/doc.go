// Package crlcascade chooses the model version that answers a request, or a
// cascade of two versions, at the least expected cost that meets the quality
// target of the request's class. Operators configure the classes, each with a
// quality target and a latency limit.
//
// In a cascade a cheap version answers first, and its answer is shown only if
// its rating reaches the plan's threshold; otherwise the request escalates to
// a more expensive version. For each class, a Planner keeps a histogram of
// each version's ratings, sums of the version's cost and latency, and the
// ratings of second versions by the rating of the first answer. From the
// ratings it computes a lower confidence bound on quality: the mean rating less
// a margin for chance, which shrinks as ratings are added. Among the plans whose
// lower bound meets the target within the class's latency limit, the Planner
// chooses the one with the least expected cost.
//
// Ratings come from a service of limited capacity. A Planner decides which
// answers to rate, at no more than a configured rate; a version with many
// ratings is rated less often. While the rating service fails, the Planner
// chooses only plans that need no rating. Daemons exchange their totals as
// Messages; merging a message again or out of order changes nothing.
//
// A Planner is safe for concurrent use.
package crlcascade
