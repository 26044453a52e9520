package tester_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/standin/inferrer"
	"celerygap.example/standin/provider"
	"celerygap.example/standin/trainer"
)

// streamed is a streamed completion and how it ended.
type streamed struct {
	text   string
	finish string
	err    error
}

// streamChat reads a completion to its end; it calls onPart for each part.
func streamChat(ctx context.Context, host *process, prompt string, tokens int64, onPart func(part int)) streamed {
	client := openai.NewClient(option.WithBaseURL(host.url()+"/v1/"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:               openai.ChatModel(modelEntry),
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxCompletionTokens: openai.Int(tokens),
		Seed:                openai.Int(3),
	})
	var s streamed
	for part := 0; stream.Next(); part++ {
		for _, choice := range stream.Current().Choices {
			s.text += choice.Delta.Content
			if choice.FinishReason != "" {
				s.finish = choice.FinishReason
			}
		}
		onPart(part)
	}
	s.err = stream.Err()
	return s
}

func engineRecord(t *testing.T, engine *process) inferrer.Record {
	t.Helper()
	var record inferrer.Record
	require.Equal(t, http.StatusOK, call(t, http.MethodGet, engine.url()+"/admin/runs", nil, &record))
	return record
}

// Guards against a planned stop that cuts a running stream (promise P8).
func TestPlannedStopFinishesStreams(t *testing.T) {
	f := startFleet(t, 1, 1)
	stopping := grouper.NewGroup(1)
	var stopErr error
	s := streamChat(t.Context(), f.hosts[0], "A long plan.", 400, func(part int) {
		if part == 3 {
			stopping.Go(func() { stopErr = f.hosts[0].stop() })
		}
	})
	stopping.Wait()
	require.NoError(t, s.err)
	require.Equal(t, "length", s.finish)
	require.NoError(t, stopErr)
	run := engineRecord(t, f.engines[0]).Runs[0]
	require.Equal(t, inferrer.NewScript(run.Prompt, run.Seed).Text(0, 400), s.text)
}

// Guards against a lost, repeated or foreign token when an engine process dies in mid-stream (promise P4).
func TestStreamContinuesOnAnotherEngine(t *testing.T) {
	f := startFleet(t, 3, 1)
	killed := ""
	s := streamChat(t.Context(), f.hosts[0], "A plan that survives.", 300, func(part int) {
		if part != 5 {
			return
		}
		for _, engine := range f.engines {
			if len(engineRecord(t, engine).Runs) > 0 {
				engine.kill()
				killed = engine.name
			}
		}
	})
	require.NotEmpty(t, killed)
	require.NoError(t, s.err)
	require.Equal(t, "length", s.finish)
	var run inferrer.Run
	for _, engine := range f.engines {
		if engine.name != killed && len(engineRecord(t, engine).Runs) > 0 {
			run = engineRecord(t, engine).Runs[0]
		}
	}
	require.Positive(t, run.FirstToken, "the second attempt resumes")
	require.Equal(t, inferrer.NewScript(run.Prompt, run.Seed).Text(0, 300), s.text)
}

// Guards against one request that ends more than two engines although its caller repeats it (design section 5.13).
func TestCrashingRequestIsIsolated(t *testing.T) {
	f := startFleet(t, 5, 2)
	prompt := "plan " + inferrer.DefaultPoisonMarker
	for i := range 6 {
		s := streamChat(t.Context(), f.hosts[i%2], prompt, 10, func(int) {})
		require.Error(t, s.err)
		time.Sleep(300 * time.Millisecond)
	}
	lost := 0
	for _, engine := range f.engines {
		if engine.ended() {
			lost++
		}
	}
	require.LessOrEqual(t, lost, 2)
	s := streamChat(t.Context(), f.hosts[0], "an innocent plan", 10, func(int) {})
	require.NoError(t, s.err)
	require.Equal(t, "length", s.finish)
}

