package storeconnector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"celerygap.example/lib/codec"
	"celerygap.example/service/connector"
)

var (
	errBaseURL     = errors.New("base URL must have the scheme http or https and a host")
	errNotModified = errors.New("not modified")
)

// StatusError is a response status that the protocol does not define for the call. The call had no effect, unless the
// error also matches connector.ErrOutcomeUnknown.
type StatusError struct {
	Status int
}

// Error formats the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected status %d %s", e.Status, http.StatusText(e.Status))
}

// classifyFailure returns the error of a call without a complete response. The outcome is unknown only for a write of
// which bytes may have arrived at the store.
func classifyFailure(ctx context.Context, k call, mayHaveArrived bool, cause error) error {
	if k.write && mayHaveArrived {
		return fmt.Errorf("%w: %w", connector.ErrOutcomeUnknown, cause)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return cause
	}
	return fmt.Errorf("%w: %w", connector.ErrUnavailable, cause)
}

// maxStatus is above the statuses of responses.
const maxStatus = 600

// classifyResponse returns the error of a call whose status line arrived; readErr is set if the body is incomplete.
func classifyResponse(ctx context.Context, k call, response *http.Response, body []byte, readErr error) error {
	status := response.StatusCode
	switch {
	case status < http.StatusOK || status >= maxStatus:
		// No final response has such a status, so this one shows nothing.
		return classifyFailure(ctx, k, true, &StatusError{Status: status})
	case status == http.StatusOK || status == http.StatusNoContent:
		if readErr != nil {
			return classifyFailure(ctx, k, true, readErr)
		}
		return decodeResult(k, response, body)
	case status == http.StatusNotModified && k.tag != "":
		return errNotModified
	case status == http.StatusNotFound:
		return connector.ErrNotFound
	case status == http.StatusConflict && k.write:
		return decodeConflict(k, body, readErr)
	case status == http.StatusTooManyRequests:
		return connector.ErrThrottled
	case status == http.StatusServiceUnavailable:
		return connector.ErrUnavailable
	case status >= http.StatusInternalServerError && k.write:
		return fmt.Errorf("%w: %w", connector.ErrOutcomeUnknown, &StatusError{Status: status})
	case status >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %w", connector.ErrUnavailable, &StatusError{Status: status})
	default:
		return &StatusError{Status: status}
	}
}

func decodeResult(k call, response *http.Response, body []byte) error {
	if k.newTag != nil {
		*k.newTag = response.Header.Get("ETag")
	}
	if k.result == nil {
		return nil
	}
	err := json.Unmarshal(body, k.result)
	if err == nil {
		return nil
	}
	if k.write {
		return fmt.Errorf("%w: decode response: %w", connector.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: decode response: %w", connector.ErrUnavailable, err)
}

// decodeConflict returns the conflict with the current object. If the object is unreadable, it returns ErrUnavailable: the
// refused write certainly had no effect, so it may be retried.
func decodeConflict(k call, body []byte, readErr error) error {
	var current codec.Object
	if readErr == nil {
		readErr = json.Unmarshal(body, &current)
	}
	if readErr != nil {
		return fmt.Errorf("%w: read conflict: %w", connector.ErrUnavailable, readErr)
	}
	if current.Key == "" {
		current.Key = k.key
	}
	return &connector.ConflictError{Current: current}
}

// resultName returns the label of a call's result in the metrics.
func resultName(err error) string {
	if errors.Is(err, errNotModified) {
		return "not_modified"
	}
	return connector.StoreResult(err)
}
