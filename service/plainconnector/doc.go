// Package plainconnector forwards HTTP calls to plain services.
package plainconnector
