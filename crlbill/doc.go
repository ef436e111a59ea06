// Package crlbill bills each request exactly once.
//
// A [Bill] carries the identifier that the request got when it entered the fleet, which is the same for all its attempts,
// escalations (to a more expensive version) and resumes (of an answer that broke off). Bills are entries of the stream [Stream]
// of the platform's log. A [Fold] counts the first complete bill of a request and drops the others.
//
// A [Ledger] makes a bill durable before the last frame of an answer is sent: on the log or, while the log does not answer, in
// the memory of two peers. The peers keep it in [HeldBills] and append it if the daemon does not. They also hold the open
// requests of the daemon, so that the requests of a daemon that crashed are billed as interrupted.
//
// A Ledger is safe for concurrent use: only tasks of its [Loop] access the state of the fold and of the held bills. Fold and
// HeldBills are state machines without I/O and not safe for concurrent use. A committed bill can be lost if, during one
// outage of the log, the daemon and both peers that hold the bill stop before the daemon has asked other peers to hold it.
package crlbill
