// Package crlfake provides fakes, for tests and demonstrations, of what daemons connect to: the platform's services, model
// engines and plain services.
//
// Platform serves the log, the VM list and the rating service. Engine and Service are backend servers. Each can be called
// in process or over HTTP, and injects the faults that its Faults struct selects. Backend servers record every run in a
// History, which tests compare with what callers received. FlakyLog adds seeded random faults to a Log, and Network
// connects whole daemons in memory, with latency, pauses, cut links and crashes. Environment starts a Platform and the
// backend servers of a configuration on TCP sockets.
//
// All fakes are safe for concurrent use. They keep their state in memory only. Only tests, the demo and
// cranberrylock-standins import this package.
package crlfake
