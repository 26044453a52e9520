package server_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/reserver"
	"celerygap.example/service/server"
)

// fakes implements the interfaces that the server calls; calls counts the requests that reach it.
type fakes struct {
	generate func(onChunk func(connector.Chunk) error) (connector.GenerateResult, error)
	calls    int
}

func (f *fakes) Generate(_ context.Context, _ connector.GenerateRequest, onChunk func(connector.Chunk) error) (connector.GenerateResult, error) {
	f.calls++
	return f.generate(onChunk)
}

func (f *fakes) Call(context.Context, connector.PlainRequest) (connector.PlainResponse, error) {
	f.calls++
	return connector.PlainResponse{Status: http.StatusTeapot, Header: http.Header{"X-Kept": {"yes"}}, Body: []byte("body")}, nil
}

func (f *fakes) Declare(context.Context, identifier.EntryName, codec.StepDeclaration) error {
	f.calls++
	return nil
}

func (f *fakes) Page(context.Context, codec.FetchPage, time.Duration) (codec.SamplePage, error) {
	f.calls++
	return codec.SamplePage{}, nil
}

func (f *fakes) Current() *codec.Catalogue {
	return &codec.Catalogue{Revision: 4, Entries: []codec.Entry{
		{Name: "model", Kind: codec.EntryKindModel, Model: &codec.ModelSpec{}},
		{Name: "orders", Kind: codec.EntryKindService, Limits: codec.Limits{BodyBytes: 8}, Service: &codec.ServiceSpec{}},
		{Name: "trainer", Kind: codec.EntryKindTrainer, Trainer: &codec.TrainerSpec{}},
	}}
}

func (f *fakes) Subscribe() <-chan *codec.Catalogue { return nil }
func (f *fakes) Self() codec.Member                 { return codec.Member{} }
func (f *fakes) Live() []codec.Member               { return nil }

func newServer(t *testing.T, f *fakes) *server.Server {
	m, err := meter.New()
	require.NoError(t, err)
	return server.New(server.Config{
		Generator: f, Plain: f, Rollouts: f, Catalogue: f, Members: f, Ready: func() bool { return true },
		Meter: m, Log: logger.Discard(), BodyLimit: 1 << 10,
	})
}

func send(s *server.Server, method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

// Guards against invalid input that reaches the parts behind the server, and against errors that do not name the field.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	long := strings.Repeat("x", 2<<10)
	cases := []struct {
		name, method, path, body string
		status                   int
		reason                   refuser.Reason
		detail                   string
	}{
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"nope","messages":[{"role":"user","content":"x"}]}`, 404, refuser.UnknownEntry, `"nope"`},
		{"unknown service", "GET", "/services/nope/x", "", 404, refuser.UnknownEntry, `"nope"`},
		{"not JSON", "POST", "/v1/chat/completions", `{"model`, 400, refuser.InvalidRequest, "JSON"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"model"}`, 400, refuser.InvalidRequest, "messages"},
		{"several choices", "POST", "/v1/completions", `{"model":"model","prompt":"x","n":2}`, 400, refuser.InvalidRequest, "field n"},
		{"no tokens", "POST", "/v1/completions", `{"model":"model","prompt":"x","max_tokens":0}`, 400, refuser.InvalidRequest, "max_tokens"},
		{"large completion", "POST", "/v1/completions", `{"model":"model","prompt":"` + long + `"}`, 413, refuser.BodyTooLarge, "1024 bytes"},
		{"large call", "POST", "/services/orders/x", "nine bytes", 413, refuser.BodyTooLarge, "8 bytes"},
		{"unknown trainer", "PUT", "/v1/trainers/nope/steps/1", "{}", 404, refuser.UnknownEntry, `"nope"`},
		{"step differs", "PUT", "/v1/trainers/trainer/steps/1", `{"step":2,"group_size":1,"prompts":["x"]}`, 400, refuser.InvalidRequest, "field step"},
		{"negative step", "PUT", "/v1/trainers/trainer/steps/-1", "{}", 400, refuser.InvalidRequest, "field step"},
		{"empty prompt", "PUT", "/v1/trainers/trainer/steps/1", `{"step":1,"group_size":1,"prompts":[""]}`, 400, refuser.InvalidRequest, "prompts[0]"},
		{"no weight version", "GET", "/v1/trainers/trainer/steps/1/samples", "", 400, refuser.InvalidRequest, "weight_version"},
		{"long wait", "GET", "/v1/trainers/trainer/steps/1/samples?weight_version=1&wait=1h", "", 400, refuser.InvalidRequest, "field wait"},
	}
	f := &fakes{}
	s := newServer(t, f)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			recorder := send(s, c.method, c.path, c.body)
			require.Equal(t, c.status, recorder.Code)
			require.Equal(t, refuser.ContentType, recorder.Header().Get("Content-Type"))
			var problem codec.Problem
			require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &problem))
			require.Equal(t, string(c.reason), problem.Reason)
			require.Equal(t, codec.OutcomeNotRun, problem.Outcome)
			require.Contains(t, problem.Detail, c.detail)
		})
	}
	require.Zero(t, f.calls)
}

