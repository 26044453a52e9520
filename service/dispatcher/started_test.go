package dispatcher_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
)

// startRecorder records the requests that began to run.
type startRecorder struct {
	mu    sync.Mutex
	times []time.Time
}

func (r *startRecorder) started(customer identifier.CustomerName, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if customer == "cuka620" {
		r.times = append(r.times, at)
	}
}

func (r *startRecorder) list() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.times...)
}

type plainFunc = func(context.Context, connector.PlainCall) (connector.PlainResponse, error)

// sent makes an attempt that is sent, lasts for a time and ends with a failure, or completes without one.
func sent(lasts time.Duration, failure connector.Failure) plainFunc {
	return func(context.Context, connector.PlainCall) (connector.PlainResponse, error) {
		time.Sleep(lasts)
		if failure == "" {
			return connector.PlainResponse{Status: 200}, nil
		}
		return connector.PlainResponse{}, &connector.UpstreamError{Failure: failure, Err: context.Canceled}
	}
}

// disconnected is a client whose attempts find no connection.
type disconnected struct{ *scriptedClient }

func (disconnected) Do(context.Context, connector.PlainCall) (connector.PlainResponse, error) {
	return connector.PlainResponse{}, &connector.UpstreamError{Failure: connector.FailureConnectFailed, Err: context.Canceled}
}

// Guards against requests that are counted twice, not at all or although no upstream ran them, and against counts of reward calls
// and of callers without a key.
func TestStartOfARequestIsReportedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		script []plainFunc
		change func(*connector.PlainRequest)
		want   int
	}{
		"completed":                   {[]plainFunc{sent(0, "")}, nil, 1},
		"retried after a lost one":    {[]plainFunc{sent(0, connector.FailureConnectionLost), sent(0, "")}, nil, 1},
		"rejected as not run":         {[]plainFunc{sent(0, connector.FailureNotStarted)}, nil, 0},
		"run after a rejection":       {[]plainFunc{sent(0, connector.FailureLeaving), sent(0, "")}, nil, 1},
		"failed at every upstream":    {[]plainFunc{sent(0, connector.FailureUnavailable)}, nil, 1},
		"long":                        {[]plainFunc{sent(500*time.Millisecond, "")}, nil, 1},
		"caller without a known name": {[]plainFunc{sent(0, "")}, func(r *connector.PlainRequest) { r.Customer = "" }, 0},
		"reward call":                 {[]plainFunc{sent(0, "")}, func(r *connector.PlainRequest) { r.Sound = true }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := &startRecorder{}
			config := routeConfig(t, "h", &scriptedClient{plain: c.script}, codec.RouteSpec{Idempotent: true, MaxAttempts: 3})
			config.OnStarted = recorder.started
			request := routeRequest
			request.Customer = "cuka620"
			if c.change != nil {
				c.change(&request)
			}
			_, _ = dispatcher.New(config).Call(t.Context(), request)
			require.Len(t, recorder.list(), c.want)
		})
	}
}

// Guards against a request that is counted although it was never sent.
func TestRequestWithoutConnectionIsNotReported(t *testing.T) {
	recorder := &startRecorder{}
	config := routeConfig(t, "h", &scriptedClient{}, codec.RouteSpec{Idempotent: true, MaxAttempts: 2})
	config.Plain = disconnected{&scriptedClient{}}
	config.OnStarted = recorder.started
	request := routeRequest
	request.Customer = "cuka620"
	_, err := dispatcher.New(config).Call(t.Context(), request)
	require.Error(t, err)
	require.Empty(t, recorder.list())
}

// Guards against a long request that is counted only when it ends, after the report of its window.
func TestStartOfALongRequestIsReportedWhileItRuns(t *testing.T) {
	recorder := &startRecorder{}
	script := &scriptedClient{streams: []func(context.Context, connector.StreamCall) error{
		func(context.Context, connector.StreamCall) error {
			time.Sleep(700 * time.Millisecond)
			return nil
		},
	}}
	config := routeConfig(t, "h", script, codec.RouteSpec{Idempotent: true, MaxAttempts: 1})
	config.OnStarted = recorder.started
	request := routeRequest
	request.Customer = "cuka620"
	begin := time.Now()
	done := make(chan struct{})
	time.AfterFunc(0, func() {
		defer close(done)
		_, _ = dispatcher.New(config).Stream(t.Context(), request, &sink{})
	})
	require.Eventually(t, func() bool { return len(recorder.list()) == 1 }, 600*time.Millisecond, 5*time.Millisecond)
	require.WithinDuration(t, begin, recorder.list()[0], 200*time.Millisecond, "the time is that of the attempt")
	<-done
	require.Len(t, recorder.list(), 1)
}
