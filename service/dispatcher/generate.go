package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/router"
)

const (
	// defaultMaxTokens is the maximum length of a completion whose request sets none.
	defaultMaxTokens identifier.Tokens = 1024
	// livePriorityOffset is added to the engine priority of live requests; since callers' priorities are limited to
	// ±maxCallerPriority, every live request precedes every training request.
	livePriorityOffset = 1000
	maxCallerPriority  = 499
)

// generation is the state of one model request.
type generation struct {
	job       *job
	request   connector.GenerateRequest
	onChunk   func(connector.Chunk) error
	response  *responseBuffer
	generated identifier.Tokens
	result    connector.GenerateResult
}

// Generate runs a model request and passes its chunks to onChunk, which may be nil; its errors are *refuser.Refusal.
func (d *Dispatcher) Generate(ctx context.Context, request connector.GenerateRequest, onChunk func(connector.Chunk) error) (connector.GenerateResult, error) {
	j, refusal := d.newJob(request.Entry, nil, true)
	var result connector.GenerateResult
	if refusal == nil {
		result, refusal = j.generate(ctx, request, onChunk)
	}
	j.finish(refusal)
	if refusal != nil {
		return result, refusal
	}
	return result, nil
}

func (j *job) generate(ctx context.Context, request connector.GenerateRequest, onChunk func(connector.Chunk) error) (connector.GenerateResult, *refuser.Refusal) {
	if refusal := j.checkSize(len(request.Prompt)); refusal != nil {
		return connector.GenerateResult{}, refusal
	}
	request.MaxTokens = cmp.Or(request.MaxTokens, defaultMaxTokens)
	j.idempotent = true
	j.class = cmp.Or(request.Class, j.class)
	j.priority = request.Priority
	j.avoid = request.Avoid
	j.fingerprint = promptFingerprint(j.model, request.Prompt)
	j.kind = j.fingerprint
	j.sound = request.Sound
	j.setDeadline(request.Deadline)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if refusal := j.admit(ctx); refusal != nil {
		return connector.GenerateResult{}, refusal
	}
	defer j.release()
	g := &generation{job: j, request: request, onChunk: onChunk, response: newResponseBuffer()}
	want := router.Route{Model: j.model.Model, Prompt: request.Prompt, MinVersion: request.MinVersion}
	refusal := j.runAttempts(ctx, want, g.runAttempt)
	g.result.Attempts = j.attempts
	g.result.GeneratedTokens = g.generated
	return g.result, refusal
}

func (j *job) checkSize(size int) *refuser.Refusal {
	limit := cmp.Or(j.entry.Limits.BodyBytes, j.config().MaxBody)
	if identifier.Bytes(size) > limit {
		return j.refuse(refuser.BodyTooLarge, 0, "the body has %d bytes, the limit is %d", size, limit)
	}
	return nil
}

// runAttempt runs one attempt, which resumes after the tokens already held.
func (g *generation) runAttempt(ctx context.Context, p placement, a *lockedAttempt) error {
	validator := newChunkValidator(p.attempt, g.response.tokens, g.request.MaxTokens)
	var rejected error
	err := g.job.config().Engines.Complete(ctx, connector.EngineCall{
		Upstream: p.upstream,
		Request:  g.engineRequest(p),
		OnSent:   a.onSent,
		OnChunk: func(chunk codec.EngineChunk) error {
			a.handle(ResponseStarted{})
			rejected = g.accept(p, validator, chunk)
			return rejected
		},
	})
	if rejected != nil {
		// The rejected chunk may be the one with the finish reason.
		return err
	}
	incomplete := validator.verifyComplete()
	if incomplete == nil {
		// An error after the chunk with the finish reason, such as a lost connection, loses nothing.
		g.complete(p, validator)
		return nil
	}
	if err != nil {
		return err
	}
	return incomplete
}

func (g *generation) engineRequest(p placement) codec.EngineRequest {
	request := codec.EngineRequest{
		AttemptID:   p.attempt,
		Model:       g.job.model.Model,
		Adapter:     g.job.model.Adapter,
		Prompt:      g.request.Prompt,
		MaxTokens:   g.request.MaxTokens,
		Temperature: g.request.Temperature,
		Seed:        g.request.Seed,
		Stream:      true,
		Priority:    enginePriority(g.job.class, g.request.Priority),
	}
	if g.response.tokens > 0 {
		request.Resume = &codec.Resume{Text: g.response.text.String(), Tokens: g.response.tokens}
	}
	return request
}

func enginePriority(class codec.EntryClass, priority int) int {
	clamped := min(max(priority, -maxCallerPriority), maxCallerPriority)
	if class == codec.EntryClassTraining {
		return clamped
	}
	return livePriorityOffset + clamped
}

// accept checks that a chunk belongs to the attempt and passes it to the caller; an error ends the attempt.
func (g *generation) accept(p placement, validator *chunkValidator, chunk codec.EngineChunk) error {
	if fault := validator.accept(chunk); fault != "" {
		g.job.countRefusedChunk(p, fault, chunk)
		if fault.fatal() {
			return chunkMismatchError(fault, chunk)
		}
		return nil
	}
	g.generated += chunk.Tokens
	if chunk.Tokens > 0 && chunkVersion(chunk) < g.request.MinVersion {
		g.job.reportVersion(p, chunk.WeightVersion)
		return &connector.UpstreamError{
			Failure: connector.FailureOlderWeights,
			Err:     fmt.Errorf("chunk has weight version %d, the request requires at least %d", chunkVersion(chunk), g.request.MinVersion),
		}
	}
	g.job.bindSoftware(p)
	part := g.response.add(chunk)
	part.Upstream = p.upstream.ID
	g.response.recordDelivered(chunk)
	if g.onChunk == nil {
		return nil
	}
	if err := g.onChunk(part); err != nil {
		return &connector.UpstreamError{Failure: connector.FailureCancelled, Err: fmt.Errorf("pass chunk to the caller: %w", err)}
	}
	return nil
}

func (j *job) reportVersion(p placement, version identifier.WeightVersion) {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.router.Handle(time.Now(), router.VersionReported{Upstream: p.upstream.ID, Model: j.model.Model, Version: version})
}

func (j *job) countRefusedChunk(p placement, fault ChunkFault, chunk codec.EngineChunk) {
	j.d.mu.Lock()
	j.d.refusedChunks[fault]++
	j.d.mu.Unlock()
	j.config().Log.Warn(logger.ChunkRejected).Str("fault", string(fault)).Str("upstream", string(p.upstream.ID)).
		Str("attempt", string(p.attempt)).Str("chunk_attempt", string(chunk.AttemptID)).Int64("sequence", chunk.Sequence).Send()
}

func (g *generation) complete(p placement, validator *chunkValidator) {
	g.response.checkComplete(g.job.entry.Name, validator)
	g.result.Text = g.response.text.String()
	g.result.Tokens = g.response.tokens
	g.result.Segments = g.response.segments
	g.result.FinishReason = validator.finishReason
	g.result.Attempt = p.attempt
	g.result.Upstream = p.upstream.ID
}
