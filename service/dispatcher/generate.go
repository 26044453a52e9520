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
	// defaultMaxTokens is the length of a completion that sets none.
	defaultMaxTokens identifier.Tokens = 1024
	// livePriority lifts live requests above training at the engine, whatever their own priorities are.
	livePriority = 1000
	maxPriority  = 499
)

// generation is the state of one model request.
type generation struct {
	job       *job
	request   connector.GenerateRequest
	onChunk   func(connector.Chunk) error
	answer    *answer
	generated identifier.Tokens
	result    connector.GenerateResult
}

// Generate runs a model request; its errors are *refuser.Refusal.
func (d *Dispatcher) Generate(ctx context.Context, request connector.GenerateRequest, onChunk func(connector.Chunk) error) (connector.GenerateResult, error) {
	j, refusal := d.newJob(request.Entry, true)
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
	j.setDeadline(request.Deadline)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if refusal := j.admit(ctx); refusal != nil {
		return connector.GenerateResult{}, refusal
	}
	defer j.release()
	g := &generation{job: j, request: request, onChunk: onChunk, answer: newAnswer()}
	want := router.Route{Model: j.model.Model, Prompt: request.Prompt, MinVersion: request.MinVersion}
	refusal := j.runAttempts(ctx, want, g.run)
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

// run runs one attempt, which continues after the tokens already held.
func (g *generation) run(ctx context.Context, p place, t *tracker) error {
	bound := newBinding(p.attempt, g.answer.tokens, g.request.MaxTokens)
	err := g.job.config().Engines.Complete(ctx, connector.EngineCall{
		Upstream: p.upstream,
		Request:  g.engineRequest(p),
		OnSent:   t.onSent,
		OnChunk: func(chunk codec.EngineChunk) error {
			t.handle(Started{})
			return g.accept(p, bound, chunk)
		},
	})
	incomplete := bound.whole()
	if incomplete == nil {
		// The chunk with the finish reason is the end marker; a connection that is lost after it loses nothing.
		g.complete(p, bound)
		return nil
	}
	if err != nil {
		return err
	}
	return incomplete
}

func (g *generation) engineRequest(p place) codec.EngineRequest {
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
	if g.answer.tokens > 0 {
		request.Resume = &codec.Resume{Text: g.answer.text.String(), Tokens: g.answer.tokens}
	}
	return request
}

func enginePriority(class codec.EntryClass, priority int) int {
	own := min(max(priority, -maxPriority), maxPriority)
	if class == codec.EntryClassTraining {
		return own
	}
	return livePriority + own
}

// accept binds a chunk to the attempt and passes it on; an error ends the attempt.
func (g *generation) accept(p place, bound *binding, chunk codec.EngineChunk) error {
	if fault := bound.check(chunk); fault != "" {
		g.job.countChunk(p, fault, chunk)
		if fault.fatal() {
			return bindingError(fault, chunk)
		}
		return nil
	}
	g.generated += chunk.Tokens
	if chunk.Tokens > 0 && effectiveVersion(chunk) < g.request.MinVersion {
		g.job.noteVersion(p, chunk.WeightVersion)
		return &connector.UpstreamError{
			Failure: connector.FailureOlderWeights,
			Err:     fmt.Errorf("chunk has weight version %d, the request needs %d", effectiveVersion(chunk), g.request.MinVersion),
		}
	}
	part := g.answer.add(chunk)
	part.Upstream = p.upstream.ID
	g.answer.record(chunk)
	if g.onChunk == nil {
		return nil
	}
	if err := g.onChunk(part); err != nil {
		return &connector.UpstreamError{Failure: connector.FailureCancelled, Err: fmt.Errorf("pass chunk to caller: %w", err)}
	}
	return nil
}

func (j *job) noteVersion(p place, version identifier.WeightVersion) {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.router.Handle(time.Now(), router.VersionReported{Upstream: p.upstream.ID, Model: j.model.Model, Version: version})
}

func (j *job) countChunk(p place, fault ChunkFault, chunk codec.EngineChunk) {
	j.d.mu.Lock()
	j.d.chunks[fault]++
	j.d.mu.Unlock()
	j.config().Log.Warn(logger.ChunkRejected).Str("fault", string(fault)).Str("upstream", string(p.upstream.ID)).
		Str("attempt", string(p.attempt)).Str("chunk_attempt", string(chunk.AttemptID)).Int64("sequence", chunk.Sequence).Send()
}

func (g *generation) complete(p place, bound *binding) {
	g.answer.checkWhole(g.job.entry.Name, bound)
	g.result.Text = g.answer.text.String()
	g.result.Tokens = g.answer.tokens
	g.result.Segments = g.answer.segments
	g.result.FinishReason = bound.finish
	g.result.Attempt = p.attempt
	g.result.Upstream = p.upstream.ID
}
