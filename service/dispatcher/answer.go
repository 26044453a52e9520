package dispatcher

import (
	"maps"
	"strings"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// answer is the part of a completion that this host holds.
type answer struct {
	text     strings.Builder
	tokens   identifier.Tokens
	segments []codec.Segment
	// passed counts what the caller was given and perVersion what the engines' chunks said, both apart from the fields
	// above, so that the invariants compare two accounts.
	passed     identifier.Tokens
	passedText int
	perVersion map[identifier.WeightVersion]identifier.Tokens
}

func newAnswer() *answer {
	return &answer{perVersion: make(map[identifier.WeightVersion]identifier.Tokens)}
}

// effectiveVersion is the oldest version that took part: KV cache of an older version counts as that version.
func effectiveVersion(chunk codec.EngineChunk) identifier.WeightVersion {
	if chunk.CacheVersion != 0 {
		return min(chunk.WeightVersion, chunk.CacheVersion)
	}
	return chunk.WeightVersion
}

// add keeps an accepted chunk and returns it in the form for the caller.
func (a *answer) add(chunk codec.EngineChunk) connector.Chunk {
	version := effectiveVersion(chunk)
	if chunk.Tokens > 0 && (len(a.segments) == 0 || a.segments[len(a.segments)-1].WeightVersion != version) {
		a.segments = append(a.segments, codec.Segment{FirstToken: a.tokens, WeightVersion: version})
	}
	part := connector.Chunk{Text: chunk.Text, FirstToken: a.tokens, Tokens: chunk.Tokens, WeightVersion: version}
	a.text.WriteString(chunk.Text)
	a.tokens += chunk.Tokens
	return part
}

// record notes what a chunk said and that the caller was given it.
func (a *answer) record(chunk codec.EngineChunk) {
	a.passed += chunk.Tokens
	a.passedText += len(chunk.Text)
	if chunk.Tokens == 0 {
		return
	}
	version := chunk.WeightVersion
	if chunk.CacheVersion != 0 && chunk.CacheVersion < version {
		version = chunk.CacheVersion
	}
	a.perVersion[version] += chunk.Tokens
}

// checkWhole checks the invariants of a complete response.
func (a *answer) checkWhole(entry identifier.EntryName, b *binding) {
	asserter.Check(asserter.ResponseComplete, b.ended && b.total == a.passed && a.tokens == a.passed && a.text.Len() == a.passedText,
		"entry %s: ended %t, engine counts %d tokens, held %d, passed on %d; text %d, passed on %d",
		entry, b.ended, b.total, a.tokens, a.passed, a.text.Len(), a.passedText)
	asserter.Check(asserter.LabelsMatchChunks, maps.Equal(a.labelled(), a.perVersion),
		"entry %s: segments %v, chunks by version %v", entry, a.segments, a.perVersion)
}

func (a *answer) labelled() map[identifier.WeightVersion]identifier.Tokens {
	sums := make(map[identifier.WeightVersion]identifier.Tokens, len(a.perVersion))
	for i, segment := range a.segments {
		end := a.tokens
		if i+1 < len(a.segments) {
			end = a.segments[i+1].FirstToken
		}
		sums[segment.WeightVersion] += end - segment.FirstToken
	}
	return sums
}
