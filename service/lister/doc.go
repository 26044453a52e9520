// Package lister maintains the known upstreams and the seed hosts of the membership. Both come from the platform's list of
// hosts, which lags, so the state of an upstream is corrected by what this host's own attempts showed.
//
// Lister is the state machine; Driver reads the list and publishes the upstreams.
package lister
