package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
	"celerygap.example/service/engineconnector"
	"celerygap.example/service/plainconnector"
)

// fakeEngine serves the protocol of engines; a script may replace its responses.
type fakeEngine struct {
	server *httptest.Server
	mu     sync.Mutex
	calls  []codec.EngineRequest
	// script writes the response to a request; nil means that validChunks are sent.
	script func(w http.ResponseWriter, request codec.EngineRequest)
	// version is the weight version of the chunks that are sent without a script.
	version identifier.WeightVersion
}

const totalTokens = 8

func newEngine(t testing.TB) *fakeEngine {
	e := &fakeEngine{version: 1}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEngine) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var request codec.EngineRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	e.mu.Lock()
	e.calls = append(e.calls, request)
	script := e.script
	e.mu.Unlock()
	if script != nil {
		script(w, request)
		return
	}
	writeChunks(w, validChunks(request, e.version)...)
	writeDone(w)
}

func (e *fakeEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

func (e *fakeEngine) setScript(script func(http.ResponseWriter, codec.EngineRequest)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = script
}

// validChunks returns the remaining chunks of a completion of totalTokens tokens, one token each.
func validChunks(request codec.EngineRequest, version identifier.WeightVersion) []codec.EngineChunk {
	var first identifier.Tokens
	if request.Resume != nil {
		first = request.Resume.Tokens
	}
	var chunks []codec.EngineChunk
	for token := first; token < totalTokens; token++ {
		chunks = append(chunks, codec.EngineChunk{
			AttemptID: request.AttemptID, Sequence: int64(token - first), FirstToken: token, Tokens: 1,
			Text: fmt.Sprintf("%d ", token), WeightVersion: version,
		})
	}
	last := &chunks[len(chunks)-1]
	last.FinishReason, last.TotalTokens = codec.FinishReasonStop, totalTokens
	return chunks
}

func writeChunks(w http.ResponseWriter, chunks ...codec.EngineChunk) {
	for _, chunk := range chunks {
		data, _ := json.Marshal(chunk)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	w.(http.Flusher).Flush()
}

func writeDone(w http.ResponseWriter) {
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// abort closes the connection before the end of the body.
func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

const completeText = "0 1 2 3 4 5 6 7 "

type fakeCatalogue struct{ current *codec.Catalogue }

func (c *fakeCatalogue) Current() *codec.Catalogue          { return c.current }
func (c *fakeCatalogue) Subscribe() <-chan *codec.Catalogue { return nil }

type fakeUpstreams struct {
	mu       sync.Mutex
	list     []connector.Upstream
	evidence []connector.Evidence
}

func (u *fakeUpstreams) Pool(identifier.PoolName) []connector.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]connector.Upstream(nil), u.list...)
}

func (u *fakeUpstreams) Report(_ identifier.UpstreamID, evidence connector.Evidence) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.evidence = append(u.evidence, evidence)
}

func (u *fakeUpstreams) setLeaving(index int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.list[index].Leaving = true
}

type fakePermits struct {
	mu          sync.Mutex
	reply       codec.PermitReply
	err         error
	completions []codec.PermitCompletion
}

func (p *fakePermits) Acquire(context.Context, codec.PermitRequest) (codec.PermitReply, error) {
	return p.reply, p.err
}

func (p *fakePermits) Complete(_ context.Context, completion codec.PermitCompletion) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completions = append(p.completions, completion)
	return nil
}

// fixture is a dispatcher with fake upstreams and permits.
type fixture struct {
	*dispatcher.Dispatcher
	upstreams *fakeUpstreams
	permits   *fakePermits
}

// newFixture returns a dispatcher with upstreams at the given addresses. Each failed invariant fails the test.
func newFixture(t testing.TB, addresses ...string) *fixture {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("invariant %s: %s", name, detail) }))
	d := &fixture{
		upstreams: &fakeUpstreams{},
		permits:   &fakePermits{reply: codec.PermitReply{Decision: codec.PermitDecisionGranted, PermitID: "p"}},
	}
	for i, address := range addresses {
		d.upstreams.list = append(d.upstreams.list, connector.Upstream{
			ID: identifier.UpstreamID(fmt.Sprintf("u%d", i)), Address: address, Zone: "z", Region: "r",
		})
	}
	meters, err := meter.New()
	require.NoError(t, err)
	plain := plainconnector.New(plainconnector.Config{})
	engines := engineconnector.New(engineconnector.Config{FirstChunkTimeout: 2 * time.Second, NextChunkTimeout: time.Second})
	t.Cleanup(plain.Close)
	t.Cleanup(engines.Close)
	d.Dispatcher = dispatcher.New(dispatcher.Config{
		Host: "h", Zone: "z", Region: "r", Catalogue: &fakeCatalogue{testCatalogue()}, Upstreams: d.upstreams,
		Engines: engines, Plain: plain, Permits: d.permits, Meter: meters, Timer: timer.New(timer.Config{}),
	})
	return d
}

func testCatalogue() *codec.Catalogue {
	return &codec.Catalogue{
		Revision: 1,
		Entries: []codec.Entry{
			{Name: "m", Kind: codec.EntryKindModel, Class: codec.EntryClassLive, Model: &codec.ModelSpec{Pool: "p", Model: "model", Adapter: "adapter"}},
			{Name: "s", Kind: codec.EntryKindService, Class: codec.EntryClassLive, Service: &codec.ServiceSpec{Pool: "p"}},
		},
		Pools: []codec.Pool{{Name: "p", Kind: codec.PoolKindEngine}},
	}
}

func addressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