// Guards against a refusal "not run" that is untrue, and against an outage of the store that stops serving (P5).
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, 1, 2)
	faults := f.platform.url() + "/admin/faults"
	require.Equal(t, http.StatusNoContent, call(t, http.MethodPut, faults, provider.Faults{Down: true}, nil))
	time.Sleep(500 * time.Millisecond)
	body := []byte(`{"report":"outage"}`)
	for _, host := range f.hosts {
		a := postWithKey(t, host, "outage-1", body)
		require.NotEqual(t, http.StatusOK, a.status)
		require.Equal(t, "not_run", a.outcome, "reason %s", a.reason)
	}
	require.Zero(t, plainRecord(t, f).Keys["outage-1"])
	s := streamChat(t.Context(), f.hosts[1], "Serving continues.", 20, func(int) {})
	require.NoError(t, s.err)
	require.Equal(t, http.StatusNoContent, call(t, http.MethodPut, faults, provider.Faults{}, nil))
	require.Eventually(t, func() bool {
		return postWithKey(t, f.hosts[0], "outage-1", body).status == http.StatusOK
	}, startTimeout, 100*time.Millisecond, "the same key runs after the outage")
	require.Equal(t, int64(1), plainRecord(t, f).Keys["outage-1"])
}

// Guards against a second run after the store's response to a permit was lost (promise P6).
func TestLostPermitResponses(t *testing.T) {
	f := startFleet(t, 1, 2)
	for i := range 8 {
		require.Equal(t, http.StatusNoContent,
			call(t, http.MethodPut, f.platform.url()+"/admin/faults", provider.Faults{LoseResponses: 1}, nil))
		key := "lost-" + string(rune('a'+i))
		body := []byte(`{"report":"` + key + `"}`)
		for n := range 4 {
			a := postWithKey(t, f.hosts[n%2], key, body)
			if a.status != http.StatusOK {
				t.Logf("%s at %s: %d %s %s", key, f.hosts[n%2].name, a.status, a.reason, a.outcome)
			}
		}
		require.LessOrEqual(t, plainRecord(t, f).Keys[key], int64(1))
		require.Equal(t, http.StatusOK, postWithKey(t, f.hosts[0], key, body).status)
	}
}

// Guards against lost or repeated samples when the host that serves a trainer is killed in mid-step (promise P3).
func TestTrainerSurvivesAKilledHost(t *testing.T) {
	f := startFleet(t, 3, 3)
	urls := make([]string, len(f.hosts))
	for i, host := range f.hosts {
		urls[i] = host.url()
	}
	p := start(t, "trainer", "standin", "trainer", "--name", string(trainerEntry), "--service", strings.Join(urls, ","),
		"--weight-store", f.platform.url(), "--model", string(modelName), "--steps", "3", "--groups", "12",
		"--group-size", "4", "--max-tokens", "150", "--staleness-bound", "1", "--start-version", "1",
		"--train-time", "200ms", "--page-wait", "1s", "--token-bytes", "5")
	require.Eventually(t, func() bool {
		var result trainer.Result
		call(t, http.MethodGet, p.url()+"/admin/result", nil, &result)
		return result.Samples > 0
	}, startTimeout, pollInterval)
	f.hosts[0].kill()
	select {
	case <-p.waited:
	case <-time.After(90 * time.Second):
		require.Fail(t, "the trainer did not finish", p.stderr.String())
	}
	require.NoError(t, p.err)
	var result trainer.Result
	require.NoError(t, json.Unmarshal([]byte(p.stdout.String()), &result))
	require.Equal(t, 3, result.Steps)
	require.Equal(t, 3*48, result.Samples)
	require.Zero(t, result.Faults(), "%+v", result)
	require.Equal(t, identifier.WeightVersion(4), result.Version)
	t.Logf("trainer idle %v, retries %d", result.Idle.Std(), result.Retries)
}
