// Package listener binds a TCP address and serves HTTP on it, with a graceful shutdown and an abrupt
// one.
package listener
