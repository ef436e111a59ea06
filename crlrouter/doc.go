// Package crlrouter assembles a router of HTTP requests for a platform with a
// central metadata store.
//
// A Router is one of several daemons that serve the same routes. It keeps no
// durable state: it reads the operators' orders (configuration, roll-outs,
// evacuations of failure domains), the entries of the backend servers and the
// status of roll-outs from topics of the store, and joins a group there. The
// roster is the list of that group's members; a router's share of fleet-wide
// limits, such as the retry budget, follows from its size. A Codec and a
// crlforward.Dialect translate between the router and the platform's records
// and headers.
//
// The strongest members of the group, the readers, read the store; the others
// follow them through package crlrelay, which keeps a copy of each topic at
// every router, the replica. While the store is unavailable a router goes
// on with the last known state. How long ago the configuration was last
// confirmed current decides whether it still accepts requests with an API key.
//
// A router that opens no connection to the backend servers hands its requests
// over to other routers of the roster, which take them on a listener of their
// own.
//
// Router.Run starts all goroutines and drains open requests when its context
// ends or one of its loops or listeners fails.
package crlrouter
