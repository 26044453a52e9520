package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// maxAttempts bounds how often a call is sent; an edit can be sent again safely because of its edit id.
	maxAttempts = 4
	// retryDelay is the pause before the second attempt; it doubles with each further one.
	retryDelay = 250 * time.Millisecond
)

// Status is the status that the operator API of one host returns.
type Status struct {
	Host     codec.Member        `json:"host"`
	Ready    bool                `json:"ready"`
	Draining bool                `json:"draining"`
	Revision identifier.Revision `json:"revision"`
	Members  []codec.Member      `json:"members"`
	InEffect []codec.HostInForce `json:"in_force"`
	Snapshot *codec.Snapshot     `json:"snapshot,omitempty"`
	AgeMS    int64               `json:"snapshot_age_ms"`
}

// Config configures a client.
type Config struct {
	// Server is the base URL of a host or of the load balancer.
	Server string
	// Timeout bounds each attempt of a call.
	Timeout time.Duration
}

// Client calls the operator API.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client.
func New(config Config) *Client {
	return &Client{config: config, http: &http.Client{Timeout: config.Timeout}}
}

// ProblemError is returned for a call that the service refused.
type ProblemError struct {
	Problem codec.Problem
}

// Error formats the reason, the detail and the delay before a retry.
func (e *ProblemError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Problem.Reason, e.Problem.Detail)
	if e.Problem.RetryAfterSeconds > 0 {
		text += fmt.Sprintf(" (retry after %d s)", e.Problem.RetryAfterSeconds)
	}
	return text
}

// Catalogue returns the catalogue in effect on the host.
func (c *Client) Catalogue(ctx context.Context) (*codec.Catalogue, error) {
	var catalogue codec.Catalogue
	_, err := c.call(ctx, http.MethodGet, "/v1/operator/catalogue", nil, &catalogue)
	return &catalogue, err
}

// Apply sends an edit, and sends it again with the same edit id if the response was lost.
func (c *Client) Apply(ctx context.Context, edit codec.EditRequest) (codec.EditResult, error) {
	var result codec.EditResult
	_, err := c.call(ctx, http.MethodPut, "/v1/operator/catalogue", edit, &result)
	return result, err
}

// Status returns the status of the host.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	_, err := c.call(ctx, http.MethodGet, "/v1/operator/status", nil, &status)
	return status, err
}

// History returns the last edits, oldest first.
func (c *Client) History(ctx context.Context) ([]codec.Edit, error) {
	var edits []codec.Edit
	_, err := c.call(ctx, http.MethodGet, "/v1/operator/history", nil, &edits)
	return edits, err
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, annotator.Wrap("encode request", "self", err)
	}
	delay := retryDelay
	for attempt := 1; ; attempt++ {
		status, err := c.callOnce(ctx, method, path, encoded, into)
		if err == nil || attempt == maxAttempts || !retryable(err) {
			return status, annotator.Wrap(annotator.Step(method+" "+path), annotator.Peer(c.config.Server), err)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(delay):
		}
		delay *= 2
	}
}

// retryable reports whether a retry may help: after a refusal only if it names a delay, after any other error always.
func retryable(err error) bool {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Problem.RetryAfterSeconds > 0
	}
	return true
}

func (c *Client) callOnce(ctx context.Context, method, path string, body []byte, into any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.config.Server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		problem := &ProblemError{}
		if err := json.Unmarshal(text, &problem.Problem); err != nil {
			return response.StatusCode, err
		}
		return response.StatusCode, problem
	}
	return response.StatusCode, json.Unmarshal(text, into)
}
