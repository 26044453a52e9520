package inferrer_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/standin/inferrer"
)

func start(t *testing.T, config inferrer.Config) *inferrer.Engine {
	t.Helper()
	config.Address = "127.0.0.1:0"
	config.Models = []inferrer.Model{{Name: "m", Version: 1}}
	config.LoadTime = time.Millisecond
	config.TokenInterval = orDefault(config.TokenInterval, 200*time.Microsecond)
	config.RestartDelay = 20 * time.Millisecond
	engine, err := inferrer.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(1)
	group.Go(func() { _ = engine.Run(ctx) })
	t.Cleanup(func() {
		// The shutdown of an HTTP server waits 5 s for connections that have not sent a request yet.
		http.DefaultClient.CloseIdleConnections()
		cancel()
		group.Wait()
	})
	return engine
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

func request(attempt string, tokens identifier.Tokens) codec.EngineRequest {
	return codec.EngineRequest{
		AttemptID: identifier.AttemptID(attempt), Model: "m", Prompt: "a prompt", MaxTokens: tokens, Seed: 7, Stream: true,
	}
}

// stream is a received completion.
type stream struct {
	status int
	header http.Header
	chunks []codec.EngineChunk
	done   bool
}

func (s stream) text() string {
	var b strings.Builder
	for _, chunk := range s.chunks {
		b.WriteString(chunk.Text)
	}
	return b.String()
}

func complete(t *testing.T, e *inferrer.Engine, r codec.EngineRequest, onChunk func(codec.EngineChunk)) stream {
	t.Helper()
	body, err := json.Marshal(r)
	require.NoError(t, err)
	response, err := http.Post("http://"+e.Address()+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return stream{}
	}
	defer func() { _ = response.Body.Close() }()
	s := stream{status: response.StatusCode, header: response.Header}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var chunk codec.EngineChunk
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		s.chunks = append(s.chunks, chunk)
		if onChunk != nil {
			onChunk(chunk)
		}
	}
	return s
}

