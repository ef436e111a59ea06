// Package crlquarantine keeps requests from backend servers that crash each server that runs them: those with a certain part in their prompts, and
// repeats of a certain request.
//
// When a server crashes under a request, each part of the prompt that other requests may share is suspected. Other requests were at the server too, so a part is
// quarantined, and no request with it is sent any more, only after crashes with several requests on several servers. Unless the servers had begun to answer
// these very requests, the crashes must have come one after the other. An answer clears a part if it shows that the part doesn't crash servers: its beginning
// if they crashed before that, its end otherwise. Parts that come with a quarantined one are suspected as well; a request with such a part is sent if the crashes
// of that part are all explained by a quarantined part that the request lacks.
//
// A request is suspected in the same way, together with all that have the same content, if a server ended while it ran it and it got no answer
// elsewhere either.
//
// What is known of suspects lies in a topic of the platform's store, as one record for each, so that all daemons know it. [Registry]
// holds the records, decides on requests, and returns the changes that are to be written. In an outage of the store each daemon goes by what it has
// observed itself.
//
// From time to time one daemon sends one request with a quarantined part, so that a part that was wrongly suspected is released. The
// times in between grow, as such a request may cost a server. A quarantined request is sent a few times only.
//
// A Registry may be used by several goroutines.
package crlquarantine
