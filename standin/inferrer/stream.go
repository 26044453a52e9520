package inferrer

import (
	"container/heap"
	"math"
	"strings"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// stream is one completion on the engine; the engine's mutex guards it.
type stream struct {
	request codec.EngineRequest
	script  Script
	arrival int64
	run     *Run
	// next is the position of the next token to produce; end is the position after the last token.
	next identifier.Tokens
	end  identifier.Tokens
	// natural is set if the completion ends at its natural length rather than at max_tokens.
	natural bool
	// producedUntil is the time up to which the due tokens are produced; it starts at the end of the prefill.
	producedUntil time.Time
	// sequence is the sequence number of the next chunk.
	sequence int64
	// cacheVersion is the oldest weight version of the KV cache if that was imported.
	cacheVersion identifier.WeightVersion
	imported     bool
	// oldestVersion is the oldest weight version with which a part of the KV cache was computed.
	oldestVersion identifier.WeightVersion
	pending       []codec.EngineChunk
	// truncateAt ends the stream without an end marker at this position; negative means never.
	truncateAt identifier.Tokens
	// cut makes the truncation abort the connection.
	cut   bool
	ended bool
	wake  chan struct{}
}

func (e *Engine) newStream(request codec.EngineRequest) *stream {
	s := &stream{
		request:       request,
		script:        NewScript(request.Prompt, request.Seed),
		arrival:       e.arrivals,
		truncateAt:    -1,
		oldestVersion: math.MaxInt64,
		wake:          make(chan struct{}, 1),
	}
	e.arrivals++
	if request.Resume != nil {
		s.next = request.Resume.Tokens
	}
	natural := s.script.Length(e.config.MeanTokens)
	s.natural = natural <= request.MaxTokens
	s.end = max(min(natural, request.MaxTokens), s.next)
	return s
}

// emit adds a chunk with the tokens up to end.
func (s *stream) emit(end identifier.Tokens, version identifier.WeightVersion) {
	chunk := codec.EngineChunk{
		AttemptID:     s.request.AttemptID,
		Sequence:      s.sequence,
		FirstToken:    s.next,
		Tokens:        end - s.next,
		Text:          s.script.Text(s.next, end),
		WeightVersion: version,
	}
	if s.imported {
		chunk.CacheVersion = s.cacheVersion
	}
	if end == s.end {
		chunk.FinishReason = codec.FinishReasonLength
		if s.natural {
			chunk.FinishReason = codec.FinishReasonStop
		}
		chunk.TotalTokens = end
	}
	s.run.addTokens(end-s.next, version)
	s.oldestVersion = min(s.oldestVersion, version)
	s.sequence++
	s.next = end
	s.push(chunk)
}

func (s *stream) push(chunk codec.EngineChunk) {
	s.pending = append(s.pending, chunk)
	s.notify()
}

func (s *stream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// prefill returns the time from the start of a stream to its first token. It consumes an imported KV cache, which needs
// no prefill.
func (e *Engine) prefill(now time.Time, s *stream) time.Duration {
	if imported, ok := e.kvCaches.imported[s.request.AttemptID]; ok {
		delete(e.kvCaches.imported, s.request.AttemptID)
		s.imported = true
		s.cacheVersion = imported.Version
		s.oldestVersion = imported.Version
		return 0
	}
	length := len(s.request.Prompt)
	if s.request.Resume != nil {
		length += len(s.request.Resume.Text)
	}
	full := time.Duration(length/bytesPerPromptToken) * e.config.PrefillInterval
	if e.prefixes.touch(now, s.request.Prompt) {
		return time.Duration(float64(full) * cacheHitPrefillShare)
	}
	return full
}

func (e *Engine) crashing(s *stream) bool {
	return strings.Contains(s.request.Prompt, e.config.CrashMarker)
}

// queue is a heap of waiting streams: the highest priority first, then the earliest arrival.
type queue []*stream

// Len returns the number of waiting streams.
func (q queue) Len() int { return len(q) }

// Less orders by priority, then by arrival.
func (q queue) Less(i, j int) bool {
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority > q[j].request.Priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two streams.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a stream; it is called by package heap.
func (q *queue) Push(x any) { *q = append(*q, x.(*stream)) }

// Pop removes the last stream; it is called by package heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

func (q *queue) remove(s *stream) {
	for i, other := range *q {
		if other == s {
			heap.Remove(q, i)
			return
		}
	}
}
