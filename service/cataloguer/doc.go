// Package cataloguer holds the catalogue in force on this host when the platform keeps the configuration.
package cataloguer
