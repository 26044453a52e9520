// Package prober keeps the list of live celerygap hosts by SWIM-style random probes.
package prober
