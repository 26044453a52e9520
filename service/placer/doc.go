// Package placer decides which engines serve which model and when they load new weights, and gives the orders for it.
//
// Placer is the state machine; Driver holds the lease under which orders are given and performs them.
package placer
