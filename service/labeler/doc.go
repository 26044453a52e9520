// Package labeler determines which weight versions produced a sample and how stale the sample is.
package labeler
