// Package crlroutecheck checks the content of a routing table before it is put in force, and compares it with the one in force.
//
// Check returns what can't be meant as it is stated: routes that no request matches, shares that go nowhere, limits that contradict
// each other and API keys of two organisations. Compare returns the differences between two configurations. Neither returns an API
// key. The form in which a platform states a configuration, and the place of a route in it, are left to the platform's adapter,
// which passes a Configuration and finds the place of a Finding by its Subject.
package crlroutecheck
