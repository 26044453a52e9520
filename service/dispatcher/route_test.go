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

// scripted is a client of upstreams whose attempts follow a script, one function for each.
type scripted struct {
	mu       sync.Mutex
	attempts []identifier.UpstreamID
	plain    []func(ctx context.Context, call connector.PlainCall) (connector.PlainResponse, error)
	streams  []func(ctx context.Context, call connector.StreamCall) error
}

func (s *scripted) Probe(context.Context, connector.Upstream) error { return nil }

func (s *scripted) next(id identifier.UpstreamID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, id)
	return len(s.attempts) - 1
}

func (s *scripted) Do(ctx context.Context, call connector.PlainCall) (connector.PlainResponse, error) {
	step := s.next(call.Upstream.ID)
	call.OnSent()
	return s.plain[min(step, len(s.plain)-1)](ctx, call)
}

func (s *scripted) Stream(ctx context.Context, call connector.StreamCall) error {
	step := s.next(call.Upstream.ID)
	call.OnSent()
	return s.streams[min(step, len(s.streams)-1)](ctx, call)
}

func newRouted(t *testing.T, script *scripted, route codec.RouteSpec) *dispatcher.Dispatcher {
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
	return dispatcher.New(dispatcher.Config{
		Host: "h", Zone: "z", Region: "r", Catalogue: &fakeCatalogue{catalogue}, Upstreams: upstreams, Plain: script, Streams: script,
		Meter: meters, Timer: timer.New(timer.Config{}),
	})
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
	return connector.PlainResponse{}, &connector.UpstreamError{Failure: connector.FailureLost, Err: errors.New("lost")}
}

func succeed(context.Context, connector.PlainCall) (connector.PlainResponse, error) {
	return connector.PlainResponse{Status: http.StatusOK, Header: http.Header{}, Body: []byte("whole")}, nil
}

var routeRequest = connector.PlainRequest{Entry: "route", ID: "r1", Method: http.MethodPost, Path: "/p", Header: http.Header{}}

// Guards against more attempts than the route allows, and against replacing the upstream's own failure by a refusal.
func TestUpstreamsOwnFailureIsReturned(t *testing.T) {
	script := &scripted{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){failWith(500)}}
	response, err := newRouted(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3}).Call(t.Context(), routeRequest)
	require.NoError(t, err)
	require.Equal(t, 500, response.Status)
	require.Equal(t, 3, response.Failures)
	require.Len(t, script.attempts, 3)
}

// Guards against running a request twice that must not be, whatever its method is.
func TestRouteDecidesWhatMayBeRepeated(t *testing.T) {
	script := &scripted{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){lost, succeed}}
	_, err := newRouted(t, script, codec.RouteSpec{MaxAttempts: 3}).Call(t.Context(), routeRequest)
	refusal, ok := refuser.As(err)
	require.True(t, ok)
	require.Equal(t, codec.OutcomeUnknown, refusal.Outcome)
	require.Len(t, script.attempts, 1)

	script = &scripted{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){lost, succeed}}
	response, err := newRouted(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3}).Call(t.Context(), routeRequest)
	require.NoError(t, err)
	require.Equal(t, "whole", string(response.Body))
	require.NotEqual(t, script.attempts[0], script.attempts[1])
}

// Guards against an upstream without an answer that uses up the whole time of a request which others could answer.
func TestSilentUpstreamLeavesTimeForAnother(t *testing.T) {
	silent := func(ctx context.Context, _ connector.PlainCall) (connector.PlainResponse, error) {
		<-ctx.Done()
		var cause *connector.UpstreamError
		if errors.As(context.Cause(ctx), &cause) {
			return connector.PlainResponse{}, cause
		}
		return connector.PlainResponse{}, &connector.UpstreamError{Failure: connector.FailureCancelled, Err: ctx.Err()}
	}
	script := &scripted{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){silent, succeed}}
	started := time.Now()
	_, err := newRouted(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 2}).Call(t.Context(), routeRequest)
	require.NoError(t, err)
	require.Less(t, time.Since(started), 1500*time.Millisecond)
}

// sink collects what a caller gets of a stream.
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

// events sends the events up to a number and then fails or ends.
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
		return &connector.UpstreamError{Failure: failure, Err: errors.New("broken off")}
	}
}

// Guards against streams with gaps or repeats after their upstream broke off, against a second head, and against
// continuing a stream whose route does not allow it.
func TestBrokenStreams(t *testing.T) {
	script := func() *scripted {
		return &scripted{streams: []func(context.Context, connector.StreamCall) error{events(2, connector.FailureLost), events(4, "")}}
	}
	var whole sink
	other, err := newRouted(t, script(), codec.RouteSpec{Streaming: true, Resumable: true, Idempotent: true, MaxAttempts: 3}).Stream(t.Context(), routeRequest, &whole)
	require.NoError(t, err)
	require.Nil(t, other)
	require.Equal(t, sink{heads: 1, events: []string{"1", "2", "3", "4"}}, whole)

	var cut sink
	_, err = newRouted(t, script(), codec.RouteSpec{Streaming: true, MaxAttempts: 3}).Stream(t.Context(), routeRequest, &cut)
	refusal, ok := refuser.As(err)
	require.True(t, ok)
	require.Equal(t, codec.OutcomeUnknown, refusal.Outcome)
	require.Equal(t, []string{"1", "2"}, cut.events)
}
