// Package leaseholder acquires, renews, hands over and releases a lease in the platform's store for this host, so that one host at a
// time does a duty of the whole fleet.
//
// updater.Lease is the state machine that decides about the store object; Holder executes its commands, decides whether this host
// should hold the lease, asks another host to stand in while this one cannot do the duty, and counts the calls in flight, because
// the lease is not released before they have ended. Its memory does not depend on the number of calls; the calls to the store are
// one per renewal on the holder and one or two a second on hosts that want the lease and do not hold it.
package leaseholder
