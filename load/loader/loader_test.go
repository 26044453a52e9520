package loader

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against failed requests that count as completed and against a load that does not end.
func TestRunSeparatesFailuresAndEnds(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	results, err := Run(t.Context(), Config{
		Targets: []Target{
			{Name: "good", URL: server.URL + "/good", Method: http.MethodGet, ProcessID: os.Getpid()},
			{Name: "bad", URL: server.URL + "/bad", Method: http.MethodGet},
		},
		Concurrency: 2, Phase: 50 * time.Millisecond, Rounds: 2, Timeout: time.Second,
	})
	require.NoError(t, err)
	require.Positive(t, results[0].Requests)
	require.Zero(t, results[0].Failed)
	require.Zero(t, results[1].Requests)
	require.Positive(t, results[1].Failed)
	require.Contains(t, results[1].LastError, "503")
	require.Less(t, results[0].Elapsed, 2*time.Second)
}
