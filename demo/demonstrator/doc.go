// Package demonstrator runs hosts, stand-ins, callers and a trainer in one process and reports the results that the
// callers and the trainer got.
package demonstrator
