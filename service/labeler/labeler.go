package labeler

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Command is an output of the state machine.
type Command interface{ isCommand() }

// ChunkReceived adds the next part of the completion.
type ChunkReceived struct{ Chunk connector.Chunk }

// GenerationFinished ends the completion with the generator's result, which is compared with the chunks.
type GenerationFinished struct{ Result connector.GenerateResult }

// Rejected reports that the chunks do not prove which versions produced the sample. The sample must not be delivered.
type Rejected struct{ Detail string }

// Labelled gives the segments of a complete sample, each with another version than the one before.
type Labelled struct{ Segments []codec.Segment }

func (ChunkReceived) isEvent()      {}
func (GenerationFinished) isEvent() {}
func (Rejected) isCommand()         {}
func (Labelled) isCommand()         {}

// Config configures a Labeler; it has no settings.
type Config struct{}

// Labeler is the state machine that builds the segments of one generation from its chunks.
type Labeler struct {
	segments []codec.Segment
	tokens   identifier.Tokens
	text     strings.Builder
	// rejection is why a chunk was rejected; it is empty if none was.
	rejection string
	// tokensByVersion counts the tokens of each version independently of the segments, to check the segments.
	tokensByVersion map[identifier.WeightVersion]identifier.Tokens
}

// New returns a Labeler for one generation.
func New(Config) *Labeler {
	return &Labeler{tokensByVersion: make(map[identifier.WeightVersion]identifier.Tokens)}
}

// Handle applies one event. GenerationFinished results in Labelled or Rejected; ChunkReceived results in Rejected or nothing.
func (l *Labeler) Handle(_ time.Time, event Event) []Command {
	switch e := event.(type) {
	case ChunkReceived:
		return l.add(e.Chunk)
	case GenerationFinished:
		return []Command{l.finish(e.Result)}
	}
	return nil
}

func (l *Labeler) add(chunk connector.Chunk) []Command {
	if chunk.FirstToken != l.tokens {
		return l.reject(fmt.Sprintf("a chunk starts at token %d instead of %d", chunk.FirstToken, l.tokens))
	}
	l.text.WriteString(chunk.Text)
	if chunk.Tokens == 0 {
		return nil
	}
	l.segments = Append(l.segments, codec.Segment{FirstToken: chunk.FirstToken, WeightVersion: chunk.WeightVersion})
	l.tokens += chunk.Tokens
	l.tokensByVersion[chunk.WeightVersion] += chunk.Tokens
	return nil
}

func (l *Labeler) reject(detail string) []Command {
	l.rejection = detail
	return []Command{Rejected{Detail: detail}}
}

func (l *Labeler) finish(result connector.GenerateResult) Command {
	if l.rejection != "" {
		return Rejected{Detail: l.rejection}
	}
	if detail := l.compare(result); detail != "" {
		return Rejected{Detail: detail}
	}
	segments := append([]codec.Segment(nil), l.segments...)
	asserter.Check(asserter.LabelsMatchChunks, l.covers(segments),
		"attempt %s: segments %v do not match the tokens per version %v", result.Attempt, segments, l.tokensByVersion)
	return Labelled{Segments: segments}
}

// compare returns how the generator's result differs from its chunks, or the empty string if it does not.
func (l *Labeler) compare(result connector.GenerateResult) string {
	if result.Tokens != l.tokens {
		return fmt.Sprintf("the result has %d tokens, the chunks have %d", result.Tokens, l.tokens)
	}
	if result.Text != l.text.String() {
		return "the text of the result differs from the text of the chunks"
	}
	if merged := Merge(result.Segments); !Equal(l.segments, merged) {
		return fmt.Sprintf("the result has segments %v, the chunks have %v", merged, l.segments)
	}
	return ""
}

// covers reports whether the segments assign to each version as many tokens as its chunks had.
func (l *Labeler) covers(segments []codec.Segment) bool {
	counted := make(map[identifier.WeightVersion]identifier.Tokens, len(l.tokensByVersion))
	for i, segment := range segments {
		end := l.tokens
		if i+1 < len(segments) {
			end = segments[i+1].FirstToken
		}
		counted[segment.WeightVersion] += end - segment.FirstToken
	}
	return maps.Equal(counted, l.tokensByVersion)
}

// Oldest returns the lowest version of the tokens so far; ok is false before the first token.
func (l *Labeler) Oldest() (version identifier.WeightVersion, ok bool) { return Oldest(l.segments) }

// Append adds a segment, unless the last one has the same version and so covers its tokens.
func Append(segments []codec.Segment, next codec.Segment) []codec.Segment {
	if n := len(segments); n > 0 && segments[n-1].WeightVersion == next.WeightVersion {
		return segments
	}
	return append(segments, next)
}

// Merge joins consecutive segments of the same version.
func Merge(segments []codec.Segment) []codec.Segment {
	var merged []codec.Segment
	for _, segment := range segments {
		merged = Append(merged, segment)
	}
	return merged
}

// Equal reports whether two lists have equal segments in the same order.
func Equal(a, b []codec.Segment) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Oldest returns the lowest version of the segments; ok is false without segments.
func Oldest(segments []codec.Segment) (version identifier.WeightVersion, ok bool) {
	for i, segment := range segments {
		if i == 0 || segment.WeightVersion < version {
			version = segment.WeightVersion
		}
	}
	return version, len(segments) > 0
}

// Staleness returns how many versions the oldest segment is behind the trainer's version. It is zero for a sample without
// segments, which depends on no weights, and for one newer than the trainer's version.
func Staleness(segments []codec.Segment, current identifier.WeightVersion) int64 {
	oldest, ok := Oldest(segments)
	if !ok || oldest > current {
		return 0
	}
	return int64(current - oldest)
}

// ChunkVersion returns the oldest weight version that a chunk depends on: its own, or the one that computed the imported KV
// cache if that is older.
func ChunkVersion(chunk codec.EngineChunk) identifier.WeightVersion {
	if chunk.CacheVersion > 0 && chunk.CacheVersion < chunk.WeightVersion {
		return chunk.CacheVersion
	}
	return chunk.WeightVersion
}
