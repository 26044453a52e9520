// Package acceptor opens the listeners of a process and bounds what their clients can hold: connections, half-sent heads, bodies
// that do not come and answers that are not read.
//
// A connection is silent until its first byte, partial while a head is incomplete, idle between two requests, receiving while the
// body of a request is incomplete, and running while a request is served. A listener has a fixed number of connections. A new one
// takes the place of another that is silent, partial, idle or receiving, in this order and the oldest first, but never of one that
// is running. If all are running, the request of the new connection is refused.
//
// A load that it answers: many clients that open connections and send nothing, parts of heads or bodies byte by byte. Other clients
// are served beside them, because each new connection closes one of theirs, and because a head is parsed only when it is complete
// and there is memory for it.
package acceptor
