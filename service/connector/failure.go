package connector

import (
	"errors"
	"fmt"
	"time"
)

// Failure says how an attempt on an upstream failed.
type Failure string

// The ways in which an attempt fails.
const (
	// FailureConnect means that no connection was made; nothing was sent.
	FailureConnect Failure = "connect_failed"
	// FailureNotStarted means that the upstream refused and states that nothing ran.
	FailureNotStarted Failure = "not_started"
	// FailureLeaving is FailureNotStarted by an upstream that is leaving.
	FailureLeaving Failure = "leaving"
	// FailureLost means that the connection ended after the request was sent.
	FailureLost Failure = "connection_lost"
	// FailureTruncated means that the response ended in order but without its end marker.
	FailureTruncated Failure = "truncated"
	// FailureMismatch means that the response belongs to another attempt or breaks the order of its chunks.
	FailureMismatch Failure = "binding_mismatch"
	// FailureUnavailable means that the upstream failed with a status that allows a repeat (429 or 5xx).
	FailureUnavailable Failure = "unavailable"
	// FailureRejected means that the upstream finds fault with the request itself (4xx).
	FailureRejected Failure = "rejected"
	// FailureTooLarge means that the response exceeds the size limit.
	FailureTooLarge Failure = "too_large"
	// FailureStalled means that the upstream sent nothing for too long.
	FailureStalled Failure = "stalled"
	// FailureOlderWeights means that the engine served weights older than the request allows.
	FailureOlderWeights Failure = "older_weights"
	// FailureStopped means that this host ended the attempt because the same request crashed upstreams elsewhere.
	FailureStopped Failure = "stopped"
	// FailureCancelled means that this host ended the attempt: the caller left or the deadline passed.
	FailureCancelled Failure = "cancelled"
)

// UpstreamError is a failed attempt; it matches ErrNotStarted when the upstream certainly ran nothing.
type UpstreamError struct {
	Failure Failure
	Status  int
	// RetryAfter is the upstream's own hint; zero when it gave none.
	RetryAfter time.Duration
	// Response is the upstream's own complete response, which the caller gets when no other attempt succeeds.
	Response *PlainResponse
	Err      error
}

// Error formats the failure and its cause.
func (e *UpstreamError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("attempt failed (%s, status %d): %v", e.Failure, e.Status, e.Err)
	}
	return fmt.Sprintf("attempt failed (%s): %v", e.Failure, e.Err)
}

// Unwrap returns the cause.
func (e *UpstreamError) Unwrap() error { return e.Err }

// Is matches ErrNotStarted for the failures of which nothing ran.
func (e *UpstreamError) Is(target error) bool {
	return target == ErrNotStarted && e.Failure.notStarted()
}

func (f Failure) notStarted() bool {
	return f == FailureConnect || f == FailureNotStarted || f == FailureLeaving
}

// FailureOf returns the failure in an error's chain; an unclassified error counts as a lost connection.
func FailureOf(err error) Failure {
	var failed *UpstreamError
	if errors.As(err, &failed) {
		return failed.Failure
	}
	if errors.Is(err, ErrNotStarted) {
		return FailureNotStarted
	}
	return FailureLost
}
