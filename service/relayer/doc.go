// Package relayer reaches the store through other hosts while this host cannot reach it directly.
package relayer
