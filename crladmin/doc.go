// Package crladmin is the HTTP interface of a daemon for operators.
//
// A Server publishes configurations and shows the daemon's status, the sums of bills, the configuration that each daemon of the
// fleet has in force, and the burn report, which states how fast the error budgets of organisations and classes are used. It
// also serves metrics, and answers the health checks of the platform's load balancer. It gets all data through the interfaces
// of its ServerConfig and keeps none, so it is as safe for concurrent use as these are.
package crladmin
