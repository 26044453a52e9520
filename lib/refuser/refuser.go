package refuser

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"celerygap.example/lib/codec"
)

// ContentType is the media type of problem details (RFC 9457).
const ContentType = "application/problem+json"

// typePrefix starts the type URI of each problem.
const typePrefix = "urn:celerygap:refusal:"

// Refusal is the final result of a request that this service did not complete.
type Refusal struct {
	Reason  Reason
	Outcome codec.Outcome
	Detail  string
	// RetryAfter is how long the caller should wait before it retries; zero means that a retry will not help.
	RetryAfter time.Duration
	Err        error
}

// NotRun returns a refusal of a request of which nothing ran.
func NotRun(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: codec.OutcomeNotRun, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal with an unknown outcome: the request may have run.
func Unknown(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Outcome: codec.OutcomeUnknown, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Error formats the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, %s): %s", r.Reason, r.Outcome, r.Detail)
}

// Unwrap returns the cause, if any.
func (r *Refusal) Unwrap() error { return r.Err }

// Status returns the HTTP status of the refusal's reason, and 500 for a reason that Catalogue lacks.
func (r *Refusal) Status() int {
	for _, entry := range Catalogue {
		if entry.Reason == r.Reason {
			return entry.Status
		}
	}
	return http.StatusInternalServerError
}

// RetryAfterSeconds returns the whole seconds of RetryAfter, rounded up, as the Retry-After header needs them.
func (r *Refusal) RetryAfterSeconds() int {
	return int(math.Ceil(r.RetryAfter.Seconds()))
}

// Problem returns the problem details of the refusal.
func (r *Refusal) Problem() codec.Problem {
	return codec.Problem{
		Type:              typePrefix + string(r.Reason),
		Title:             title(r.Reason),
		Status:            r.Status(),
		Detail:            r.Detail,
		Reason:            string(r.Reason),
		Outcome:           r.Outcome,
		RetryAfterSeconds: r.RetryAfterSeconds(),
	}
}

// As returns the first Refusal in the chain of err and reports whether there is one.
func As(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}

func title(reason Reason) string {
	for _, entry := range Catalogue {
		if entry.Reason == reason {
			return entry.Text
		}
	}
	return string(reason)
}
