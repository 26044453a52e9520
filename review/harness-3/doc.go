// Command harness3 plays the script cases of the third review: it starts the project's own program as separate processes with
// the commands of the deploy file, beside stand-ins for the platform's store, engines, plain services and clients, all on
// loopback addresses.
package main
