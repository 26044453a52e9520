// Package cataloguer holds the catalogue in effect on a host, for platforms that keep the configuration themselves.
package cataloguer
