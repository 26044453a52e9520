package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
)

// stating returns a client of upstreams that state their load with the given speed. The upstream on which the first call runs, and
// only that one, takes 40 ms instead of 10 ms for a call.
func stating(slowness float64) (*scriptedClient, *identifier.UpstreamID) {
	slow := new(identifier.UpstreamID)
	var first sync.Once
	return &scriptedClient{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){
		func(_ context.Context, call connector.PlainCall) (connector.PlainResponse, error) {
			first.Do(func() { *slow = call.Upstream.ID })
			took := 10 * time.Millisecond
			if call.Upstream.ID == *slow {
				took = 40 * time.Millisecond
			}
			time.Sleep(took)
			load := codec.LoadReport{Slots: 6, Slowness: slowness, ReportedAt: time.Now()}
			return connector.PlainResponse{Status: http.StatusOK, Header: http.Header{}, Load: &load}, nil
		},
	}}, slow
}

// callMany makes calls from two callers at once, so that more than one upstream is used.
func callMany(t *testing.T, d *dispatcher.Dispatcher, calls int) {
	done, callers := make(chan error, 2), grouper.NewGroup(-1)
	for range calls {
		for range 2 {
			callers.Go(func() {
				_, err := d.Call(t.Context(), routeRequest)
				done <- err
			})
		}
		require.NoError(t, <-done)
		require.NoError(t, <-done)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against calls that keep going to an upstream that is lastingly slower than the others of its pool, if these state their
// speed, and against another choice than before if they do not.
func TestCallsLeaveALastinglySlowUpstream(t *testing.T) {
	for _, slowness := range []float64{0, 1} {
		t.Run(fmt.Sprint(slowness), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				script, slow := stating(slowness)
				d := newRouteDispatcher(t, script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3})
				callMany(t, d, 100)
				onSlow := 0
				for _, id := range script.attempts[100:] {
					if id == *slow {
						onSlow++
					}
				}
				if slowness == 0 {
					require.GreaterOrEqual(t, onSlow, 50, "the host keeps to its upstream")
				} else {
					require.Less(t, onSlow, 10)
				}
			})
		})
	}
}

// Guards against metrics without the calibration of the estimates and the reason of a choice.
func TestCalibrationIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script, _ := stating(1)
		config := routeConfig(t, "h", script, codec.RouteSpec{Idempotent: true, MaxAttempts: 3})
		callMany(t, dispatcher.New(config), 10)
		page := httptest.NewRecorder()
		config.Meter.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		for _, name := range []string{`celerygap_choices`, `by="cost"`, `celerygap_cost_estimated`, `celerygap_cost_seen`} {
			require.Contains(t, page.Body.String(), name)
		}
	})
}
