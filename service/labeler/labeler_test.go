package labeler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/labeler"
)

// Guards against segments that assign a token to a version that did not produce it, for any sizes of chunks.
func TestSegmentsNameTheVersionOfEachToken(t *testing.T) {
	defer asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Fatalf("%s: %s", name, detail) })()
	rapid.Check(t, func(t *rapid.T) {
		l := labeler.New(labeler.Config{})
		var versions []identifier.WeightVersion
		var raw []codec.Segment
		text := ""
		for i := range rapid.IntRange(0, 20).Draw(t, "chunks") {
			version := identifier.WeightVersion(rapid.IntRange(1, 3).Draw(t, "version"))
			tokens := rapid.IntRange(0, 4).Draw(t, "tokens")
			chunk := connector.Chunk{
				Text: fmt.Sprint(i), FirstToken: identifier.Tokens(len(versions)),
				Tokens: identifier.Tokens(tokens), WeightVersion: version,
			}
			require.Empty(t, l.Handle(time.Time{}, labeler.ChunkReceived{Chunk: chunk}))
			text += chunk.Text
			if tokens > 0 {
				raw = append(raw, codec.Segment{FirstToken: chunk.FirstToken, WeightVersion: version})
			}
			for range tokens {
				versions = append(versions, version)
			}
		}
		result := connector.GenerateResult{Text: text, Tokens: identifier.Tokens(len(versions)), Segments: raw}
		labelled, ok := l.Handle(time.Time{}, labeler.GenerationFinished{Result: result})[0].(labeler.Labelled)
		require.True(t, ok)
		require.Equal(t, versions, expand(labelled.Segments, len(versions)))
		for i := 1; i < len(labelled.Segments); i++ {
			require.NotEqual(t, labelled.Segments[i-1].WeightVersion, labelled.Segments[i].WeightVersion)
		}
	})
}

func expand(segments []codec.Segment, tokens int) []identifier.WeightVersion {
	var versions []identifier.WeightVersion
	next := 0
	for token := range tokens {
		if next < len(segments) && int(segments[next].FirstToken) == token {
			next++
		}
		versions = append(versions, segments[next-1].WeightVersion)
	}
	return versions
}

// Guards against accepting a sample whose chunks have a gap or overlap, or whose result differs from its chunks.
func TestGapsAndForeignResultsAreRejected(t *testing.T) {
	complete := connector.GenerateResult{Text: "ab", Tokens: 2, Segments: []codec.Segment{{FirstToken: 0, WeightVersion: 4}}}
	older := complete
	older.Segments = []codec.Segment{{FirstToken: 0, WeightVersion: 3}}
	shorter := complete
	shorter.Tokens = 1
	otherText := complete
	otherText.Text = "ac"
	cases := map[string]struct {
		second connector.Chunk
		result connector.GenerateResult
	}{
		"gap":     {connector.Chunk{Text: "b", FirstToken: 2, Tokens: 1, WeightVersion: 4}, complete},
		"repeat":  {connector.Chunk{Text: "b", FirstToken: 0, Tokens: 1, WeightVersion: 4}, complete},
		"version": {connector.Chunk{Text: "b", FirstToken: 1, Tokens: 1, WeightVersion: 4}, older},
		"tokens":  {connector.Chunk{Text: "b", FirstToken: 1, Tokens: 1, WeightVersion: 4}, shorter},
		"text":    {connector.Chunk{Text: "b", FirstToken: 1, Tokens: 1, WeightVersion: 4}, otherText},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := labeler.New(labeler.Config{})
			l.Handle(time.Time{}, labeler.ChunkReceived{Chunk: connector.Chunk{Text: "a", Tokens: 1, WeightVersion: 4}})
			l.Handle(time.Time{}, labeler.ChunkReceived{Chunk: c.second})
			require.IsType(t, labeler.Rejected{}, l.Handle(time.Time{}, labeler.GenerationFinished{Result: c.result})[0])
		})
	}
}

// Guards against a chunk on imported KV cache of older weights that counts as the newer version, which understates its
// staleness.
func TestImportedCacheCountsAsItsOwnVersion(t *testing.T) {
	require.EqualValues(t, 3, labeler.ChunkVersion(codec.EngineChunk{WeightVersion: 5, CacheVersion: 3}))
	require.EqualValues(t, 5, labeler.ChunkVersion(codec.EngineChunk{WeightVersion: 5}))
	segments := []codec.Segment{{FirstToken: 0, WeightVersion: 5}, {FirstToken: 4, WeightVersion: 3}}
	require.EqualValues(t, 4, labeler.Staleness(segments, 7))
}
