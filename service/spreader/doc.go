// Package spreader keeps a copy of one kind of the store's objects on every host while only one host of each region watches the
// store. That host pushes the state to the heads of the availability zones, which push it to the hosts of their zones.
//
// Spreader is the state machine; Driver follows the store, or receives the state from other hosts.
package spreader
