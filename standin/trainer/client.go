package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// retryInterval is the pause before a failed call is made again.
	retryInterval = 100 * time.Millisecond
	// callTimeout limits one call, in addition to the wait that the call requests.
	callTimeout = 10 * time.Second
)

// statusError is an error status that a retry at another address would not change.
type statusError struct {
	status int
	body   string
}

// Error returns the status and the response body.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

func hasStatus(err error, status int) bool {
	var e *statusError
	return errors.As(err, &e) && e.status == status
}

// client calls the service at one of several addresses and moves to the next one when a call fails.
type client struct {
	http     *http.Client
	services []string
	current  int
	onRetry  func(error)
}

// do retries a call until it succeeds or fails with a statusError. All calls of the trainer are idempotent and may be
// retried.
func (c *client) do(ctx context.Context, method, path string, body []byte, wait time.Duration) ([]byte, error) {
	for {
		base := strings.TrimSuffix(c.services[c.current%len(c.services)], "/")
		response, err := c.doOnce(ctx, method, base+path, body, wait)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if _, final := errors.AsType[*statusError](err); final {
			return nil, annotator.Wrap(annotator.Step(method+" "+path), annotator.Peer(base), err)
		}
		c.onRetry(err)
		c.current++
		if err := pause(ctx, retryInterval); err != nil {
			return nil, err
		}
	}
}

func (c *client) doOnce(ctx context.Context, method, address string, body []byte, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	switch status := response.StatusCode; {
	case status < http.StatusMultipleChoices:
		return content, nil
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return nil, fmt.Errorf("status %d: %s", status, content)
	default:
		return nil, &statusError{status: status, body: string(content)}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		return nil
	}
}

func (t *Trainer) stepPath(step identifier.StepNumber) string {
	return "/v1/trainers/" + url.PathEscape(string(t.config.Name)) + "/steps/" + strconv.FormatInt(int64(step), 10)
}

func (t *Trainer) declare(ctx context.Context, declaration codec.StepDeclaration) error {
	body, err := json.Marshal(declaration)
	if err != nil {
		return err
	}
	_, err = t.client.do(ctx, http.MethodPut, t.stepPath(declaration.Step), body, 0)
	return err
}

func (t *Trainer) readPage(ctx context.Context, step identifier.StepNumber, cursor string) (codec.SamplePage, error) {
	query := url.Values{
		"cursor":         {cursor},
		"weight_version": {strconv.FormatInt(int64(t.version), 10)},
		"wait":           {t.config.PageWait.String()},
	}
	path := t.stepPath(step) + "/samples?" + query.Encode()
	var page codec.SamplePage
	content, err := t.client.do(ctx, http.MethodGet, path, nil, t.config.PageWait)
	if err != nil {
		return page, err
	}
	return page, json.Unmarshal(content, &page)
}

// announce uploads the weights of a version and announces the version to the service.
func (t *Trainer) announce(ctx context.Context, version identifier.WeightVersion) error {
	number := strconv.FormatInt(int64(version), 10)
	if t.config.WeightStore != "" {
		path := "/weights/" + url.PathEscape(string(t.config.Model)) + "/" + number
		if _, err := t.weights.do(ctx, http.MethodPut, path, make([]byte, t.config.WeightBytes), 0); err != nil {
			return err
		}
	}
	path := "/v1/trainers/" + url.PathEscape(string(t.config.Name)) + "/weights/" + number
	_, err := t.client.do(ctx, http.MethodPut, path, nil, 0)
	return err
}
