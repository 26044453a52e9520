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

// streamedCompletion is the text received from a completion stream and how the stream ended.
type streamedCompletion struct {
	text   string
	finish string
	err    error
}

// streamChat reads a streamed completion to its end and calls onPart with the number of each event, from 0.
func streamChat(ctx context.Context, host *process, prompt string, tokens int64, onPart func(part int)) streamedCompletion {
	client := openai.NewClient(option.WithBaseURL(host.url()+"/v1/"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:               openai.ChatModel(modelEntry),
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxCompletionTokens: openai.Int(tokens),
		Seed:                openai.Int(3),
	})
	var s streamedCompletion
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

// Guards against a planned stop of a host that breaks off a running stream (promise P8).
func TestPlannedStopFinishesStreams(t *testing.T) {
	c := startCluster(t, 1, 1)
	stopping := grouper.NewGroup(1)
	var stopErr error
	s := streamChat(t.Context(), c.hosts[0], "A long plan.", 400, func(part int) {
		if part == 3 {
			stopping.Go(func() { stopErr = c.hosts[0].stop() })
		}
	})
	stopping.Wait()
	require.NoError(t, s.err)
	require.Equal(t, "length", s.finish)
	require.NoError(t, stopErr)
	run := engineRecord(t, c.engines[0]).Runs[0]
	require.Equal(t, inferrer.NewScript(run.Prompt, run.Seed).Text(0, 400), s.text)
}

// Guards against lost or repeated tokens, or tokens of another text, when an engine is killed in the middle of a stream
// and another one resumes it (promise P4).
func TestStreamContinuesOnAnotherEngine(t *testing.T) {
	c := startCluster(t, 3, 1)
	killed := ""
	s := streamChat(t.Context(), c.hosts[0], "A plan that survives.", 300, func(part int) {
		if part != 5 {
			return
		}
		// The engine is found before it is killed: the request resumes at once, on an engine that must not be killed, too.
		for _, engine := range c.engines {
			if len(engineRecord(t, engine).Runs) > 0 {
				killed = engine.name
			}
		}
		for _, engine := range c.engines {
			if engine.name == killed {
				engine.kill()
			}
		}
	})
	require.NotEmpty(t, killed)
	require.NoError(t, s.err)
	require.Equal(t, "length", s.finish)
	var run inferrer.Run
	for _, engine := range c.engines {
		if engine.name != killed && len(engineRecord(t, engine).Runs) > 0 {
			run = engineRecord(t, engine).Runs[0]
		}
	}
	require.Positive(t, run.FirstToken, "the second attempt did not resume after the tokens of the first")
	require.Equal(t, inferrer.NewScript(run.Prompt, run.Seed).Text(0, 300), s.text)
}

// Guards against a crashing request that takes down more than two engines because its caller repeats it through several
// hosts (docs/design.md section 5.13).
func TestCrashingRequestIsIsolated(t *testing.T) {
	c := startCluster(t, 5, 2)
	prompt := "plan " + inferrer.DefaultCrashMarker
	for i := range 6 {
		s := streamChat(t.Context(), c.hosts[i%2], prompt, 10, func(int) {})
		require.Error(t, s.err)
		time.Sleep(300 * time.Millisecond)
	}
	crashed := 0
	for _, engine := range c.engines {
		if engine.ended() {
			crashed++
		}
	}
	require.LessOrEqual(t, crashed, 2)
	s := streamChat(t.Context(), c.hosts[0], "an innocent plan", 10, func(int) {})
	require.NoError(t, s.err)
	require.Equal(t, "length", s.finish)
}

// Guards against a request that was refused as not run but ran, and against a store outage that stops completions
// (promise P5).
func TestStoreOutage(t *testing.T) {
	c := startCluster(t, 1, 2)
	faults := c.platform.url() + "/admin/faults"
	require.Equal(t, http.StatusNoContent, call(t, http.MethodPut, faults, provider.Faults{Down: true}, nil))
	time.Sleep(500 * time.Millisecond)
	body := []byte(`{"report":"outage"}`)
	for _, host := range c.hosts {
		result := postWithKey(t, host, "outage-1", body)
		require.NotEqual(t, http.StatusOK, result.status)
		require.Equal(t, "not_run", result.outcome, "reason %s", result.reason)
	}
	require.Zero(t, plainRecord(t, c).Keys["outage-1"])
	s := streamChat(t.Context(), c.hosts[1], "Serving continues.", 20, func(int) {})
	require.NoError(t, s.err)
	require.Equal(t, http.StatusNoContent, call(t, http.MethodPut, faults, provider.Faults{}, nil))
	require.Eventually(t, func() bool {
		return postWithKey(t, c.hosts[0], "outage-1", body).status == http.StatusOK
	}, startTimeout, 100*time.Millisecond, "the same key was not served after the outage")
	require.Equal(t, int64(1), plainRecord(t, c).Keys["outage-1"])
}

// Guards against a second run of a request when the store's response to the write of its permit was lost (promise P6).
func TestLostPermitResponses(t *testing.T) {
	c := startCluster(t, 1, 2)
	for i := range 8 {
		require.Equal(t, http.StatusNoContent,
			call(t, http.MethodPut, c.platform.url()+"/admin/faults", provider.Faults{LoseResponses: 1}, nil))
		key := "lost-" + string(rune('a'+i))
		body := []byte(`{"report":"` + key + `"}`)
		for n := range 4 {
			result := postWithKey(t, c.hosts[n%2], key, body)
			if result.status != http.StatusOK {
				t.Logf("%s at %s: %d %s %s", key, c.hosts[n%2].name, result.status, result.reason, result.outcome)
			}
		}
		require.LessOrEqual(t, plainRecord(t, c).Keys[key], int64(1))
		require.Equal(t, http.StatusOK, postWithKey(t, c.hosts[0], key, body).status)
	}
}

// Guards against lost or repeated samples when the host that serves a trainer is killed in the middle of a step
// (promise P3).
func TestTrainerSurvivesAKilledHost(t *testing.T) {
	c := startCluster(t, 3, 3)
	urls := make([]string, len(c.hosts))
	for i, host := range c.hosts {
		urls[i] = host.url()
	}
	p := start(t, "trainer", "standin", "trainer", "--name", string(trainerEntry), "--service", strings.Join(urls, ","),
		"--weight-store", c.platform.url(), "--model", string(modelName), "--steps", "3", "--groups", "12",
		"--group-size", "4", "--max-tokens", "150", "--staleness-bound", "1", "--start-version", "1",
		"--train-time", "200ms", "--page-wait", "1s", "--token-bytes", "5")
	require.Eventually(t, func() bool {
		var result trainer.Result
		call(t, http.MethodGet, p.url()+"/admin/result", nil, &result)
		return result.Samples > 0
	}, startTimeout, pollInterval)
	c.hosts[0].kill()
	select {
	case <-p.done:
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
