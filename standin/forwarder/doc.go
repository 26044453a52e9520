// Package forwarder is a TCP proxy that cuts, delays and swallows connections, for tests of network failures.
package forwarder
