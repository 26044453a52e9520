// Package relayer reaches the store through other hosts while this host's own path to it is broken.
package relayer
