// Package chronometer gives the true time on a host whose wall clock may jump by seconds and come back, and the time since the
// boot of the machine, which also passes while the machine is suspended.
//
// The load that it answers is the count of requests by window: all hosts must put a request in the same window of true time. Its
// callers get a time that follows the boot-time clock and takes over a step of the wall clock only once the step has lasted. Its
// memory is a few words.
package chronometer
