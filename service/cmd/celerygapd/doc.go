// Command celerygapd is the celerygap service; one runs on every host.
package main
