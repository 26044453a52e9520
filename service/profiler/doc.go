// Package profiler records what a host knows of each upstream: the load that the upstream states, the age of that statement, the
// host's own attempts there, the long-run speed of the machine, its speed at present and the errors of both.
//
// The load that it answers: machines of one pool differ lastingly, some turn several times slower for seconds, and all change
// for fractions of a second; several hosts fill them without seeing each other's attempts. A caller gets from View the figures
// with which it can compare upstreams for work of any length. Work that the host observes takes precedence over what an upstream
// states of itself, a statement counts less as it ages, and an upstream without either counts as a typical one of its pool.
//
// The memory is one record of fixed size and at most maxStarts start times for each of at most maxUpstreams upstreams.
package profiler