func order(t *testing.T, e *inferrer.Engine, o codec.Order) codec.OrderStatus {
	t.Helper()
	o.Model = "m"
	o.ExpiresAt = time.Now().Add(time.Minute)
	body, err := json.Marshal(o)
	require.NoError(t, err)
	response, err := http.Post("http://"+e.Address()+"/v1/orders", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var result codec.OrderResult
	require.NoError(t, json.NewDecoder(response.Body).Decode(&result))
	return result.Status
}

// Guards against completions whose text depends on where they were resumed. Other tests compare texts and would then
// not detect lost or repeated tokens.
func TestResumeContinuesTheSameText(t *testing.T) {
	engine := start(t, inferrer.Config{})
	full := complete(t, engine, request("a", 40), nil)
	require.True(t, full.done)
	require.Equal(t, inferrer.NewScript("a prompt", 7).Text(0, 40), full.text())
	resumed := request("b", 40)
	resumed.Resume = &codec.Resume{Text: inferrer.NewScript("a prompt", 7).Text(0, 15), Tokens: 15}
	rest := complete(t, engine, resumed, nil)
	require.Equal(t, identifier.Tokens(15), rest.chunks[0].FirstToken)
	require.Equal(t, identifier.Tokens(40), rest.chunks[len(rest.chunks)-1].TotalTokens)
	require.Equal(t, full.text(), resumed.Resume.Text+rest.text())
}

// Guards against runs that are missing from the record file when the process is killed: each change of a run must be
// written before a caller sees it.
func TestRecordOutlivesTheProcess(t *testing.T) {
	var record bytes.Buffer
	engine := start(t, inferrer.Config{Record: &record})
	require.True(t, complete(t, engine, request("a", 40), nil).done)
	require.True(t, complete(t, engine, request("b", 20), nil).done)
	last := make(map[identifier.AttemptID]inferrer.Run)
	for line := range strings.Lines(record.String()) {
		var run inferrer.Run
		require.NoError(t, json.Unmarshal([]byte(line), &run))
		require.GreaterOrEqual(t, run.Tokens, last[run.AttemptID].Tokens)
		last[run.AttemptID] = run
	}
	require.Equal(t, identifier.Tokens(40), last["a"].Tokens)
	require.Equal(t, []identifier.WeightVersion{1}, last["a"].Versions)
	require.Equal(t, inferrer.RunFinished, last["a"].State)
	require.True(t, last["b"].Started)
}

// Guards against chunks that are not labelled with the weight version that produced their tokens when the version
// changes during the stream, against orders that are executed despite a lower fencing token, and against an imported KV
// cache without its oldest version.
func TestWeightVersionChangesDuringStream(t *testing.T) {
	engine := start(t, inferrer.Config{ChecksFencing: true, TokenInterval: 2 * time.Millisecond})
	require.Equal(t, codec.OrderStatusFailed, order(t, engine, codec.Order{Kind: codec.OrderKindServe, Version: 2, Fencing: 5}))
	require.Equal(t, codec.OrderStatusDone, order(t, engine, codec.Order{Kind: codec.OrderKindLoad, Version: 2, Fencing: 5}))
	require.Equal(t, codec.OrderStatusFenced, order(t, engine, codec.Order{Kind: codec.OrderKindServe, Version: 2, Fencing: 4}))
	switched := false
	s := complete(t, engine, request("a", 60), func(codec.EngineChunk) {
		if !switched {
			switched = true
			require.Equal(t, codec.OrderStatusDone, order(t, engine, codec.Order{Kind: codec.OrderKindServe, Version: 2, Fencing: 5}))
		}
	})
	require.True(t, s.done)
	require.Equal(t, identifier.WeightVersion(1), s.chunks[0].WeightVersion)
	require.Equal(t, identifier.WeightVersion(2), s.chunks[len(s.chunks)-1].WeightVersion)
	require.Equal(t, []identifier.WeightVersion{1, 2}, engine.Record().Runs[0].Versions)
	exported, err := http.Get("http://" + engine.Address() + "/v1/kv/a")
	require.NoError(t, err)
	defer func() { _ = exported.Body.Close() }()
	moved, err := http.NewRequest(http.MethodPut, "http://"+engine.Address()+"/v1/kv/b", exported.Body)
	require.NoError(t, err)
	moved.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(moved)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	imported := complete(t, engine, request("b", 4), nil)
	require.Equal(t, identifier.WeightVersion(1), imported.chunks[0].CacheVersion)
}

// Guards against refusals that carry X-Not-Started although the attempt ran, and against a leaving engine that cuts its
// running or queued streams.
func TestRefusalsRunNothing(t *testing.T) {
	engine := start(t, inferrer.Config{Slots: 1, Queue: 1, TokenInterval: 2 * time.Millisecond})
	group := grouper.NewGroup(-1)
	results := make([]stream, 6)
	for i := range results {
		group.Go(func() { results[i] = complete(t, engine, request(fmt.Sprint("a", i), 50), nil) })
	}
	time.Sleep(30 * time.Millisecond)
	engine.Leave()
	refused := complete(t, engine, request("late", 5), nil)
	require.Equal(t, "true", refused.header.Get("X-Leaving"))
	group.Wait()
	record := engine.Record()
	ran := map[identifier.AttemptID]bool{}
	for _, run := range record.Runs {
		ran[run.AttemptID] = run.Started
	}
	for i, s := range results {
		if s.status == http.StatusServiceUnavailable {
			require.Equal(t, "true", s.header.Get("X-Not-Started"))
			require.NotContains(t, ran, identifier.AttemptID(fmt.Sprint("a", i)))
		} else {
			require.True(t, s.done, "a running or queued stream finishes while the engine leaves")
		}
	}
	require.NotEmpty(t, record.Refused)
}

// load returns how many streams run or wait.
func load(t *testing.T, e *inferrer.Engine) int {
	t.Helper()
	response, err := http.Get("http://" + e.Address() + "/v1/load")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var report codec.LoadReport
	require.NoError(t, json.NewDecoder(response.Body).Decode(&report))
	return report.Running + report.Queued
}

// Guards against a queue that starts streams in the order of arrival instead of by priority.
func TestHigherPriorityStartsFirst(t *testing.T) {
	engine := start(t, inferrer.Config{Slots: 1, ReportLag: 5 * time.Millisecond})
	engine.SetFaults(inferrer.Faults{Freeze: true})
	group := grouper.NewGroup(-1)
	for i, priority := range []int{0, 1, 9, 5} {
		r := request(fmt.Sprint("p", priority), 3)
		r.Priority = priority
		group.Go(func() { complete(t, engine, r, nil) })
		// Freeze keeps the only slot occupied until all streams have arrived, so the order does not depend on the
		// machine's speed.
		require.Eventually(t, func() bool { return load(t, engine) == i+1 }, 10*time.Second, 5*time.Millisecond)
	}
	engine.SetFaults(inferrer.Faults{})
	group.Wait()
	started := map[int]time.Time{}
	for _, run := range engine.Record().Runs {
		started[run.Priority] = run.StartedAt
	}
	require.True(t, started[9].Before(started[5]))
	require.True(t, started[5].Before(started[1]))
}

// Guards against injected faults that a caller cannot detect: truncated, cut and crashed streams must lack the end
// marker, and crossed chunks must carry the attempt id of the other stream.
func TestFaultsLeaveNoEndMarker(t *testing.T) {
	engine := start(t, inferrer.Config{TokenInterval: time.Millisecond})
	for _, faults := range []inferrer.Faults{{Truncate: 1}, {Cut: 1}} {
		engine.SetFaults(faults)
		s := complete(t, engine, request(fmt.Sprint("f", faults.Cut), 20), nil)
		require.False(t, s.done)
		require.NotEmpty(t, s.chunks)
		require.Empty(t, s.chunks[len(s.chunks)-1].FinishReason)
	}
	engine.SetFaults(inferrer.Faults{Cross: 1})
	group := grouper.NewGroup(-1)
	foreign := make([]bool, 2)
	for i := range foreign {
		attempt := identifier.AttemptID(fmt.Sprint("x", i))
		group.Go(func() {
			complete(t, engine, request(string(attempt), 40), func(c codec.EngineChunk) {
				foreign[i] = foreign[i] || c.AttemptID != attempt
			})
		})
	}
	group.Wait()
	require.Equal(t, []bool{true, true}, foreign)
	crashing := request("crash", 10)
	crashing.Prompt = inferrer.DefaultCrashMarker
	require.False(t, complete(t, engine, crashing, nil).done)
	require.Eventually(t, func() bool {
		return complete(t, engine, request(fmt.Sprint("after", time.Now().UnixNano()), 3), nil).done
	}, 5*time.Second, 20*time.Millisecond, "the engine restarts")
	require.Equal(t, 1, engine.Record().Restarts)
}
