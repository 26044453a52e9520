package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/meter"
	"celerygap.example/lib/refuser"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
)

// scriptedClient is a client of upstreams that runs one function per attempt, and the last one for all further
// attempts.
type scriptedClient struct {
	mu       sync.Mutex
	attempts []identifier.UpstreamID
	plain    []func(ctx context.Context, call connector.PlainCall) (connector.PlainResponse, error)
	streams  []func(ctx context.Context, call connector.StreamCall) error
	// probeErr is the result of each probe.
	probeErr error
}

func (s *scriptedClient) Probe(context.Context, connector.Upstream) error { return s.probeErr }

func (s *scriptedClient) next(id identifier.UpstreamID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, id)
	return len(s.attempts) - 1
}

func (s *scriptedClient) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

func (s *scriptedClient) Do(ctx context.Context, call connector.PlainCall) (connector.PlainResponse, error) {
	step := s.next(call.Upstream.ID)
	call.OnSent()
	return s.plain[min(step, len(s.plain)-1)](ctx, call)
}

func (s *scriptedClient) Stream(ctx context.Context, call connector.StreamCall) error {
	step := s.next(call.Upstream.ID)
	call.OnSent()
	return s.streams[min(step, len(s.streams)-1)](ctx, call)
}

func newRouteDispatcher(t *testing.T, script *scriptedClient, route codec.RouteSpec) *dispatcher.Dispatcher {
	return newRouteDispatcherOf(t, "h", script, route)
}

func newRouteDispatcherOf(t *testing.T, host identifier.HostID, script *scriptedClient, route codec.RouteSpec) *dispatcher.Dispatcher {
	return dispatcher.New(routeConfig(t, host, script, route))
}

func newPacedDispatcher(t *testing.T, pacer connector.Pacer, script *scriptedClient, route codec.RouteSpec) *dispatcher.Dispatcher {
	config := routeConfig(t, "h", script, route)
	config.Pacer = pacer
	return dispatcher.New(config)
}

func routeConfig(t *testing.T, host identifier.HostID, script *scriptedClient, route codec.RouteSpec) dispatcher.Config {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("invariant %s: %s", name, detail) }))
	meters, err := meter.New()
	require.NoError(t, err)
	route.Pools = []codec.WeightedPool{{Pool: "p", Weight: 1}}
	upstreams := &fakeUpstreams{}
	for i := range 4 {
		upstreams.list = append(upstreams.list, connector.Upstream{ID: identifier.UpstreamID(fmt.Sprint("u", i)), Zone: "z", Region: "r"})
	}
	catalogue := &codec.Catalogue{
		Revision: 1, Pools: []codec.Pool{{Name: "p", Kind: codec.PoolKindPlain}},
		Entries: []codec.Entry{{
			Name: "route", Kind: codec.EntryKindRoute, Class: codec.EntryClassLive, Route: &route,
			Limits: codec.Limits{Deadline: identifier.Duration(2 * time.Second)},
		}},
	}
	return dispatcher.Config{
		Host: host, Zone: "z", Region: "r", Catalogue: &fakeCatalogue{catalogue}, Upstreams: upstreams, Plain: script, Streams: script,
		Meter: meters, Timer: timer.New(timer.Config{}),
	}
}

func failWith(status int) func(context.Context, connector.PlainCall) (connector.PlainResponse, error) {
	return func(context.Context, connector.PlainCall) (connector.PlainResponse, error) {
		return connector.PlainResponse{}, &connector.UpstreamError{
			Failure: connector.FailureUnavailable, Status: status, Err: errors.New("failed"),
			Response: &connector.PlainResponse{Status: status, Header: http.Header{}},
		}
	}
}

func lost(context.Context, connector.PlainCall) (connector.PlainResponse, error) {
	return connector.PlainResponse{}, &connector.UpstreamError{Failure: connector.FailureConnectionLost, Err: errors.New("lost")}
}

func succeed(context.Context, connector.PlainCall) (connector.PlainResponse, error) {
	return connector.PlainResponse{Status: http.StatusOK, Header: http.Header{}, Body: []byte("complete")}, nil
}

var routeRequest = connector.PlainRequest{Entry: "route", ID: "r1", Method: http.MethodPost, Path: "/p", Header: http.Header{}}

// Guards against more attempts than the route allows, and against a refusal in place of the upstream's own failure
// response.
func TestUpstreamsOwnFailureIsReturned(t *testing.T) {
	script := &scriptedClient{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){failWith(500)}}
	response, err := newRouteDispatcher(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3}).Call(t.Context(), routeRequest)
	require.NoError(t, err)
	require.Equal(t, 500, response.Status)
	require.Equal(t, 3, response.Failures)
	require.Len(t, script.attempts, 3)

	// An upstream that reached its time limit says nothing about the call: an item whose reward call ends so is not dead.
	script = &scriptedClient{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){failWith(500), failWith(504)}}
	response, err = newRouteDispatcher(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3}).Call(t.Context(), routeRequest)
	require.NoError(t, err)
	require.Equal(t, 504, response.Status)
	require.Equal(t, 1, response.Failures)
}

