// Package tunneler opens connections to upstreams, through another host while this host's own links to them are broken.
//
// A host that cannot reach an upstream itself asks other hosts to connect a stream to it. The bytes of the stream are those of
// the connection, so requests, streams and runs need not know which way they take, and the host that accepted a request keeps
// all decisions on it. Orders to engines do not go this way, because an engine takes each host for a holder of its own.
//
// Paths is the state machine that decides when the other hosts are asked. Driver opens connections and serves the streams of
// other hosts.
package tunneler
