// Package sharer divides the limits of each catalogue entry between the live hosts by their demand.
package sharer
