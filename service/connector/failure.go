package connector

import (
	"errors"
	"fmt"
	"time"
)

// Failure classifies how an attempt on an upstream failed.
type Failure string

// The classes of failed attempts.
const (
	// FailureConnectFailed means that no connection was made; nothing was sent.
	FailureConnectFailed Failure = "connect_failed"
	// FailureNotStarted means that the upstream refused the request and stated that nothing of it ran.
	FailureNotStarted Failure = "not_started"
	// FailureLeaving means the same as FailureNotStarted, and that the upstream is leaving.
	FailureLeaving Failure = "leaving"
	// FailureConnectionLost means that the connection ended after the request was sent.
	FailureConnectionLost Failure = "connection_lost"
	// FailureTruncated means that the response ended without an error but may be incomplete: it has no end marker, or
	// neither a length nor chunks.
	FailureTruncated Failure = "truncated"
	// FailureBindingMismatch means that the response belongs to another attempt, breaks the order of its chunks or is malformed.
	FailureBindingMismatch Failure = "binding_mismatch"
	// FailureUnavailable means that the upstream responded with a status that permits a retry (429 or 5xx).
	FailureUnavailable Failure = "unavailable"
	// FailureRejected means that the upstream rejected the request itself (4xx other than 429).
	FailureRejected Failure = "rejected"
	// FailureTooLarge means that the response exceeds the size limit.
	FailureTooLarge Failure = "too_large"
	// FailureStalled means that the upstream sent nothing for too long.
	FailureStalled Failure = "stalled"
	// FailureOlderWeights means that the engine served weights older than the request allows.
	FailureOlderWeights Failure = "older_weights"
	// FailureRestarted means that another process of the upstream responded than the one that the list describes, so that the
	// version of its software is not known.
	FailureRestarted Failure = "restarted"
	// FailureStopped means that this host ended the attempt because the same request has crashed other upstreams.
	FailureStopped Failure = "stopped"
	// FailureCancelled means that this host ended the attempt because the caller left or the deadline passed.
	FailureCancelled Failure = "cancelled"
	// FailureBodyUnavailable means that the body of the request could not be read from the store; nothing was sent.
	FailureBodyUnavailable Failure = "body_unavailable"
)

// UpstreamError is a failed attempt; it matches ErrNotStarted when the upstream certainly ran nothing.
type UpstreamError struct {
	Failure Failure
	Status  int
	// RetryAfter is the wait that the upstream requested before a retry; zero if it requested none.
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

// Is reports whether target is ErrNotStarted and the failure means that nothing of the request ran.
func (e *UpstreamError) Is(target error) bool {
	return target == ErrNotStarted && e.Failure.notStarted()
}

func (f Failure) notStarted() bool {
	return f == FailureConnectFailed || f == FailureNotStarted || f == FailureLeaving
}

// FailureOf returns the failure in an error's chain; an error without one counts as a lost connection.
func FailureOf(err error) Failure {
	var failed *UpstreamError
	if errors.As(err, &failed) {
		return failed.Failure
	}
	if errors.Is(err, ErrNotStarted) {
		return FailureNotStarted
	}
	return FailureConnectionLost
}
