// Command celerygapctl edits the catalogue of celerygap and shows on which hosts it is in effect.
package main
