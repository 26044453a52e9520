// Package harness starts hosts of celerygap as the deploy file says, on loopback addresses, with stand-ins for the platform's store
// and engines that follow the users' pages, and records what they see.
package harness
