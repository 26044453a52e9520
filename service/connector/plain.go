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
	// Probe tells whether the upstream accepts connections.
	Probe(ctx context.Context, upstream Upstream) error
}
