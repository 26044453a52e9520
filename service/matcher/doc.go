// Package matcher finds the catalogue entry whose route serves an HTTP request.
package matcher
