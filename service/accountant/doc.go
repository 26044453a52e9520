// Package accountant counts the requests that upstreams began to run, by customer and window of true time, and reports the counts of
// all hosts to the platform: for each window once, with one content.
//
// The load that it answers is some ten hosts that each begin a few requests a second and may be killed, frozen or cut off at any
// time. Callers of the platform's API get one report a window, of which at most the last second of a killed host is missing, and
// only exact repeats of it. Counter decides what a host sends to the two collecting hosts, Collector merges what they get, Reporter
// decides what the holder of the lease writes and reports; none of them uses a clock, a network or goroutines. Driver does.
//
// A host holds the windows of the last keepTime: one number for each customer and process that had requests in the window. Each
// window costs one write to the store and, per host with requests, at most one message a second to two hosts.
package accountant
