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
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// Defaults of Config.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultIdlePerAddress = 64
	DefaultMaxHeader      = identifier.Bytes(64 << 10)
)

const (
	// NotStartedHeader is the header by which an upstream states that nothing of the request ran.
	NotStartedHeader = "X-Not-Started"
	// LeavingHeader accompanies NotStartedHeader when the upstream is leaving.
	LeavingHeader = "X-Leaving"
)

// Config configures an exchanger; zero values mean the defaults.
type Config struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// IdlePerAddress bounds the idle connections to one address.
	IdlePerAddress int
	// MaxHeader bounds the header of a response, informational responses included.
	MaxHeader identifier.Bytes
	// KeepAlive sets the TCP keep-alive probes; the zero value means the defaults of package net.
	KeepAlive net.KeepAliveConfig
	// Dial opens connections; nil means a net.Dialer with DialTimeout and KeepAlive.
	Dial connector.DialFunc
	// Relays reports whether the connections to an address carry one exchange only, so that none is kept for later; nil means no.
	Relays func(address string) bool
}

// OneExchange is implemented by connections that carry one exchange only. They are closed after it.
type OneExchange interface {
	// Claim reserves the connection for an exchange. It is an error if there was one, or if the connection waited too long for it.
	Claim() error
}

// Exchanger sends HTTP requests to upstreams over connections that it reuses. It never sends a request twice, nor two requests with one
// id on the same connection.
type Exchanger struct {
	open   connector.DialFunc
	relays func(address string) bool
	ids    *carriedIDs
	// shared holds the transport of each lane.
	shared    [lanes]*http.Transport
	singleUse *http.Transport
}

// Options are the options of one request.
type Options struct {
	// ID is the id that the upstream repeats in its response; empty for a request without one.
	ID string
	// SingleUse sends the request on a new connection, which is closed afterwards.
	SingleUse bool
	// OnSent is called once, before the first byte is written.
	OnSent func()
	// Check returns an error for a response that does not belong to the request; it may be nil. The connection is then closed, because
	// the response that does may follow.
	Check func(*http.Response) error
	// OnConnection is called with the connection that carries the request; it may be nil.
	OnConnection func(*Connection)
}

// New returns an exchanger.
func New(config Config) *Exchanger {
	config = withDefaults(config)
	x := &Exchanger{open: config.Dial, relays: config.Relays, ids: newCarriedIDs()}
	if x.open == nil {
		x.open = (&net.Dialer{Timeout: config.DialTimeout, KeepAliveConfig: config.KeepAlive}).DialContext
	}
	for lane := range x.shared {
		x.shared[lane] = x.newTransport(config, lane, false)
	}
	x.singleUse = x.newTransport(config, 0, true)
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
	if config.MaxHeader <= 0 {
		config.MaxHeader = DefaultMaxHeader
	}
	return config
}

// newTransport returns a transport that neither decompresses nor uses a proxy: a body is passed on as the upstream wrote
// it.
func (x *Exchanger) newTransport(config Config, lane int, singleUse bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return x.dial(ctx, network, address, lane)
		},
		DisableCompression:  true,
		DisableKeepAlives:   singleUse,
		IdleConnTimeout:     config.IdleTimeout,
		MaxIdleConnsPerHost: config.IdlePerAddress,
		// An upstream in trouble may send bytes without end where a header is due.
		MaxResponseHeaderBytes: int64(config.MaxHeader),
	}
}

func (x *Exchanger) dial(ctx context.Context, network, address string, lane int) (net.Conn, error) {
	conn, err := x.open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn, address: address, lane: lane, ids: x.ids}, nil
}

// Close closes the idle connections.
func (x *Exchanger) Close() {
	for _, shared := range x.shared {
		shared.CloseIdleConnections()
	}
	x.singleUse.CloseIdleConnections()
}

// Probe opens and closes a connection; it returns an error if the upstream accepts none.
func (x *Exchanger) Probe(ctx context.Context, address string) error {
	conn, err := x.open(ctx, "tcp", address)
	if err != nil {
		return annotator.Wrap("probe upstream", annotator.Peer(address), err)
	}
	return conn.Close()
}

// Do sends the request with the given body and returns the response; its errors are *connector.UpstreamError or those of options.Check.
func (x *Exchanger) Do(request *http.Request, body []byte, options Options) (*http.Response, error) {
	transport := x.singleUse
	lane, ok := x.ids.lane(request.URL.Host, options.ID)
	if ok && !options.SingleUse && (x.relays == nil || !x.relays(request.URL.Host)) {
		transport = x.shared[lane]
	} else {
		// No other request follows on the connection.
		options.ID = ""
	}
	response, state, err := x.roundTrip(transport, request, body, options)
	if err != nil && state.abandon() && state.reused.Load() && request.Context().Err() == nil {
		// The idle connection was closed before anything was written to it, or takes no further exchange, so a new one is tried.
		options.ID = ""
		response, state, err = x.roundTrip(x.singleUse, request, body, options)
	}
	if err != nil {
		return nil, classify(request, err, !state.abandon())
	}
	conn := state.conn.Load()
	if err := check(request, response, options); err != nil {
		_ = response.Body.Close()
		if conn != nil {
			_ = conn.Close()
		}
		return nil, err
	}
	if conn != nil && options.OnConnection != nil {
		options.OnConnection(&conn.connection)
	}
	if conn != nil && conn.oneExchange() {
		response.Body = &closingBody{ReadCloser: response.Body, conn: conn}
	}
	return response, nil
}

