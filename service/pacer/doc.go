// Package pacer keeps the requests of all hosts to an upstream within the limit that the upstream names in its responses.
//
// A host sends a request to a limited upstream only with a turn. One host, chosen by rendezvous hashing among the live ones,
// hands out the turns for an upstream, so the limit goes to the hosts that have requests for it, however many hosts there are.
// A host that cannot reach it asks the next one, which hands out turns at half the rate, so that both together stay within one
// and a half times the limit.
//
// Pacer is the state machine of a host's turns, and Scheduler the one that hands them out. Driver connects both to the other
// hosts.
package pacer
