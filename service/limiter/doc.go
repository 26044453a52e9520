// Package limiter decides which requests are admitted, queued or refused, and whether an attempt may be retried.
package limiter
