package exchanger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/service/connector"
)

// Defaults of Config.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultIdlePerAddress = 64
)

const (
	// NotStartedHeader is the header by which an upstream states that nothing of the request ran.
	NotStartedHeader = "X-Not-Started"
	// LeavingHeader accompanies NotStartedHeader when the upstream is leaving.
	LeavingHeader = "X-Leaving"
)

// Config configures an exchanger; zero values mean the defaults.
type Config struct {
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
	IdlePerAddress int
	// KeepAlive sets the probes of idle connections; the zero value means the defaults of package net.
	KeepAlive net.KeepAliveConfig
}

// Exchanger sends HTTP requests to upstreams.
type Exchanger struct {
	dialer net.Dialer
	shared *http.Transport
	single *http.Transport
}

// Options are the conditions of one exchange.
type Options struct {
	// SingleUse takes a new connection and closes it afterwards.
	SingleUse bool
	// OnSent is called once, before the first byte is written.
	OnSent func()
}

// New returns an exchanger.
func New(config Config) *Exchanger {
	config = withDefaults(config)
	x := &Exchanger{dialer: net.Dialer{Timeout: config.DialTimeout, KeepAliveConfig: config.KeepAlive}}
	x.shared = x.newTransport(config, false)
	x.single = x.newTransport(config, true)
	return x
}

func withDefaults(config Config) Config {
	if config.DialTimeout <= 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	if config.IdlePerAddress <= 0 {
		config.IdlePerAddress = DefaultIdlePerAddress
	}
	return config
}

// The transport must neither decompress nor use a proxy: a body passes through as the upstream wrote it.
func (x *Exchanger) newTransport(config Config, single bool) *http.Transport {
	return &http.Transport{
		DialContext:         x.dial,
		DisableCompression:  true,
		DisableKeepAlives:   single,
		IdleConnTimeout:     config.IdleTimeout,
		MaxIdleConnsPerHost: config.IdlePerAddress,
	}
}

func (x *Exchanger) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := x.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

// Close closes the idle connections.
func (x *Exchanger) Close() {
	x.shared.CloseIdleConnections()
	x.single.CloseIdleConnections()
}

// Probe opens and closes a connection.
func (x *Exchanger) Probe(ctx context.Context, address string) error {
	conn, err := x.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return annotator.Wrap("probe upstream", annotator.Peer(address), err)
	}
	return conn.Close()
}

// Do sends the request with the given body and returns the response; its errors are *connector.UpstreamError.
func (x *Exchanger) Do(request *http.Request, body []byte, options Options) (*http.Response, error) {
	transport := x.shared
	if options.SingleUse {
		transport = x.single
	}
	response, state, err := roundTrip(transport, request, body, options)
	if err != nil && state.seal() && state.reused.Load() && request.Context().Err() == nil {
		// The upstream had closed the idle connection before anything was written to it.
		response, state, err = roundTrip(x.single, request, body, options)
	}
	if err != nil {
		return nil, classify(request, err, !state.seal())
	}
	return response, nil
}

func roundTrip(transport *http.Transport, request *http.Request, body []byte, options Options) (*http.Response, *exchangeState, error) {
	state := &exchangeState{onSent: options.OnSent}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		state.reused.Store(info.Reused)
		if conn, ok := info.Conn.(*watchedConn); ok {
			conn.exchange.Store(state)
			return
		}
		_ = state.send()
	}}
	request = request.Clone(httptrace.WithClientTrace(request.Context(), trace))
	setUnrepeatableBody(request, body)
	response, err := transport.RoundTrip(request)
	return response, state, err
}

// setUnrepeatableBody keeps http.Transport from sending a request a second time on its own: it repeats GET, HEAD,
// OPTIONS, TRACE and any request with an Idempotency-Key whose body it can rewind, which an empty one always is.
func setUnrepeatableBody(request *http.Request, body []byte) {
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	request.Body = io.NopCloser(oneWayReader{bytes.NewReader(body)})
	if len(body) > 0 || lacksBody(request.Method) {
		return
	}
	// An empty body of unknown length would be sent in chunks; these methods are repeated only with a key.
	request.Body = nil
	hideKey(request.Header)
}

type oneWayReader struct{ io.Reader }

func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// hideKey respells the header that makes http.Transport repeat a request; HTTP ignores the case of names.
func hideKey(header http.Header) {
	for name, respelt := range map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[respelt] = values
		}
	}
}

func classify(request *http.Request, err error, sent bool) error {
	failure := connector.FailureLost
	if !sent {
		failure = connector.FailureConnect
		if errors.Is(context.Cause(request.Context()), context.DeadlineExceeded) || isStalled(request.Context()) {
			// The time for one attempt ended before a connection was made, so nothing ran.
			return &connector.UpstreamError{Failure: failure, Err: annotator.Wrap("connect to upstream", annotator.Peer(request.URL.Host), err)}
		}
	}
	return Fail(request.Context(), failure, annotator.Wrap("exchange with upstream", annotator.Peer(request.URL.Host), err))
}

func isStalled(ctx context.Context) bool {
	var cause *connector.UpstreamError
	return errors.As(context.Cause(ctx), &cause) && cause.Failure == connector.FailureStalled
}

// Fail returns an UpstreamError; a context that this host ended turns the failure into the context's cause.
func Fail(ctx context.Context, failure connector.Failure, err error) error {
	var cause *connector.UpstreamError
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	if ctx.Err() != nil {
		failure = connector.FailureCancelled
	}
	return &connector.UpstreamError{Failure: failure, Err: err}
}

// FailStatus returns the error for a status that is not a response to the request.
func FailStatus(response *http.Response) error {
	failed := &connector.UpstreamError{
		Failure:    statusFailure(response),
		Status:     response.StatusCode,
		RetryAfter: retryAfter(response.Header),
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	failed.Err = fmt.Errorf("status %s: %s", response.Status, text)
	return failed
}

// NotStarted reports whether the response states that nothing of the request ran.
func NotStarted(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(NotStartedHeader) == "true"
}

func statusFailure(response *http.Response) connector.Failure {
	switch {
	case NotStarted(response) && response.Header.Get(LeavingHeader) == "true":
		return connector.FailureLeaving
	case NotStarted(response):
		return connector.FailureNotStarted
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode >= http.StatusInternalServerError:
		return connector.FailureUnavailable
	default:
		return connector.FailureRejected
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
