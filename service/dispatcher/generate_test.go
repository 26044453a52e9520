package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

func request(prompt string) connector.GenerateRequest {
	return connector.GenerateRequest{Entry: "m", Prompt: prompt, MaxTokens: 16, Deadline: time.Now().Add(10 * time.Second)}
}

// Guards against a response that differs from what the engine sent, in the result or in the chunks passed to the
// caller.
func TestGenerateReturnsCompleteResponse(t *testing.T) {
	engine := newEngine(t)
	d := newFixture(t, addressOf(engine.server))
	var parts string
	result, err := d.Generate(context.Background(), request("x"), func(c connector.Chunk) error {
		parts += c.Text
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, completeText, result.Text)
	require.Equal(t, completeText, parts)
	require.Equal(t, identifier.Tokens(totalTokens), result.Tokens)
	require.Equal(t, []codec.Segment{{FirstToken: 0, WeightVersion: 1}}, result.Segments)
	require.Equal(t, 1, result.Attempts)
	require.Equal(t, "adapter", engine.calls[0].Adapter)
}

// Guards against faulty chunks that reach the caller, and against a fault of one attempt that fails the request.
func TestGenerateSurvivesFaultyStreams(t *testing.T) {
	cases := []struct {
		name     string
		script   func(http.ResponseWriter, codec.EngineRequest)
		attempts int
		chunk    string
		retry    refuser.RetryReason
	}{
		{"chunk of another attempt", func(w http.ResponseWriter, r codec.EngineRequest) {
			r.AttemptID = "another"
			writeChunks(w, validChunks(r, 1)...)
			writeDone(w)
		}, 2, "crossed", refuser.RetryBindingMismatch},
		{"chunk after the end", func(w http.ResponseWriter, r codec.EngineRequest) {
			writeChunks(w, validChunks(r, 1)...)
			writeDone(w)
			chunk := validChunks(r, 1)[0]
			chunk.Sequence, chunk.FirstToken = totalTokens, totalTokens
			writeChunks(w, chunk)
		}, 1, "late", ""},
		{"duplicate chunks", func(w http.ResponseWriter, r codec.EngineRequest) {
			chunks := validChunks(r, 1)
			writeChunks(w, chunks[:4]...)
			writeChunks(w, chunks[:4]...)
			writeChunks(w, chunks[4:]...)
			writeDone(w)
		}, 1, "repeated", ""},
		{"missing chunk", func(w http.ResponseWriter, r codec.EngineRequest) {
			chunks := validChunks(r, 1)
			writeChunks(w, chunks[0], chunks[2])
			writeDone(w)
		}, 2, "skipped", refuser.RetryBindingMismatch},
		{"truncated", func(w http.ResponseWriter, r codec.EngineRequest) {
			writeChunks(w, validChunks(r, 1)[:3]...)
			writeDone(w)
		}, 2, "", refuser.RetryTruncated},
		{"wrong total", func(w http.ResponseWriter, r codec.EngineRequest) {
			chunk := validChunks(r, 1)[0]
			chunk.FinishReason, chunk.TotalTokens = codec.FinishReasonStop, 5
			writeChunks(w, chunk)
			writeDone(w)
		}, 2, "", refuser.RetryTruncated},
		{"connection lost", func(w http.ResponseWriter, r codec.EngineRequest) {
			writeChunks(w, validChunks(r, 1)[:3]...)
			abort(w)
		}, 2, "", refuser.RetryConnectionLost},
		{"stalled", func(w http.ResponseWriter, r codec.EngineRequest) {
			writeChunks(w, validChunks(r, 1)[:3]...)
			time.Sleep(1500 * time.Millisecond)
		}, 2, "", refuser.RetryStalled},
		{"not started", func(w http.ResponseWriter, _ codec.EngineRequest) {
			w.Header().Set("X-Not-Started", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 2, "", refuser.RetryUpstreamRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faulty := newEngine(t)
			first := true
			faulty.script = func(w http.ResponseWriter, r codec.EngineRequest) {
				if first {
					first = false
					c.script(w, r)
					return
				}
				writeChunks(w, validChunks(r, 1)...)
				writeDone(w)
			}
			d := newFixture(t, addressOf(faulty.server))
			result, err := d.Generate(context.Background(), request("x"), nil)
			require.NoError(t, err)
			require.Equal(t, completeText, result.Text)
			require.Equal(t, c.attempts, result.Attempts)
			status := d.Status()
			if c.chunk != "" {
				require.Equal(t, c.chunk, status.RefusedChunks[0].Reason)
			}
			if c.retry != "" {
				require.Equal(t, []codec.CountByReason{{Reason: string(c.retry), Count: 1}}, status.Retries)
			}
		})
	}
}

// Guards against an empty response that counts as complete: its only chunk, which also ends it, came from weights older than the
// request allows.
func TestResponseInOneChunkOfOlderWeightsIsNotComplete(t *testing.T) {
	outdated, current := newEngine(t), newEngine(t)
	outdated.script = func(w http.ResponseWriter, r codec.EngineRequest) {
		writeChunks(w, codec.EngineChunk{
			AttemptID: r.AttemptID, Tokens: totalTokens, Text: completeText, WeightVersion: 1, FinishReason: codec.FinishReasonStop, TotalTokens: totalTokens,
		})
		writeDone(w)
	}
	current.version = 2
	d := newFixture(t, addressOf(outdated.server), addressOf(current.server))
	for number := range 20 {
		wanted := request(fmt.Sprint("prompt ", number))
		wanted.MinVersion = 2
		result, err := d.Generate(t.Context(), wanted, nil)
		require.NoError(t, err)
		require.Equal(t, completeText, result.Text)
	}
	require.Positive(t, outdated.count())
}
