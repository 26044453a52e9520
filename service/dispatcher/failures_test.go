package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

func requireRefusal(t *testing.T, err error, reason refuser.Reason, outcome codec.Outcome) *refuser.Refusal {
	t.Helper()
	refusal, ok := refuser.As(err)
	require.True(t, ok, "%v", err)
	require.Equal(t, reason, refusal.Reason, refusal.Detail)
	require.Equal(t, outcome, refusal.Outcome)
	return refusal
}

func segment(first identifier.Tokens, version identifier.WeightVersion) codec.Segment {
	return codec.Segment{FirstToken: first, WeightVersion: version}
}

// Guards against a retry that starts over: the next engine must get the text and tokens already held.
func TestRetryResumesFromLastToken(t *testing.T) {
	engines := []*fakeEngine{newEngine(t), newEngine(t)}
	var once sync.Once
	for i, engine := range engines {
		engine.version = identifier.WeightVersion(i + 1)
		engine.script = func(w http.ResponseWriter, r codec.EngineRequest) {
			once.Do(func() {
				chunk := validChunks(r, 3)
				chunk[1].CacheVersion = 2
				writeChunks(w, chunk[:3]...)
				abort(w)
			})
			require.Equal(t, &codec.Resume{Text: "0 1 2 ", Tokens: 3}, r.Resume)
			writeChunks(w, validChunks(r, 4)...)
			writeDone(w)
		}
	}
	d := newFixture(t, addressOf(engines[0].server), addressOf(engines[1].server))
	result, err := d.Generate(context.Background(), request("x"), nil)
	require.NoError(t, err)
	require.Equal(t, completeText, result.Text)
	require.Equal(t, []codec.Segment{segment(0, 3), segment(1, 2), segment(2, 3), segment(3, 4)}, result.Segments)
	require.Equal(t, 1, engines[0].count())
	require.Equal(t, 1, engines[1].count())
}

// Guards against samples from weights that are older than the request allows.
func TestOlderWeightsAreTriedElsewhere(t *testing.T) {
	engines := []*fakeEngine{newEngine(t), newEngine(t), newEngine(t)}
	engines[2].version = 5
	d := newFixture(t, addressOf(engines[0].server), addressOf(engines[1].server), addressOf(engines[2].server))
	r := request("x")
	r.MinVersion = 5
	result, err := d.Generate(context.Background(), r, nil)
	require.NoError(t, err)
	require.Equal(t, []codec.Segment{segment(0, 5)}, result.Segments)
	r.MinVersion = 6
	r.Deadline = time.Now().Add(500 * time.Millisecond)
	_, err = d.Generate(context.Background(), r, nil)
	refusal, _ := refuser.As(err)
	require.Equal(t, codec.OutcomeUnknown, refusal.Outcome)
}

// Guards against work for an upstream that is leaving, and against a false "not run" when none is left.
func TestLeavingUpstreamsGetNoWork(t *testing.T) {
	engines := []*fakeEngine{newEngine(t), newEngine(t)}
	d := newFixture(t, addressOf(engines[0].server), addressOf(engines[1].server))
	d.upstreams.setLeaving(0)
	for i := range 8 {
		_, err := d.Generate(context.Background(), request(fmt.Sprint(i)), nil)
		require.NoError(t, err)
	}
	require.Zero(t, engines[0].count())
	d.upstreams.setLeaving(1)
	_, err := d.Generate(context.Background(), request("x"), nil)
	requireRefusal(t, err, refuser.NoUpstream, codec.OutcomeNotRun)
}

// Guards against endless retries, and against a refusal without Retry-After.
func TestRetryBudgetEndsRetries(t *testing.T) {
	engine := newEngine(t)
	engine.script = func(w http.ResponseWriter, _ codec.EngineRequest) { w.WriteHeader(http.StatusInternalServerError) }
	d := newFixture(t, addressOf(engine.server))
	reasons := make(map[refuser.Reason]int)
	for i := range 5 {
		_, err := d.Generate(context.Background(), request(fmt.Sprint(i)), nil)
		refusal, _ := refuser.As(err)
		require.Equal(t, codec.OutcomeUnknown, refusal.Outcome)
		require.Positive(t, refusal.RetryAfter)
		reasons[refusal.Reason]++
	}
	require.Equal(t, map[refuser.Reason]int{refuser.RetryBudgetSpent: 5}, reasons)
	require.Equal(t, 5+3, engine.count(), "3 retries for 5 requests")
}

// Guards against an outcome that does not match what happened when the caller leaves or the deadline passes.
func TestDeadlineAndCallerGone(t *testing.T) {
	engine := newEngine(t)
	engine.script = func(w http.ResponseWriter, r codec.EngineRequest) {
		writeChunks(w, validChunks(r, 1)[0])
		time.Sleep(200 * time.Millisecond)
	}
	d := newFixture(t, addressOf(engine.server))
	r := request("x")
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := d.Generate(context.Background(), r, nil)
	requireRefusal(t, err, refuser.DeadlineExceeded, codec.OutcomeUnknown)
	ctx, cancel := context.WithCancel(context.Background())
	_, err = d.Generate(ctx, request("y"), func(connector.Chunk) error {
		cancel()
		return nil
	})
	requireRefusal(t, err, refuser.CallerGone, codec.OutcomeUnknown)
}

