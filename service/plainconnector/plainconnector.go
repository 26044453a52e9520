package plainconnector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/exchanger"
)

// DefaultMaxBody is the default limit of a response's body.
const DefaultMaxBody identifier.Bytes = 16 << 20

// The request headers that carry the attempt id and the deadline; a response may repeat the attempt id.
const (
	AttemptHeader  = "X-Attempt-Id"
	DeadlineHeader = "X-Request-Deadline"
)

var (
	errAttemptMismatch = errors.New("response carries another attempt id")
	errUnframed        = errors.New("response has neither Content-Length nor chunked encoding, so its end cannot be verified")
	errBodyTooLarge    = errors.New("response body exceeds the limit")
)

// Config configures a client; zero values mean the defaults.
type Config struct {
	Exchange exchanger.Config
	// MaxBody bounds the body of a response; a longer one is an error.
	MaxBody identifier.Bytes
}

// Client implements connector.PlainServices.
type Client struct {
	maxBody  identifier.Bytes
	exchange *exchanger.Exchanger
}

var _ connector.PlainServices = (*Client)(nil)

// New returns a client.
func New(config Config) *Client {
	if config.MaxBody <= 0 {
		config.MaxBody = DefaultMaxBody
	}
	return &Client{maxBody: config.MaxBody, exchange: exchanger.New(config.Exchange)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.exchange.Close() }

// Probe reports whether the upstream accepts connections.
func (c *Client) Probe(ctx context.Context, upstream connector.Upstream) error {
	return c.exchange.Probe(ctx, upstream.Address)
}

// Do runs one attempt and returns the complete response; its errors are *connector.UpstreamError.
func (c *Client) Do(ctx context.Context, call connector.PlainCall) (connector.PlainResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	// If the body was not read to its end, this closes the connection.
	defer cancel()
	request, err := newRequest(ctx, call)
	if err != nil {
		return connector.PlainResponse{}, &connector.UpstreamError{Failure: connector.FailureConnectFailed, Err: err}
	}
	options := exchanger.Options{
		ID: string(call.Attempt), SingleUse: call.SingleUse, OnSent: call.OnSent,
		Check: func(response *http.Response) error { return checkAttempt(response, call) },
	}
	response, err := c.exchange.Do(request, call.Body, options)
	if err != nil {
		return connector.PlainResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if exchanger.NotStarted(response) {
		return connector.PlainResponse{}, exchanger.FailStatus(response)
	}
	body, err := c.readBody(ctx, call, response)
	if err != nil {
		return connector.PlainResponse{}, err
	}
	return connector.PlainResponse{Status: response.StatusCode, Header: exchanger.EndToEnd(response.Header), Body: body}, nil
}

func newRequest(ctx context.Context, call connector.PlainCall) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: call.Upstream.Address, Path: "/" + strings.TrimPrefix(call.Path, "/"), RawQuery: call.Query}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), http.NoBody)
	if err != nil {
		return nil, annotator.Wrap("build plain request", annotator.Peer(call.Upstream.Address), err)
	}
	request.Header = exchanger.EndToEnd(call.Header)
	request.Header.Set(AttemptHeader, string(call.Attempt))
	if !call.Deadline.IsZero() {
		request.Header.Set(DeadlineHeader, call.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return request, nil
}

func checkAttempt(response *http.Response, call connector.PlainCall) error {
	echoed := response.Header.Get(AttemptHeader)
	if echoed == "" || echoed == string(call.Attempt) {
		return nil
	}
	return mismatchError(call, fmt.Errorf("%w: got %s, want %s", errAttemptMismatch, echoed, call.Attempt))
}

func (c *Client) readBody(ctx context.Context, call connector.PlainCall, response *http.Response) ([]byte, error) {
	if unframed(call.Method, response) {
		return nil, exchanger.Fail(ctx, connector.FailureTruncated, annotator.Wrap("read plain response", annotator.Peer(call.Upstream.Address), errUnframed))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(c.maxBody)+1))
	if err != nil {
		return nil, exchanger.Fail(ctx, connector.FailureConnectionLost, annotator.Wrap("read plain response", annotator.Peer(call.Upstream.Address), err))
	}
	if identifier.Bytes(len(body)) > c.maxBody {
		return nil, exchanger.Fail(ctx, connector.FailureTooLarge, annotator.Wrap("read plain response", annotator.Peer(call.Upstream.Address), errBodyTooLarge))
	}
	return body, nil
}

// unframed reports whether only the end of the connection marks the end of the body, so that a truncated body looks
// complete.
func unframed(method string, response *http.Response) bool {
	if method == http.MethodHead || response.Body == http.NoBody {
		return false
	}
	return response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

func mismatchError(call connector.PlainCall, err error) error {
	return &connector.UpstreamError{
		Failure: connector.FailureBindingMismatch,
		Err:     annotator.Wrap("match plain response", annotator.Peer(call.Upstream.Address), err),
	}
}
