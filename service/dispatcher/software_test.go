package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
)

var resumableRoute = codec.RouteSpec{Streaming: true, Resumable: true, Idempotent: true, MaxAttempts: 4}

// mixedConfig returns the configuration of a dispatcher whose upstreams have the given software versions.
func mixedConfig(t *testing.T, script *scriptedClient, versions ...identifier.SoftwareVersion) dispatcher.Config {
	config := routeConfig(t, "h", script, resumableRoute)
	upstreams := &fakeUpstreams{}
	for i, version := range versions {
		upstreams.list = append(upstreams.list, connector.Upstream{
			ID: identifier.UpstreamID(fmt.Sprint("u", i)), Zone: "z", Region: "r", Software: version,
		})
	}
	config.Upstreams = upstreams
	return config
}

// Guards against an answer that joins events of two software versions, and against one that waits for a version that is gone.
func TestStreamResumesOnlyAtItsSoftwareVersion(t *testing.T) {
	broken := func(last identifier.EventNumber) func(context.Context, connector.StreamCall) error {
		return events(last, connector.FailureConnectionLost)
	}
	for name, test := range map[string]struct {
		versions []identifier.SoftwareVersion
		complete bool
	}{
		"two of each":  {[]identifier.SoftwareVersion{"v1", "v2", "v1", "v2"}, true},
		"one of each":  {[]identifier.SoftwareVersion{"v1", "v2"}, true},
		"none is left": {[]identifier.SoftwareVersion{"v1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			used := make(map[identifier.SoftwareVersion]int)
			script := &scriptedClient{streams: []func(context.Context, connector.StreamCall) error{broken(2), broken(4), events(6, "")}}
			config := mixedConfig(t, script, test.versions...)
			upstreams := config.Upstreams.(*fakeUpstreams)
			for i, attempt := range script.streams {
				script.streams[i] = func(ctx context.Context, call connector.StreamCall) error {
					used[call.Upstream.Software]++
					if !test.complete {
						upstreams.list = []connector.Upstream{{ID: "other", Zone: "z", Region: "r", Software: "v2"}}
					}
					return attempt(ctx, call)
				}
			}
			var received sink
			_, err := dispatcher.New(config).Stream(t.Context(), routeRequest, &received)
			require.Len(t, used, 1, "software versions in one answer")
			if test.complete {
				require.NoError(t, err)
				require.Equal(t, []string{"1", "2", "3", "4", "5", "6"}, received.events)
				return
			}
			refusal, ok := refuser.As(err)
			require.True(t, ok)
			require.Equal(t, refuser.NoUpstream, refusal.Reason)
		})
	}
}

// Guards against a completion that goes on at an engine of another software version.
func TestCompletionResumesOnlyAtItsSoftwareVersion(t *testing.T) {
	versions := []identifier.SoftwareVersion{"v1", "v2", "v1", "v2"}
	for number := range 6 {
		var mu sync.Mutex
		var used []identifier.SoftwareVersion
		addresses := make([]string, len(versions))
		for i, version := range versions {
			e := newEngine(t)
			addresses[i] = addressOf(e.server)
			e.setScript(func(w http.ResponseWriter, request codec.EngineRequest) {
				mu.Lock()
				used = append(used, version)
				mu.Unlock()
				chunks := validChunks(request, 1)
				if request.Resume == nil {
					writeChunks(w, chunks[:3]...)
					abort(w)
				}
				writeChunks(w, chunks...)
				writeDone(w)
			})
		}
		f := newFixture(t, addresses...)
		for i, version := range versions {
			f.upstreams.list[i].Software = version
		}
		result, err := f.Generate(t.Context(), connector.GenerateRequest{Entry: "m", Prompt: fmt.Sprint("prompt ", number)}, nil)
		require.NoError(t, err)
		require.Equal(t, completeText, result.Text)
		require.Len(t, used, 2)
		require.Equal(t, used[0], used[1])
	}
}

// fakeOrigins keeps the origins of streams for the dispatchers of several hosts.
type fakeOrigins struct {
	known map[identifier.StreamID]codec.StreamOrigin
}

