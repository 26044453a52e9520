// Package loader measures requests that are sent to an upstream directly and through a host, so that the two can be
// compared.
package loader