// newCrashingEngine returns an engine that closes its listener and all its connections, as a crashing process does,
// when it runs the prompt "crash".
func newCrashingEngine(t *testing.T, crashes *atomic.Int32) *httptest.Server {
	var server *httptest.Server
	engine := &fakeEngine{version: 1}
	engine.script = func(w http.ResponseWriter, r codec.EngineRequest) {
		writeChunks(w, validChunks(r, 1)[:1]...)
		if r.Prompt != "crash" {
			time.Sleep(50 * time.Millisecond)
			writeChunks(w, validChunks(r, 1)[1:]...)
			writeDone(w)
			return
		}
		crashes.Add(1)
		_ = server.Listener.Close()
		server.CloseClientConnections()
		abort(w)
	}
	server = httptest.NewServer(http.HandlerFunc(engine.serve))
	t.Cleanup(server.Close)
	return server
}

// Guards against a crashing request that crashes one engine after the other when its caller keeps sending it, and
// against other requests that get no response because they ran on the same engines.
func TestCrashingRequestCrashesAtMostTwoEngines(t *testing.T) {
	var crashes atomic.Int32
	var addresses []string
	for range 5 {
		addresses = append(addresses, addressOf(newCrashingEngine(t, &crashes)))
	}
	d := newFixture(t, addresses...)
	group := grouper.NewGroup(-1)
	for i := range 20 {
		group.Go(func() {
			_, err := d.Generate(context.Background(), request(fmt.Sprintf("harmless %d", i)), nil)
			assert.NoError(t, err)
		})
	}
	for seed := range 5 {
		r := request("crash")
		r.Seed = int64(seed)
		_, err := d.Generate(context.Background(), r, nil)
		require.Error(t, err)
		if seed > 0 {
			requireRefusal(t, err, refuser.CrashesUpstreams, codec.OutcomeNotRun)
		}
	}
	group.Wait()
	require.Equal(t, int32(2), crashes.Load())
	require.Len(t, d.Proven(), 1)
}

func plain(method, key string) connector.PlainRequest {
	return connector.PlainRequest{Entry: "s", Method: method, Path: "/orders", Body: []byte(`{"id":1}`), IdempotencyKey: key, Deadline: time.Now().Add(5 * time.Second)}
}

// Guards against a non-idempotent call that runs twice, one that runs without a permit, and a wrong outcome.
func TestPlainCalls(t *testing.T) {
	var calls atomic.Int32
	var failing atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if calls.Add(1) == 1 && failing.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, "done")
	}))
	defer server.Close()
	const unreachable = "127.0.0.1:1"
	cases := []struct {
		name     string
		request  connector.PlainRequest
		failing  bool
		upstream []string
		decision codec.PermitDecision
		calls    int32
		reason   refuser.Reason
		outcome  codec.Outcome
		recorded bool
		notRun   bool
	}{
		{"idempotent call is retried", plain("PUT", ""), true, []string{addressOf(server)}, "", 2, "", "", false, false},
		{"call without key runs once", plain("POST", ""), true, []string{addressOf(server)}, "", 1, refuser.OutcomeUnknown, codec.OutcomeUnknown, false, false},
		{"call with key runs once", plain("POST", "k"), true, []string{addressOf(server)}, codec.PermitDecisionGranted, 1, refuser.OutcomeUnknown, codec.OutcomeUnknown, true, false},
		{"response is recorded", plain("POST", "k"), false, []string{addressOf(server)}, codec.PermitDecisionGranted, 1, "", "", true, false},
		{"unsent call is retried on another upstream", plain("POST", ""), false, []string{unreachable, addressOf(server)}, "", 1, "", "", false, false},
		{"nothing ran", plain("POST", "k"), false, []string{unreachable}, codec.PermitDecisionGranted, 0, refuser.RetryBudgetSpent, codec.OutcomeNotRun, true, true},
		{"unknown key state", plain("POST", "k"), false, []string{addressOf(server)}, codec.PermitDecisionOutcomeUnknown, 0, refuser.OutcomeUnknown, codec.OutcomeUnknown, false, false},
		{"no permit", plain("POST", "k"), false, []string{addressOf(server)}, codec.PermitDecisionRefused, 0, refuser.StoreUnavailable, codec.OutcomeNotRun, false, false},
		{"stored response", plain("POST", "k"), false, []string{addressOf(server)}, codec.PermitDecisionAnswered, 0, "", "", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls.Store(0)
			failing.Store(c.failing)
			d := newFixture(t, c.upstream...)
			d.permits.reply.Decision = c.decision
			response, err := d.Call(context.Background(), c.request)
			require.Equal(t, c.calls, calls.Load())
			if c.reason != "" {
				requireRefusal(t, err, c.reason, c.outcome)
			} else {
				require.NoError(t, err)
				require.Equal(t, c.decision == codec.PermitDecisionAnswered, response.Replayed)
			}
			require.NoError(t, d.Drain(context.Background()))
			require.Equal(t, c.recorded, len(d.permits.completions) == 1)
			if c.recorded {
				require.Equal(t, c.notRun, d.permits.completions[0].NotRun)
				require.Equal(t, c.reason == "", d.permits.completions[0].Answer != nil)
			}
		})
	}
}

// Guards against a drain that interrupts a running request or accepts a new one.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	engine := newEngine(t)
	release := make(chan struct{})
	engine.script = func(w http.ResponseWriter, r codec.EngineRequest) {
		<-release
		writeChunks(w, validChunks(r, 1)...)
		writeDone(w)
	}
	d := newFixture(t, addressOf(engine.server))
	group := grouper.NewGroup(-1)
	group.Go(func() {
		_, err := d.Generate(context.Background(), request("x"), nil)
		require.NoError(t, err)
	})
	require.Eventually(t, func() bool { return engine.count() == 1 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, d.Drain(ctx), context.DeadlineExceeded)
	_, err := d.Generate(context.Background(), request("y"), nil)
	requireRefusal(t, err, refuser.Draining, codec.OutcomeNotRun)
	close(release)
	require.NoError(t, d.Drain(context.Background()))
	require.Zero(t, d.Status().InFlight)
	group.Wait()
}
