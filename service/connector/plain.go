package connector

import (
	"context"
	"net/http"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// PlainCall is one attempt on a plain service.
type PlainCall struct {
	Upstream Upstream
	Attempt  identifier.AttemptID
	// Host is the name under which the caller addressed the service; empty means the upstream's address.
	Host     string
	Method   string
	Path     string
	Query    string
	Header   http.Header
	Body     []byte
	Deadline time.Time
	// SingleUse requires a connection that carried no other request. A write on a reused connection may fail because the
	// service has closed the idle connection, and then it is unclear whether the request arrived.
	SingleUse bool
	// OnSent is called once, before the first byte is written.
	OnSent func()
}

// PlainServices is the client of plain services.
type PlainServices interface {
	// Do runs one attempt and returns the complete response; its errors are *UpstreamError.
	Do(ctx context.Context, call PlainCall) (PlainResponse, error)
	// Probe reports whether the upstream accepts connections.
	Probe(ctx context.Context, upstream Upstream) error
}

// StreamCall is one attempt to get or continue a stream of events.
type StreamCall struct {
	PlainCall
	// After is the number of the last event received so far; zero starts from the beginning.
	After identifier.EventNumber
	// Resumable is set if the stream may go on at another upstream. It is then served only by the process of the upstream that
	// the list describes; another one may run other software.
	Resumable bool
	// OnStart is called with the status and header of a successful response, before its first event.
	OnStart func(PlainResponse) error
	// OnEvent is called for each complete event as it arrives; an error ends the attempt.
	OnEvent func(StreamEvent) error
}

// StreamEvent is one event as the upstream sent it.
type StreamEvent struct {
	Number identifier.EventNumber
	Raw    []byte
}

// Streams is the client of services that respond with streams of events.
type Streams interface {
	// Stream returns nil once the stream is complete; its errors are *UpstreamError.
	Stream(ctx context.Context, call StreamCall) error
}

// StreamOrigins keeps which upstreams began the streams that callers may take up at any host.
type StreamOrigins interface {
	// Record keeps the origin of a stream for a time; it does not wait for other hosts.
	Record(stream identifier.StreamID, origin codec.StreamOrigin, keep time.Duration)
	// Resolve returns the origin of a stream that one of the pools began; found is false if no host that responds knows it and
	// it cannot be proved either.
	Resolve(ctx context.Context, stream identifier.StreamID, pools []identifier.PoolName) (origin codec.StreamOrigin, found bool)
}

// StreamSink receives a stream for the caller.
type StreamSink interface {
	// Start is called once, with the status and header of the first upstream's response.
	Start(PlainResponse) error
	// Event is called for each event in order.
	Event(StreamEvent) error
}

// StreamCaller forwards streams with admission control, routing and retries.
type StreamCaller interface {
	// Stream passes the events of a stream to sink and continues it on another upstream where its route allows that.
	// Its errors are *refuser.Refusal; a response that is not a stream is returned and does not reach the sink.
	Stream(ctx context.Context, request PlainRequest, sink StreamSink) (*PlainResponse, error)
}
