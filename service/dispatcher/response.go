package dispatcher

import (
	"maps"
	"strings"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// responseBuffer accumulates the accepted chunks of a completion over all its attempts.
type responseBuffer struct {
	text     strings.Builder
	tokens   identifier.Tokens
	segments []codec.Segment
	// delivered and deliveredBytes count what was passed to the caller and tokensByVersion the tokens by the weight
	// versions of the engines' chunks. They are kept independently of the fields above, so that checkComplete can
	// compare the two.
	delivered       identifier.Tokens
	deliveredBytes  int
	tokensByVersion map[identifier.WeightVersion]identifier.Tokens
}

func newResponseBuffer() *responseBuffer {
	return &responseBuffer{tokensByVersion: make(map[identifier.WeightVersion]identifier.Tokens)}
}

// effectiveVersion returns the oldest weight version that contributed to a chunk: KV cache computed with an older
// version counts as that version.
func effectiveVersion(chunk codec.EngineChunk) identifier.WeightVersion {
	if chunk.CacheVersion != 0 {
		return min(chunk.WeightVersion, chunk.CacheVersion)
	}
	return chunk.WeightVersion
}

// add appends an accepted chunk and returns it in the form that is passed to the caller.
func (r *responseBuffer) add(chunk codec.EngineChunk) connector.Chunk {
	version := effectiveVersion(chunk)
	if chunk.Tokens > 0 && (len(r.segments) == 0 || r.segments[len(r.segments)-1].WeightVersion != version) {
		r.segments = append(r.segments, codec.Segment{FirstToken: r.tokens, WeightVersion: version})
	}
	part := connector.Chunk{Text: chunk.Text, FirstToken: r.tokens, Tokens: chunk.Tokens, WeightVersion: version}
	r.text.WriteString(chunk.Text)
	r.tokens += chunk.Tokens
	return part
}

// recordDelivered counts a chunk that is passed to the caller.
func (r *responseBuffer) recordDelivered(chunk codec.EngineChunk) {
	r.delivered += chunk.Tokens
	r.deliveredBytes += len(chunk.Text)
	if chunk.Tokens == 0 {
		return
	}
	version := chunk.WeightVersion
	if chunk.CacheVersion != 0 && chunk.CacheVersion < version {
		version = chunk.CacheVersion
	}
	r.tokensByVersion[version] += chunk.Tokens
}

// checkComplete checks the invariants of a complete response: its length is the engine's count and what the caller
// received, and its segments match the weight versions of the chunks.
func (r *responseBuffer) checkComplete(entry identifier.EntryName, validator *chunkValidator) {
	asserter.Check(asserter.ResponseComplete, validator.ended && validator.totalTokens == r.delivered && r.tokens == r.delivered && r.text.Len() == r.deliveredBytes,
		"entry %s: end marker received %t, tokens: %d counted by the engine, %d held, %d passed to the caller; text bytes: %d held, %d passed to the caller",
		entry, validator.ended, validator.totalTokens, r.tokens, r.delivered, r.text.Len(), r.deliveredBytes)
	asserter.Check(asserter.LabelsMatchChunks, maps.Equal(r.tokensBySegment(), r.tokensByVersion),
		"entry %s: segments %v do not match the tokens of the chunks by version %v", entry, r.segments, r.tokensByVersion)
}

func (r *responseBuffer) tokensBySegment() map[identifier.WeightVersion]identifier.Tokens {
	sums := make(map[identifier.WeightVersion]identifier.Tokens, len(r.tokensByVersion))
	for i, segment := range r.segments {
		end := r.tokens
		if i+1 < len(r.segments) {
			end = r.segments[i+1].FirstToken
		}
		sums[segment.WeightVersion] += end - segment.FirstToken
	}
	return sums
}
