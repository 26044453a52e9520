// Package cataloguer holds the catalogue in effect on this host when the platform keeps the configuration.
package cataloguer
