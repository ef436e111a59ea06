// Package crlbalance chooses the backend server for an attempt, which is one try to answer a request.
//
// A Balancer estimates each server's queue (the attempts of all daemons that are open at the server) from the daemon's
// own open attempts and the load that the servers report, which is somewhat out of date. It compares a few random servers
// of the daemon's own failure domain and a few of the others, and picks the one with the shortest estimated queue relative
// to its limit of open attempts; servers of other failure domains get a penalty. Ties are broken at random, so that daemons
// with the same information don't all pick the same server. The server that may hold the cache of a session or of a prompt
// prefix is preferred while its queue isn't much longer than the shortest of the compared ones.
//
// A server that fails several times in a row is ejected (not picked) for a while, but never more than half of the servers
// of one version or service. A server that returns, after an ejection or to service, starts with a tenth of its normal
// share and ramps up.
//
// A Balancer is safe for concurrent use. The servers of each version are indexed once per configuration; a pick doesn't
// wait for the balancer's lock, only briefly for those of the random source and of each compared server. A pick always
// returns a server if the version or service has one in service that the request does not exclude: if all of these are
// ejected, it returns the least loaded one.
package crlbalance
