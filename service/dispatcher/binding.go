package dispatcher

import (
	"errors"
	"fmt"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// ChunkFault says why a chunk was refused.
type ChunkFault string

// The faults of chunks.
const (
	// ChunkCrossed means that the chunk carries the id of another attempt.
	ChunkCrossed ChunkFault = "crossed"
	// ChunkRepeated means that its sequence number was already taken.
	ChunkRepeated ChunkFault = "repeated"
	// ChunkSkipped means that chunks or tokens before it are missing.
	ChunkSkipped ChunkFault = "skipped"
	// ChunkLate means that it came after the end of the stream.
	ChunkLate ChunkFault = "late"
	// ChunkInvalid means that its token count cannot be right.
	ChunkInvalid ChunkFault = "invalid"
)

var errBinding = errors.New("chunk does not belong here")

// binding accepts exactly the chunks of one attempt, in order.
type binding struct {
	attempt  identifier.AttemptID
	sequence int64
	token    identifier.Tokens
	limit    identifier.Tokens
	ended    bool
	total    identifier.Tokens
	finish   codec.FinishReason
}

// newBinding expects the chunks of an attempt that starts after the tokens already held.
func newBinding(attempt identifier.AttemptID, held, limit identifier.Tokens) *binding {
	return &binding{attempt: attempt, token: held, limit: limit}
}

// check returns why a chunk must be refused; an empty fault means that it was accepted.
func (b *binding) check(chunk codec.EngineChunk) ChunkFault {
	switch {
	case chunk.AttemptID != b.attempt:
		return ChunkCrossed
	case b.ended:
		return ChunkLate
	case chunk.Sequence < b.sequence:
		return ChunkRepeated
	case chunk.Sequence > b.sequence, chunk.FirstToken != b.token:
		return ChunkSkipped
	case chunk.Tokens < 0, chunk.Tokens == 0 && chunk.Text != "", b.token+chunk.Tokens > b.limit:
		return ChunkInvalid
	}
	b.sequence++
	b.token += chunk.Tokens
	if chunk.FinishReason != "" {
		b.ended, b.total, b.finish = true, chunk.TotalTokens, chunk.FinishReason
	}
	return ""
}

// fatal reports whether the stream cannot be trusted further. A repeated or late chunk is refused alone, because the
// chunks around it are still contiguous.
func (f ChunkFault) fatal() bool {
	return f == ChunkCrossed || f == ChunkSkipped || f == ChunkInvalid
}

// whole returns nil when the end marker came and its token count matches.
func (b *binding) whole() error {
	switch {
	case !b.ended:
		return truncated("stream ended without an end marker after %d tokens", b.token)
	case b.finish == codec.FinishReasonCancelled:
		return truncated("engine cancelled the attempt after %d tokens", b.token)
	case b.total != b.token:
		return truncated("engine counts %d tokens, received %d", b.total, b.token)
	default:
		return nil
	}
}

func truncated(format string, args ...any) error {
	return &connector.UpstreamError{Failure: connector.FailureTruncated, Err: fmt.Errorf(format, args...)}
}

func bindingError(fault ChunkFault, chunk codec.EngineChunk) error {
	return &connector.UpstreamError{
		Failure: connector.FailureMismatch,
		Err: fmt.Errorf("%w: %s chunk of attempt %s, sequence %d, first token %d",
			errBinding, fault, chunk.AttemptID, chunk.Sequence, chunk.FirstToken),
	}
}
