// Package forwarder implements a TCP proxy that resets, delays, holds or refuses connections, for tests of network failures.
package forwarder