// Guards against a retry that runs a request twice although its route is not idempotent, whatever the method is.
func TestRouteDecidesWhatMayBeRetried(t *testing.T) {
	script := &scriptedClient{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){lost, succeed}}
	_, err := newRouteDispatcher(t, script, codec.RouteSpec{MaxAttempts: 3}).Call(t.Context(), routeRequest)
	refusal, ok := refuser.As(err)
	require.True(t, ok)
	require.Equal(t, codec.OutcomeUnknown, refusal.Outcome)
	require.Len(t, script.attempts, 1)

	script = &scriptedClient{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){lost, succeed}}
	response, err := newRouteDispatcher(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3}).Call(t.Context(), routeRequest)
	require.NoError(t, err)
	require.Equal(t, "complete", string(response.Body))
	require.NotEqual(t, script.attempts[0], script.attempts[1])
}

// Guards against an upstream without a response that uses up all the time of a request to which another could respond.
func TestSilentUpstreamLeavesTimeForAnother(t *testing.T) {
	silent := func(ctx context.Context, _ connector.PlainCall) (connector.PlainResponse, error) {
		<-ctx.Done()
		var cause *connector.UpstreamError
		if errors.As(context.Cause(ctx), &cause) {
			return connector.PlainResponse{}, cause
		}
		return connector.PlainResponse{}, &connector.UpstreamError{Failure: connector.FailureCancelled, Err: ctx.Err()}
	}
	script := &scriptedClient{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){silent, succeed}}
	started := time.Now()
	_, err := newRouteDispatcher(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 2}).Call(t.Context(), routeRequest)
	require.NoError(t, err)
	require.Less(t, time.Since(started), 1500*time.Millisecond)
}

// sink records the heads and the events that a caller receives.
type sink struct {
	heads  int
	events []string
}

func (s *sink) Start(connector.PlainResponse) error {
	s.heads++
	return nil
}

func (s *sink) Event(event connector.StreamEvent) error {
	s.events = append(s.events, string(event.Raw))
	return nil
}

// events returns an attempt that sends the events up to a number and then ends, with the failure if that is not empty.
func events(last identifier.EventNumber, failure connector.Failure) func(context.Context, connector.StreamCall) error {
	return func(_ context.Context, call connector.StreamCall) error {
		if err := call.OnStart(connector.PlainResponse{Status: http.StatusOK}); err != nil {
			return err
		}
		for n := call.After + 1; n <= last; n++ {
			if err := call.OnEvent(connector.StreamEvent{Number: n, Raw: []byte(fmt.Sprint(n))}); err != nil {
				return err
			}
		}
		if failure == "" {
			return nil
		}
		return &connector.UpstreamError{Failure: failure, Err: errors.New("connection lost")}
	}
}

// Guards against streams with gaps or repeated events after their upstream failed, against a second head, and against
// resuming a stream whose route does not allow it.
func TestBrokenStreams(t *testing.T) {
	script := func() *scriptedClient {
		return &scriptedClient{streams: []func(context.Context, connector.StreamCall) error{events(2, connector.FailureConnectionLost), events(4, "")}}
	}
	var resumed sink
	other, err := newRouteDispatcher(t, script(), codec.RouteSpec{Streaming: true, Resumable: true, Idempotent: true, MaxAttempts: 3}).Stream(t.Context(), routeRequest, &resumed)
	require.NoError(t, err)
	require.Nil(t, other)
	require.Equal(t, sink{heads: 1, events: []string{"1", "2", "3", "4"}}, resumed)

	var cut sink
	_, err = newRouteDispatcher(t, script(), codec.RouteSpec{Streaming: true, MaxAttempts: 3}).Stream(t.Context(), routeRequest, &cut)
	refusal, ok := refuser.As(err)
	require.True(t, ok)
	require.Equal(t, codec.OutcomeUnknown, refusal.Outcome)
	require.Equal(t, []string{"1", "2"}, cut.events)
}

// Guards against a new connection for nearly every call of a host with little traffic, whose calls would go to another upstream
// each time, and against hosts that all prefer the same upstream.
func TestHostKeepsToItsUpstream(t *testing.T) {
	used := make(map[identifier.UpstreamID]int)
	for i := range 40 {
		script := &scriptedClient{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){succeed}}
		d := newRouteDispatcherOf(t, identifier.HostID(fmt.Sprint("h", i)), script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3})
		for range 10 {
			_, err := d.Call(t.Context(), routeRequest)
			require.NoError(t, err)
		}
		for _, id := range script.attempts {
			require.Equal(t, script.attempts[0], id)
		}
		used[script.attempts[0]]++
	}
	require.Len(t, used, 4)
	for id, hosts := range used {
		require.LessOrEqual(t, hosts, 20, "upstream %s", id)
	}
}