// Guards against a stream that fails after its first chunk but ends with the marker of a complete one.
func TestFailedStreamHasNoEndMarker(t *testing.T) {
	f := &fakes{generate: func(onChunk func(connector.Chunk) error) (connector.GenerateResult, error) {
		if err := onChunk(connector.Chunk{Text: "part"}); err != nil {
			return connector.GenerateResult{}, err
		}
		return connector.GenerateResult{}, refuser.Unknown(refuser.AttemptsExhausted, time.Second, "engines failed")
	}}
	body := send(newServer(t, f), "POST", "/v1/completions", `{"model":"model","prompt":"x","stream":true}`).Body.String()
	require.Contains(t, body, "part")
	require.Contains(t, body, `"error"`)
	require.NotContains(t, body, "[DONE]")
}

// Guards against a refusal without the time after which the caller should retry.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	f := &fakes{generate: func(func(connector.Chunk) error) (connector.GenerateResult, error) {
		return connector.GenerateResult{}, refuser.NotRun(refuser.QueueFull, 1500*time.Millisecond, "full")
	}}
	recorder := send(newServer(t, f), "POST", "/v1/completions", `{"model":"model","prompt":"x"}`)
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.Equal(t, "2", recorder.Header().Get("Retry-After"))
}

// Guards against losing the upstream's own status, header or body on the way to the caller.
func TestPlainResponseIsPassedOn(t *testing.T) {
	recorder := send(newServer(t, &fakes{}), "POST", "/services/orders/x", "short")
	require.Equal(t, http.StatusTeapot, recorder.Code)
	require.Equal(t, "yes", recorder.Header().Get("X-Kept"))
	require.Equal(t, "body", recorder.Body.String())
}

// Guards against a load balancer that keeps sending requests to a host that is stopping.
func TestDrainTurnsReadinessOff(t *testing.T) {
	s := newServer(t, &fakes{})
	require.Equal(t, http.StatusOK, send(s, "GET", "/readyz", "").Code)
	s.Drain(time.Now().Add(time.Minute))
	require.Equal(t, http.StatusServiceUnavailable, send(s, "GET", "/readyz", "").Code)
	require.Equal(t, http.StatusOK, send(s, "GET", "/healthz", "").Code)
}

// Guards against bodies that together take more memory than the host has for callers, and against a refusal without the time to return.
func TestBodiesAreRefusedWhenTheMemoryIsTaken(t *testing.T) {
	m, err := meter.New()
	require.NoError(t, err)
	f := &fakes{}
	memory := reserver.New(reserver.Config{Limit: 1 << 10, MaxWait: time.Millisecond})
	s := server.New(server.Config{
		Generator: f, Plain: f, Rollouts: f, Catalogue: f, Members: f, Ready: func() bool { return true },
		Meter: m, Log: logger.Discard(), BodyLimit: 1 << 10, Memory: memory,
	})
	taken := memory.Charge(1 << 10)
	response := send(s, http.MethodPost, "/services/orders/x", "12345678")
	require.Equal(t, http.StatusServiceUnavailable, response.Code)
	require.NotEmpty(t, response.Header().Get("Retry-After"))
	require.Contains(t, response.Body.String(), `"outcome":"not_run"`)
	require.Zero(t, f.calls)
	taken.Release()
	require.Equal(t, http.StatusTeapot, send(s, http.MethodPost, "/services/orders/x", "12345678").Code)
	require.Zero(t, memory.Used(), "memory is held after the end of the request")
}
