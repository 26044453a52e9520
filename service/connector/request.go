package connector

import (
	"context"
	"net/http"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// GenerateRequest is a request for one completion.
type GenerateRequest struct {
	Entry       identifier.EntryName
	Prompt      string
	MaxTokens   identifier.Tokens
	Temperature float64
	Seed        int64
	// Class decides the order of admission: live requests precede training.
	Class codec.EntryClass
	// Priority orders the requests of one class; higher values go first.
	Priority int
	Deadline time.Time
	// MinVersion excludes engines that serve older weights; zero accepts any version.
	MinVersion identifier.WeightVersion
	// Avoid names upstreams to use only when no other is left.
	Avoid []identifier.UpstreamID
	// Sound is set for a request that was handed in to run later, which never crashes upstreams by itself: no crash counts
	// against it.
	Sound bool
}

// Chunk is a part of a completion, in order and without gaps or repeats.
type Chunk struct {
	Text          string
	FirstToken    identifier.Tokens
	Tokens        identifier.Tokens
	WeightVersion identifier.WeightVersion
	// Upstream is the engine that produced the part.
	Upstream identifier.UpstreamID
}

// GenerateResult is a finished completion.
type GenerateResult struct {
	Text         string
	Tokens       identifier.Tokens
	Segments     []codec.Segment
	FinishReason codec.FinishReason
	Attempt      identifier.AttemptID
	Upstream     identifier.UpstreamID
	// Attempts counts the upstream calls that the completion took.
	Attempts int
	// GeneratedTokens counts the tokens that upstreams produced for the completion, including those of failed attempts.
	GeneratedTokens identifier.Tokens
}

// Generator runs model requests with admission control, routing and retries.
type Generator interface {
	// Generate calls onChunk for each part in order; its errors are *refuser.Refusal.
	Generate(ctx context.Context, request GenerateRequest, onChunk func(Chunk) error) (GenerateResult, error)
}

// PlainRequest is one call to a plain service.
type PlainRequest struct {
	Entry identifier.EntryName
	// Route is the route that matched the request; nil if the caller named the entry itself.
	Route *codec.RouteSpec
	// ID is the caller's own id of the request, for logs.
	ID             string
	Host           string
	Method         string
	Path           string
	Query          string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	// Resumes identifies the stream that the request takes up after the events that the caller has; empty for other requests.
	Resumes  identifier.StreamID
	Deadline time.Time
	// Sound is set for a request that belongs to work that was handed in to run later, such as a reward call. It never crashes
	// upstreams by itself, so no crash counts against it.
	Sound bool
	// Customer is the customer of the caller; empty if it is not known or not needed.
	Customer identifier.CustomerName
	// Priority goes before the priority of the entry; nil means that the customer has none. Zero is the highest.
	Priority *int
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set if this is the stored response of an earlier request with the same idempotency key.
	Replayed bool
	// Load is the load that the upstream reported with the response; nil when it reported none.
	Load *codec.LoadReport
	// Failures counts the responses with status 500 of upstreams to this call, including this one: they ran it and failed.
	Failures int
}

// PlainCaller runs calls to plain services with admission control, routing, permits and retries.
type PlainCaller interface {
	// Call returns the complete response; its errors are *refuser.Refusal.
	Call(ctx context.Context, request PlainRequest) (PlainResponse, error)
}
