package dispatcher

import (
	"errors"
	"fmt"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// ChunkFault is the reason why a chunk was refused.
type ChunkFault string

// The faults of chunks.
const (
	// ChunkOtherAttempt means that the chunk has the id of another attempt.
	ChunkOtherAttempt ChunkFault = "crossed"
	// ChunkDuplicate means that a chunk with its sequence number was already accepted.
	ChunkDuplicate ChunkFault = "repeated"
	// ChunkGap means that its sequence number or its first token does not follow the last accepted chunk.
	ChunkGap ChunkFault = "skipped"
	// ChunkAfterEnd means that it arrived after the chunk with the finish reason.
	ChunkAfterEnd ChunkFault = "late"
	// ChunkInvalid means that its token count is negative, zero although it has text, or above the requested length.
	ChunkInvalid ChunkFault = "invalid"
)

var errChunkMismatch = errors.New("chunk does not match its attempt")

// chunkValidator accepts only the chunks of one attempt, in order and without gaps.
type chunkValidator struct {
	attempt      identifier.AttemptID
	nextSequence int64
	nextToken    identifier.Tokens
	maxTokens    identifier.Tokens
	ended        bool
	totalTokens  identifier.Tokens
	finishReason codec.FinishReason
}

// newChunkValidator returns a validator for an attempt that resumes after the tokens already held.
func newChunkValidator(attempt identifier.AttemptID, held, maxTokens identifier.Tokens) *chunkValidator {
	return &chunkValidator{attempt: attempt, nextToken: held, maxTokens: maxTokens}
}

// accept accepts a chunk or returns why it must be refused; the fault of an accepted chunk is empty.
func (v *chunkValidator) accept(chunk codec.EngineChunk) ChunkFault {
	switch {
	case chunk.AttemptID != v.attempt:
		return ChunkOtherAttempt
	case v.ended:
		return ChunkAfterEnd
	case chunk.Sequence < v.nextSequence:
		return ChunkDuplicate
	case chunk.Sequence > v.nextSequence, chunk.FirstToken != v.nextToken:
		return ChunkGap
	case chunk.Tokens < 0, chunk.Tokens == 0 && chunk.Text != "", v.nextToken+chunk.Tokens > v.maxTokens:
		return ChunkInvalid
	}
	v.nextSequence++
	v.nextToken += chunk.Tokens
	if chunk.FinishReason != "" {
		v.ended, v.totalTokens, v.finishReason = true, chunk.TotalTokens, chunk.FinishReason
	}
	return ""
}

// fatal reports whether the fault ends the attempt. A duplicate, and a chunk after the end, is only
// discarded, because the chunks around it are still contiguous.
func (f ChunkFault) fatal() bool {
	return f == ChunkOtherAttempt || f == ChunkGap || f == ChunkInvalid
}

// verifyComplete returns nil if the finish reason has arrived and its token count matches; otherwise the response is
// truncated.
func (v *chunkValidator) verifyComplete() error {
	switch {
	case !v.ended:
		return truncatedError("stream ended without a finish reason after %d tokens", v.nextToken)
	case v.finishReason == codec.FinishReasonCancelled:
		return truncatedError("engine cancelled the attempt after %d tokens", v.nextToken)
	case v.totalTokens != v.nextToken:
		return truncatedError("engine reports %d tokens in total, received %d", v.totalTokens, v.nextToken)
	default:
		return nil
	}
}

func truncatedError(format string, args ...any) error {
	return &connector.UpstreamError{Failure: connector.FailureTruncated, Err: fmt.Errorf(format, args...)}
}

func chunkMismatchError(fault ChunkFault, chunk codec.EngineChunk) error {
	return &connector.UpstreamError{
		Failure: connector.FailureBindingMismatch,
		Err: fmt.Errorf("%w: %s chunk of attempt %s, sequence %d, first token %d",
			errChunkMismatch, fault, chunk.AttemptID, chunk.Sequence, chunk.FirstToken),
	}
}
