// Package commander implements the command line of celerygapctl.
package commander
