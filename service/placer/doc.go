// Package placer decides which engines serve which model and when they load new weights, and sends the orders to load.
//
// Placer is the state machine; Driver holds the lease under which orders are sent and executes the state machine's commands.
package placer
