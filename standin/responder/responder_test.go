package responder_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/standin/responder"
)

func start(t *testing.T) *responder.Service {
	t.Helper()
	service, err := responder.New(responder.Config{Address: "127.0.0.1:0", RestartDelay: 20 * time.Millisecond})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(1)
	group.Go(func() { _ = service.Run(ctx) })
	t.Cleanup(func() {
		// The shutdown of an HTTP server waits 5 s for connections that have not sent a request yet.
		http.DefaultClient.CloseIdleConnections()
		cancel()
		group.Wait()
	})
	return service
}

// post returns the status, the echoed attempt id, and whether the service declared that the request was not started. The
// status is 0 without a response.
func post(t *testing.T, s *responder.Service, body, attempt string) (status int, echoed string, refused bool) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/orders", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", "key-"+body)
	request.Header.Set("X-Attempt-Id", attempt)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Header.Get("X-Attempt-Id"), response.Header.Get("X-Not-Started") == "true"
}

// Guards against a count of runs that is wrong under faults: tests would then not detect a request that ran twice.
func TestCountsWhatRan(t *testing.T) {
	service := start(t)
	cases := []struct {
		body   string
		faults responder.Faults
		status int
		runs   int64
	}{
		{"complete", responder.Faults{}, http.StatusOK, 1},
		{"before", responder.Faults{CloseBefore: 1}, 0, 0},
		{"after", responder.Faults{CloseAfter: 1}, 0, 1},
		{"refused", responder.Faults{Refuse: 1}, http.StatusServiceUnavailable, 0},
		{"crossed", responder.Faults{Cross: 1}, http.StatusOK, 1},
	}
	for _, c := range cases {
		t.Run(c.body, func(t *testing.T) {
			service.SetFaults(c.faults)
			status, echoed, refused := post(t, service, c.body, "a-"+c.body)
			require.Equal(t, c.status, status)
			require.Equal(t, c.status == http.StatusServiceUnavailable, refused)
			require.Equal(t, c.body == "complete", echoed == "a-"+c.body)
			record := service.Record()
			require.Equal(t, c.runs, record.Bodies[c.body])
			require.Equal(t, c.runs, record.Keys["key-"+c.body])
			require.Equal(t, c.runs, record.Attempts["a-"+c.body])
		})
	}
}

// Guards against a crashed service that does not restart, and against a body with the crash marker that counts as run.
func TestCrashAndRestart(t *testing.T) {
	service := start(t)
	status, _, _ := post(t, service, responder.DefaultCrashMarker, "a1")
	require.Zero(t, status)
	require.Eventually(t, func() bool {
		status, _, _ := post(t, service, "after", "a2")
		return status == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
	record := service.Record()
	require.Equal(t, 1, record.Restarts)
	require.NotContains(t, record.Bodies, responder.DefaultCrashMarker)
}
