// Package historian keeps which software versions the upstreams of each pool had lately, in one object of the platform's store.
//
// While a pool has had one version only, every stream of it began at that version, so a stream can be continued even if all
// hosts were lost and nobody has a record of it. One host at a time maintains the object and writes it when a version
// appears, and when one has been gone for long; any host may read it.
//
// History is the state of one host; Driver connects it to the store.
package historian
