package connector

import (
	"context"
	"net/http"
	"time"

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
	// SingleUse asks for a connection that carried no other request, so that a failed write is never ambiguous
	// because the service had closed an idle connection.
	SingleUse bool
	// OnSent is called once, before the first byte is written.
	OnSent func()
}

// PlainServices is the client of plain services.
type PlainServices interface {
	// Do runs one attempt and returns the whole response; its errors are *UpstreamError.
	Do(ctx context.Context, call PlainCall) (PlainResponse, error)
	// Probe reports whether the upstream accepts connections.
	Probe(ctx context.Context, upstream Upstream) error
}

// StreamCall is one attempt to get or continue a stream of events.
type StreamCall struct {
	PlainCall
	// After is the last event that is held; zero starts from the beginning.
	After identifier.EventNumber
	// OnStart is called with the head of a successful response, before its first event.
	OnStart func(PlainResponse) error
	// OnEvent is called for each whole event as it arrives; an error ends the attempt.
	OnEvent func(StreamEvent) error
}

// StreamEvent is one event as the upstream sent it.
type StreamEvent struct {
	Number identifier.EventNumber
	Raw    []byte
}

// Streams is the client of services that answer with streams of events.
type Streams interface {
	// Stream returns nil once the stream is complete; its errors are *UpstreamError.
	Stream(ctx context.Context, call StreamCall) error
}

// StreamSink takes a stream on its way to the caller.
type StreamSink interface {
	// Start is called once, with the head of the first upstream's response.
	Start(PlainResponse) error
	// Event is called for each event in order.
	Event(StreamEvent) error
}

// StreamCaller passes streams on under admission, routing and retries.
type StreamCaller interface {
	// Stream continues a stream on another upstream where its route allows it. Its errors are *refuser.Refusal; a
	// response that is no stream is returned instead of being passed to the sink.
	Stream(ctx context.Context, request PlainRequest, sink StreamSink) (*PlainResponse, error)
}
