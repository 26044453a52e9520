// Package annotator wraps errors with the operation that failed and the party that it involved.
package annotator
