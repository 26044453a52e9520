package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/labeler"
)

const (
	scorePath     = "/score"
	scoreDeadline = 2 * time.Minute
)

func (d *Driver) execute(ctx context.Context, command Command) {
	switch c := command.(type) {
	case StartGeneration:
		d.startGeneration(ctx, c)
	case CancelGeneration:
		if cancel, ok := d.cancels[c.Ref]; ok {
			cancel()
		}
	case StartScore:
		d.group.Go(func() { d.reportEnd(d.score(ctx, c)) })
	case ReplyPage:
		d.replyPage(c)
	case SampleFinished:
		d.copySample(c)
	case StepEnded:
		d.config.Log.Info(logger.StepEnded).Str("trainer", string(c.Trainer)).Int64("step", int64(c.Step)).
			Bool("complete", c.Complete).Send()
		d.declarations.remove(stepKey{c.Trainer, c.Step})
	case Released:
		d.handOver(ctx, c)
	case Retried:
		d.countRetry(c)
	}
}

func (d *Driver) countRetry(c Retried) {
	if d.config.Meter != nil {
		d.config.Meter.Retried(string(c.Trainer), c.Reason)
	}
	if c.Reason == refuser.RetrySampleTooOld {
		d.tooOldSamples[c.Trainer]++
	}
}

// logTooOld writes one line per trainer with the number of samples that became too old since the last call.
func (d *Driver) logTooOld() {
	for name, samples := range d.tooOldSamples {
		d.config.Log.Warn(logger.SampleTooOld).Str("trainer", string(name)).Int("samples", samples).Send()
	}
	clear(d.tooOldSamples)
}

// reportEnd passes the end of a generation or score to the driver's goroutine. The ring buffer has room for all of them.
func (d *Driver) reportEnd(event Event) {
	if !d.ends.Offer(event) {
		d.config.Log.Error(logger.DutyFailed).Str("duty", "scheduler").
			Msg("the ring buffer of ended attempts is full; the end of an attempt is lost")
	}
}

func (d *Driver) startGeneration(ctx context.Context, c StartGeneration) {
	attemptCtx, cancel := context.WithCancel(ctx)
	d.cancels[c.Ref] = cancel
	d.group.Go(func() {
		defer cancel()
		d.reportEnd(d.generate(attemptCtx, c))
	})
}

func (d *Driver) generate(ctx context.Context, c StartGeneration) Event {
	labels := labeler.New(labeler.Config{})
	onChunk := func(chunk connector.Chunk) error {
		labels.Handle(time.Time{}, labeler.ChunkReceived{Chunk: chunk})
		// Progress events only help to detect stragglers and stale samples early, so they may be lost if the ring is full.
		d.progress.Offer(ChunkArrived{Ref: c.Ref, Version: chunk.WeightVersion, Upstream: chunk.Upstream})
		return nil
	}
	result, err := d.config.Generator.Generate(ctx, c.Request, onChunk)
	if err != nil {
		return GenerationFailed{Ref: c.Ref, Refusal: refusalOf(err)}
	}
	switch labelled := labels.Handle(time.Time{}, labeler.GenerationFinished{Result: result})[0].(type) {
	case labeler.Labelled:
		return Generated{Ref: c.Ref, Sample: sampleOf(c.Ref, result, labelled.Segments)}
	case labeler.Rejected:
		refusal := refuser.Unknown(refuser.ResponseIncomplete, 0, "%s", labelled.Detail)
		return GenerationFailed{Ref: c.Ref, Refusal: refusal}
	}
	return nil
}

// sampleOf returns the sample without its group and index, which the scheduler adds.
func sampleOf(ref Ref, result connector.GenerateResult, segments []codec.Segment) codec.Sample {
	return codec.Sample{
		Step:         ref.Step,
		Attempt:      result.Attempt,
		Text:         result.Text,
		Tokens:       result.Tokens,
		Segments:     segments,
		FinishReason: result.FinishReason,
	}
}

func (d *Driver) score(ctx context.Context, c StartScore) Event {
	body, err := json.Marshal(scoreRequest{Prompt: c.Prompt, Text: c.Text})
	if err != nil {
		return ScoreFailed{Ref: c.Ref, Refusal: refusalOf(err)}
	}
	response, err := d.config.Scorer.Call(ctx, connector.PlainRequest{
		Entry:          c.Entry,
		Method:         http.MethodPost,
		Path:           scorePath,
		Header:         http.Header{"Content-Type": []string{"application/json"}},
		Body:           body,
		IdempotencyKey: fmt.Sprintf("%s/%d/%d/%s", c.Ref.Trainer, c.Ref.Step, c.Ref.Slot, c.Attempt),
		Deadline:       d.config.Timer.Now().Add(scoreDeadline),
	})
	if err != nil {
		return ScoreFailed{Ref: c.Ref, Refusal: refusalOf(err)}
	}
	if response.Status != http.StatusOK {
		reason := scoreReason(response)
		refusal := refuser.Unknown(reason, 0, "the scorer responded with status %d", response.Status)
		return ScoreFailed{Ref: c.Ref, Refusal: refusal}
	}
	reward, err := decodeScore(response.Body)
	if err != nil {
		refusal := refuser.Unknown(refuser.ResponseIncomplete, 0, "cannot decode the scorer's response: %v", err)
		return ScoreFailed{Ref: c.Ref, Refusal: refusal}
	}
	return Scored{Ref: c.Ref, Reward: reward}
}

// scoreReason returns the reason why a response has no reward. A replayed response does not change for its idempotency key,
// so its reason makes the scheduler generate the sample again, which gives it another key.
func scoreReason(response connector.PlainResponse) refuser.Reason {
	switch {
	case response.Replayed:
		return refuser.OutcomeUnknown
	case response.Status < http.StatusInternalServerError:
		return refuser.InvalidRequest
	}
	return refuser.UpstreamRefused
}

func (d *Driver) replyPage(c ReplyPage) {
	if d.config.Meter != nil {
		d.config.Meter.Waited(string(c.Trainer), c.Waited.Seconds())
		for _, staleness := range c.Staleness {
			d.config.Meter.Delivered(string(c.Trainer), float64(staleness))
		}
	}
	reply, ok := d.replies[c.ID]
	if !ok {
		return
	}
	delete(d.replies, c.ID)
	reply <- c
}

// refusalOf returns the refusal in an error; for any other error, it returns one whose outcome is unknown.
func refusalOf(err error) *refuser.Refusal {
	if refusal, ok := refuser.As(err); ok {
		return refusal
	}
	refusal := refuser.Unknown(refuser.AttemptsExhausted, busyRetry, "%v", err)
	refusal.Err = err
	return refusal
}
