// Package drainer tracks the progress of a planned stop for the requests of callers.
package drainer
