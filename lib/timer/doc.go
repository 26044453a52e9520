// Package timer provides the current time, and ticks to its subscribers.
package timer
