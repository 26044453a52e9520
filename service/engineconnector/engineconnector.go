package engineconnector

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
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/exchanger"
)

// Defaults of Config.
const (
	DefaultMaxEvent          identifier.Bytes = 1 << 20
	DefaultMaxResponse       identifier.Bytes = 4 << 20
	DefaultFirstChunkTimeout                  = 60 * time.Second
	DefaultNextChunkTimeout                   = 15 * time.Second
	// drainTimeout bounds the wait for the end of the body after the end marker.
	drainTimeout = 50 * time.Millisecond
)

// DeadlineHeader is the header that carries the deadline of a request in RFC 3339 format.
const DeadlineHeader = "X-Request-Deadline"

// Config configures a client; zero values mean the defaults.
type Config struct {
	Exchange exchanger.Config
	// MaxEvent bounds one line of a stream.
	MaxEvent identifier.Bytes
	// MaxResponse bounds what is read of any other response.
	MaxResponse identifier.Bytes
	// FirstChunkTimeout bounds the wait for the first chunk, which includes the time in the engine's queue.
	FirstChunkTimeout time.Duration
	// NextChunkTimeout bounds the wait for each further chunk.
	NextChunkTimeout time.Duration
}

// Client implements connector.Engines.
type Client struct {
	config   Config
	exchange *exchanger.Exchanger
}

var _ connector.Engines = (*Client)(nil)

// New returns a client.
func New(config Config) *Client {
	if config.MaxEvent <= 0 {
		config.MaxEvent = DefaultMaxEvent
	}
	if config.MaxResponse <= 0 {
		config.MaxResponse = DefaultMaxResponse
	}
	if config.FirstChunkTimeout <= 0 {
		config.FirstChunkTimeout = DefaultFirstChunkTimeout
	}
	if config.NextChunkTimeout <= 0 {
		config.NextChunkTimeout = DefaultNextChunkTimeout
	}
	return &Client{config: config, exchange: exchanger.New(config.Exchange)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.exchange.Close() }

var errStalled = errors.New("engine sent no chunk within the time limit")

// Complete runs one attempt and passes each chunk to OnChunk. Its errors are *connector.UpstreamError or the error that
// OnChunk returned.
func (c *Client) Complete(ctx context.Context, call connector.EngineCall) error {
	ctx, cancel := context.WithCancelCause(ctx)
	// If the body was not read to its end, this closes the connection, so that the rest cannot reach another attempt.
	defer cancel(nil)
	stall := time.AfterFunc(c.config.FirstChunkTimeout, func() {
		cancel(&connector.UpstreamError{Failure: connector.FailureStalled, Err: errStalled})
	})
	defer stall.Stop()
	request, body, err := newRequest(ctx, http.MethodPost, call.Upstream, "/v1/completions", call.Request)
	if err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(DeadlineHeader, deadline.UTC().Format(time.RFC3339Nano))
	}
	request.Header.Set("Accept", "text/event-stream")
	response, err := c.exchange.Do(request, body, exchanger.Options{OnSent: call.OnSent})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return exchanger.FailStatus(response)
	}
	events := newEventReader(response.Body, c.config.MaxEvent)
	onChunk := func(chunk codec.EngineChunk) error {
		stall.Reset(c.config.NextChunkTimeout)
		return call.OnChunk(chunk)
	}
	if err := readStream(ctx, events, onChunk); err != nil {
		return err
	}
	stall.Stop()
	drain(cancel, events, call.OnChunk)
	return nil
}

func readStream(ctx context.Context, events *eventReader, onChunk func(codec.EngineChunk) error) error {
	for {
		chunk, done, err := events.next()
		if err != nil {
			return exchanger.Fail(ctx, streamFailure(err), fmt.Errorf("read engine stream: %w", err))
		}
		if done {
			return nil
		}
		if err := onChunk(chunk); err != nil {
			return err
		}
	}
}

func streamFailure(err error) connector.Failure {
	switch {
	case errors.Is(err, errMalformed):
		return connector.FailureBindingMismatch
	case errors.Is(err, io.EOF):
		return connector.FailureTruncated
	default:
		return connector.FailureConnectionLost
	}
}

// drain reads to the end of the body, so that the connection can be reused. Chunks after the end marker go to onChunk,
// which refuses and counts them. If the body does not end within drainTimeout, the connection is closed.
func drain(cancel context.CancelCauseFunc, events *eventReader, onChunk func(codec.EngineChunk) error) {
	limit := time.AfterFunc(drainTimeout, func() { cancel(nil) })
	defer limit.Stop()
	for {
		chunk, done, err := events.next()
		if err != nil {
			return
		}
		if !done {
			_ = onChunk(chunk)
		}
	}
}

// Cancel ends an attempt on the engine.
func (c *Client) Cancel(ctx context.Context, upstream connector.Upstream, attempt identifier.AttemptID) error {
	return c.callEngine(ctx, http.MethodDelete, upstream, "/v1/completions/"+url.PathEscape(string(attempt)), nil, nil)
}

// Order sends one order and returns the engine's result.
func (c *Client) Order(ctx context.Context, upstream connector.Upstream, order codec.Order) (codec.OrderResult, error) {
	var result codec.OrderResult
	err := c.callEngine(ctx, http.MethodPost, upstream, "/v1/orders", order, &result)
	return result, err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, upstream connector.Upstream) (codec.LoadReport, error) {
	var report codec.LoadReport
	err := c.callEngine(ctx, http.MethodGet, upstream, "/v1/load", nil, &report)
	return report, err
}

// CacheEvents returns the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, upstream connector.Upstream, after int64) (codec.CacheEvents, error) {
	var events codec.CacheEvents
	err := c.callEngine(ctx, http.MethodGet, upstream, "/v1/cache_events?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

func (c *Client) callEngine(ctx context.Context, method string, upstream connector.Upstream, path string, in, out any) error {
	request, body, err := newRequest(ctx, method, upstream, path, in)
	if err != nil {
		return err
	}
	response, err := c.exchange.Do(request, body, exchanger.Options{})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return exchanger.FailStatus(response)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(c.config.MaxResponse)))
	if err != nil {
		return exchanger.Fail(ctx, connector.FailureConnectionLost, annotator.Wrap("read engine response", annotator.Peer(upstream.Address), err))
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return exchanger.Fail(ctx, connector.FailureBindingMismatch, annotator.Wrap("decode engine response", annotator.Peer(upstream.Address), err))
	}
	return nil
}

func newRequest(ctx context.Context, method string, upstream connector.Upstream, path string, in any) (*http.Request, []byte, error) {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, nil, buildError(upstream, err)
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+upstream.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, buildError(upstream, err)
	}
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, body, nil
}

func buildError(upstream connector.Upstream, err error) error {
	return &connector.UpstreamError{
		Failure: connector.FailureConnectFailed,
		Err:     annotator.Wrap("build engine request", annotator.Peer(upstream.Address), err),
	}
}
