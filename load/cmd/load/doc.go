// Command load compares the rate and the latency of calls to an upstream with those of the same calls through a host.
package main
