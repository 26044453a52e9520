package connector

import (
	"context"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Evidence is what an attempt showed about the state of an upstream.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceResponded means that the upstream gave a complete response.
	EvidenceResponded Evidence = "answered"
	// EvidenceConnectFailed means that no connection could be made.
	EvidenceConnectFailed Evidence = "connect_failed"
	// EvidenceRefused means that the upstream refused before it started the request.
	EvidenceRefused Evidence = "refused"
	// EvidenceLeaving means that the upstream refused before it started the request because it is leaving.
	EvidenceLeaving Evidence = "leaving"
	// EvidenceAnnouncedLeaving means that a response of the upstream stated that the upstream is leaving.
	EvidenceAnnouncedLeaving Evidence = "announced_leaving"
	// EvidenceConnectionLost means that the connection ended after the request was sent.
	EvidenceConnectionLost Evidence = "connection_lost"
)

// Observer receives what the responses of upstreams show about them; its methods do not wait.
type Observer interface {
	// Report receives evidence about the state of an upstream.
	Report(id identifier.UpstreamID, evidence Evidence)
	// ReportLoad receives the load that an upstream has stated.
	ReportLoad(id identifier.UpstreamID, load codec.LoadReport)
	// ReportLimit receives the limit, in requests a second from all hosts together, that the response to a request sent at
	// sentAt named; zero means that it named none.
	ReportLimit(id identifier.UpstreamID, perSecond float64, sentAt time.Time)
}

// Pacer keeps the requests of all hosts to an upstream within the limit that the upstream names.
type Pacer interface {
	// Take uses up a turn for one request to an upstream, if there is one; an upstream that names no limit needs none. Otherwise
	// it requests a turn and returns the earliest time at which there can be one, or zero if that is not known.
	Take(id identifier.UpstreamID) (ok bool, earliest time.Time)
	// Available reports whether Take would succeed now.
	Available(id identifier.UpstreamID) bool
	// Limit returns the requests a second that an upstream takes from all hosts together, or zero if it names no limit.
	Limit(id identifier.UpstreamID) float64
}

// EngineCall is one attempt on an engine.
type EngineCall struct {
	Upstream Upstream
	Request  codec.EngineRequest
	// OnSent is called once, before the first byte is written.
	OnSent func()
	// OnChunk is called for each chunk in the order of arrival; its error cancels the attempt.
	OnChunk func(codec.EngineChunk) error
}

// Engines is the client of the engines' protocol.
type Engines interface {
	// Complete runs one attempt; the error matches ErrNotStarted only if the engine certainly ran nothing.
	Complete(ctx context.Context, call EngineCall) error
	// Cancel ends an attempt on the engine.
	Cancel(ctx context.Context, upstream Upstream, attempt identifier.AttemptID) error
	// Order sends one order and returns the engine's result.
	Order(ctx context.Context, upstream Upstream, order codec.Order) (codec.OrderResult, error)
	// Load returns the engine's load report, which lags behind its load.
	Load(ctx context.Context, upstream Upstream) (codec.LoadReport, error)
	// CacheEvents returns the cache events after a sequence number; events may be late or missing.
	CacheEvents(ctx context.Context, upstream Upstream, after int64) (codec.CacheEvents, error)
}

// Permits issues single-use permits for non-idempotent requests.
type Permits interface {
	// Acquire requests a permit for one request; without a granted permit nothing may be sent.
	Acquire(ctx context.Context, request codec.PermitRequest) (codec.PermitReply, error)
	// Complete records how the permitted request ended; a lost completion leaves the outcome unknown.
	Complete(ctx context.Context, completion codec.PermitCompletion) error
}

// WeightVersions gives access to the weight version that each trainer announced last.
type WeightVersions interface {
	// Current returns the highest announced version of a trainer entry.
	Current(trainer identifier.EntryName) identifier.WeightVersion
	// Announce makes a version known to all hosts and starts the orders that load it. A version never decreases.
	Announce(ctx context.Context, trainer identifier.EntryName, version identifier.WeightVersion) error
}
