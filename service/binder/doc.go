// Package binder keeps which upstream version began each stream, so that a caller who takes a stream up at another host gets
// events that fit the earlier ones.
//
// The host that passes the first event of a stream on records its origin, and sends it to a few directory hosts, chosen by
// rendezvous hashing among the live ones; any other host asks these. A record never changes, so all copies are the same. A
// stream of which no copy is left, or of which a host has two different ones, is not continued.
//
// After a change of the live hosts, among them a restart, the process that began a stream passes its record on to the directory
// hosts that lack it; once that process is gone, the hosts with copies do. A host that is stopping does so once more.
//
// Records is the state of one host, Copier decides which records others lack, and Driver connects both to the other hosts.
package binder