// The statuses of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

var errStatus = errors.New("the status of the response is none of a final response")

// check returns an error for a response whose status is none of a final response, which the transport lets pass, and for one that
// options.Check rejects. Nothing in the former is believed: like other bytes that are no response, it leaves open whether the request ran.
func check(request *http.Request, response *http.Response, options Options) error {
	if response.StatusCode < minFinalStatus || response.StatusCode > maxFinalStatus {
		return Fail(request.Context(), connector.FailureConnectionLost, annotator.Wrap("read response", annotator.Peer(request.URL.Host), fmt.Errorf("%w: %.40q", errStatus, response.Status)))
	}
	if options.Check != nil {
		return options.Check(response)
	}
	return nil
}

// closingBody is the body of a response on a connection that carries no further exchange.
type closingBody struct {
	io.ReadCloser
	conn net.Conn
}

// Close also closes the connection.
func (b *closingBody) Close() error { return errors.Join(b.ReadCloser.Close(), b.conn.Close()) }

func (x *Exchanger) roundTrip(transport *http.Transport, request *http.Request, body []byte, options Options) (*http.Response, *exchangeState, error) {
	state := &exchangeState{onSent: options.OnSent}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		state.reused.Store(info.Reused)
		if conn, ok := info.Conn.(*watchedConn); ok {
			if (conn.claim() != nil || !x.ids.add(conn, options.ID)) && state.abandon() {
				state.reused.Store(true)
			}
			state.conn.Store(conn)
			conn.exchange.Store(state)
			return
		}
		_ = state.markSent()
	}}
	request = request.Clone(httptrace.WithClientTrace(request.Context(), trace))
	setUnrepeatableBody(request, body)
	response, err := transport.RoundTrip(request)
	return response, state, err
}

// setUnrepeatableBody sets a body that keeps http.Transport from sending the request a second time on its own: the
// transport repeats GET, HEAD, OPTIONS, TRACE and any request with an Idempotency-Key if the body is nil or can be rewound.
func setUnrepeatableBody(request *http.Request, body []byte) {
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	request.Body = io.NopCloser(oneWayReader{bytes.NewReader(body)})
	if len(body) > 0 || lacksBody(request.Method) {
		return
	}
	// With any other method, an empty body that is not nil would be sent in chunks. A nil body is safe once the key is
	// hidden, because the transport repeats these methods only if it sees one.
	request.Body = nil
	hideIdempotencyKey(request.Header)
}

// oneWayReader hides all methods of a reader except Read, so that it cannot be rewound.
type oneWayReader struct{ io.Reader }

// lacksBody reports whether requests of a method normally have no body.
func lacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// hideIdempotencyKey writes the names of the headers that make http.Transport repeat a request in lower case, in which the
// transport does not recognize them. Upstreams do, because HTTP ignores the case of header names.
func hideIdempotencyKey(header http.Header) {
	for name, lowerCase := range map[string]string{"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[lowerCase] = values
		}
	}
}

// classify returns the UpstreamError of a request without a response.
func classify(request *http.Request, err error, sent bool) error {
	failure := connector.FailureConnectionLost
	if !sent {
		failure = connector.FailureConnectFailed
		if errors.Is(context.Cause(request.Context()), context.DeadlineExceeded) || isStalled(request.Context()) {
			// The attempt timed out before a connection was made, so nothing ran.
			return &connector.UpstreamError{Failure: failure, Err: annotator.Wrap("connect to upstream", annotator.Peer(request.URL.Host), err)}
		}
	}
	return Fail(request.Context(), failure, annotator.Wrap("send request to upstream", annotator.Peer(request.URL.Host), err))
}

func isStalled(ctx context.Context) bool {
	var cause *connector.UpstreamError
	return errors.As(context.Cause(ctx), &cause) && cause.Failure == connector.FailureStalled
}

// Fail returns an UpstreamError with the given failure. If ctx was cancelled with an UpstreamError as its cause, Fail
// returns that error instead; if ctx ended otherwise, the failure is FailureCancelled.
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

// FailStatus returns the UpstreamError for a response whose status is a failure; it reads up to 512 bytes of the body into
// the error's text.
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

// NotStarted reports whether the response is a 503 that states that nothing of the request ran.
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
