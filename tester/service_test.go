package tester_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/standin/inferrer"
	"celerygap.example/standin/responder"
	"celerygap.example/standin/trainer"
)

// Guards against a streamed response that the standard client cannot read, or that lacks a part of the engine's text.
func TestStreamedChatCompletion(t *testing.T) {
	c := startCluster(t, 1, 1)
	client := openai.NewClient(option.WithBaseURL(c.hosts[0].url()+"/v1/"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:               openai.ChatModel(modelEntry),
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Plan the refill round.")},
		MaxCompletionTokens: openai.Int(50),
		Seed:                openai.Int(11),
	})
	var collected openai.ChatCompletionAccumulator
	parts := 0
	for stream.Next() {
		require.True(t, collected.AddChunk(stream.Current()))
		parts++
	}
	require.NoError(t, stream.Err())
	require.Greater(t, parts, 1)
	require.Len(t, collected.Choices, 1)
	require.Equal(t, "length", collected.Choices[0].FinishReason)
	var record inferrer.Record
	call(t, http.MethodGet, c.engines[0].url()+"/admin/runs", nil, &record)
	require.Len(t, record.Runs, 1)
	run := record.Runs[0]
	require.Equal(t, inferrer.NewScript(run.Prompt, run.Seed).Text(0, 50), collected.Choices[0].Message.Content)
	require.Contains(t, run.Prompt, "Plan the refill round.")
	require.NoError(t, c.hosts[0].stop())
}

// Guards against a non-idempotent request that runs twice because it is sent with the same key to two hosts (promise
// P6).
func TestSameKeyAtTwoHostsRunsOnce(t *testing.T) {
	c := startCluster(t, 1, 2)
	const key = "order-1"
	body := []byte(`{"report":"grit bin 7 is empty"}`)
	results := make([]callResult, len(c.hosts))
	group := grouper.NewGroup(-1)
	for i, host := range c.hosts {
		group.Go(func() { results[i] = postWithKey(t, host, key, body) })
	}
	group.Wait()
	record := plainRecord(t, c)
	require.Equal(t, int64(1), record.Keys[key])
	require.Equal(t, int64(1), record.Bodies[string(body)])
	succeeded := 0
	for _, result := range results {
		if result.status != http.StatusOK {
			require.Contains(t, []string{"idempotency_key_in_progress", "outcome_unknown"}, result.reason, "status %d", result.status)
			continue
		}
		succeeded++
		require.Equal(t, responder.Digest(body), result.digest)
	}
	require.Positive(t, succeeded, "neither of the two callers got the response")
	for _, host := range c.hosts {
		repeated := postWithKey(t, host, key, body)
		require.Equal(t, http.StatusOK, repeated.status, "a repeat did not get the stored response, reason %q", repeated.reason)
		require.Equal(t, responder.Digest(body), repeated.digest)
	}
	require.Equal(t, int64(1), plainRecord(t, c).Keys[key])
	for _, host := range c.hosts {
		require.NoError(t, host.stop())
	}
}

// requestTimeout exceeds requestDeadline, so that the service responds first.
const requestTimeout = 15 * time.Second

// callResult is the response to a call; without a response, status is 0 and reason has the error.
type callResult struct {
	status  int
	reason  string
	outcome string
	digest  string
}

func postWithKey(t *testing.T, host *process, key string, body []byte) callResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		host.url()+"/services/"+string(serviceEntry)+"/refills", bytes.NewReader(body))
	if err != nil {
		return callResult{reason: err.Error()}
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	var decoded struct {
		Reason  string `json:"reason"`
		Outcome string `json:"outcome"`
		Digest  string `json:"digest"`
	}
	_ = json.Unmarshal(content, &decoded)
	return callResult{status: response.StatusCode, reason: decoded.Reason, outcome: decoded.Outcome, digest: decoded.Digest}
}

func plainRecord(t *testing.T, c *cluster) responder.Record {
	t.Helper()
	var record responder.Record
	require.Equal(t, http.StatusOK, call(t, http.MethodGet, c.plain.url()+"/admin/runs", nil, &record))
	return record
}

// Guards against lost, repeated, too old or wrongly labelled samples when the weights change between steps (promises P1
// to P3).
func TestTrainerGetsTwoStepsAcrossAWeightChange(t *testing.T) {
	c := startCluster(t, 3, 2)
	p := start(t, "trainer", "standin", "trainer", "--name", string(trainerEntry),
		"--service", strings.Join([]string{c.hosts[0].url(), c.hosts[1].url()}, ","),
		"--weight-store", c.platform.url(), "--model", string(modelName), "--steps", "2", "--groups", "6",
		"--group-size", "4", "--max-tokens", "48", "--staleness-bound", "1", "--start-version", "1",
		"--train-time", "300ms", "--token-bytes", "5")
	select {
	case <-p.done:
	case <-time.After(time.Minute):
		require.Fail(t, "the trainer did not finish", p.stderr.String())
	}
	require.NoError(t, p.err)
	var result trainer.Result
	require.NoError(t, json.Unmarshal([]byte(p.stdout.String()), &result))
	require.Equal(t, 2, result.Steps)
	require.Equal(t, 48, result.Samples)
	require.Zero(t, result.Faults(), "%+v", result)
	require.EqualValues(t, 3, result.Version)
	t.Logf("trainer idle %v, retries %d, mean staleness %.2f", result.Idle.Std(), result.Retries,
		float64(result.StalenessSum)/float64(result.Samples))
}