func (o *fakeOrigins) Record(stream identifier.StreamID, origin codec.StreamOrigin, _ time.Duration) {
	o.known[stream] = origin
}

func (o *fakeOrigins) Resolve(_ context.Context, stream identifier.StreamID, _ []identifier.PoolName) (codec.StreamOrigin, bool) {
	origin, ok := o.known[stream]
	return origin, ok
}

// Guards against a stream that a caller takes up at another host and that goes on at another software version or in another
// pool, and against one whose origin nobody knows.
func TestStreamTakenUpByItsCallerKeepsItsOrigin(t *testing.T) {
	origins := &fakeOrigins{known: make(map[identifier.StreamID]codec.StreamOrigin)}
	var used []identifier.SoftwareVersion
	attempt := func(last identifier.EventNumber, failure connector.Failure) func(context.Context, connector.StreamCall) error {
		return func(ctx context.Context, call connector.StreamCall) error {
			used = append(used, call.Upstream.Software)
			return events(last, failure)(ctx, call)
		}
	}
	send := func(id string, resumes identifier.StreamID, after int, versions []identifier.SoftwareVersion, attempts ...func(context.Context, connector.StreamCall) error) *refuser.Refusal {
		config := mixedConfig(t, &scriptedClient{streams: attempts}, versions...)
		config.Origins = origins
		request := routeRequest
		request.ID, request.Resumes, request.Header = id, resumes, http.Header{}
		if after > 0 {
			request.Header.Set("Last-Event-Id", fmt.Sprint(after))
		}
		_, err := dispatcher.New(config).Stream(t.Context(), request, &sink{})
		refusal, _ := refuser.As(err)
		return refusal
	}
	two := []identifier.SoftwareVersion{"v1", "v2"}
	for number := range 10 {
		used = nil
		first := fmt.Sprint("first", number)
		refusal := send(first, "", 0, []identifier.SoftwareVersion{"v2"}, attempt(2, connector.FailureConnectionLost), attempt(2, connector.FailureCancelled))
		require.NotNil(t, refusal)
		require.Nil(t, send(fmt.Sprint("second", number), identifier.StreamID(first), 2, two, attempt(6, "")))
		require.NotContains(t, used, identifier.SoftwareVersion("v1"))
	}
	used = nil
	refusal := send("third", "first0", 2, []identifier.SoftwareVersion{"v1"}, attempt(6, ""))
	require.Equal(t, refuser.NoUpstream, refusal.Reason, "no upstream of the version is left")
	refusal = send("fourth", "unknown", 2, two, attempt(6, ""))
	require.Equal(t, refuser.StreamUnknown, refusal.Reason)
	require.Equal(t, codec.OutcomeNotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)
	origins.known["first0"] = codec.StreamOrigin{Pool: "other", Software: "v2"}
	refusal = send("fifth", "first0", 2, two, attempt(6, ""))
	require.Equal(t, refuser.NoUpstream, refusal.Reason, "the route does not use the pool any more")
	require.Empty(t, used)
}

// Guards against a stream of an unknown origin that goes on because only one software version is listed: the upstreams of the one
// that began it may have left.
func TestStreamOfUnknownOriginIsRefusedIfOneVersionIsListed(t *testing.T) {
	for _, origins := range []connector.StreamOrigins{nil, &fakeOrigins{known: make(map[identifier.StreamID]codec.StreamOrigin)}} {
		ran := false
		config := mixedConfig(t, &scriptedClient{streams: []func(context.Context, connector.StreamCall) error{func(ctx context.Context, call connector.StreamCall) error {
			ran = true
			return events(6, "")(ctx, call)
		}}}, "v1", "v1")
		config.Origins = origins
		request := routeRequest
		request.ID, request.Resumes, request.Header = "second", "first", http.Header{"Last-Event-Id": {"2"}}
		_, err := dispatcher.New(config).Stream(t.Context(), request, &sink{})
		refusal, ok := refuser.As(err)
		require.True(t, ok)
		require.Equal(t, refuser.StreamUnknown, refusal.Reason)
		require.Equal(t, codec.OutcomeNotRun, refusal.Outcome)
		require.False(t, ran, "nothing ran")
	}
}
