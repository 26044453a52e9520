// Package listener binds a TCP address and serves HTTP on it, with a graceful and an abrupt shutdown.
package listener
