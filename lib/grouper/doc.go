// Package grouper starts and supervises goroutines. No other package of the programs starts one.
package grouper
