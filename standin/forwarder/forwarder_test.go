package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/standin/forwarder"
)

// Guards against a proxy whose faults have no effect: tests of network failures would then pass without any failure.
func TestFaults(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = w.Write([]byte("ok"))
	}))
	defer server.Close()
	f, err := forwarder.New(forwarder.Config{Target: strings.TrimPrefix(server.URL, "http://")})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(1)
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = f.Run(ctx) })
	client := &http.Client{Timeout: 300 * time.Millisecond}
	get := func() (time.Duration, error) {
		start := time.Now()
		response, err := client.Get("http://" + f.Address())
		if err == nil {
			_ = response.Body.Close()
		}
		return time.Since(start), err
	}
	_, err = get()
	require.NoError(t, err)
	require.Positive(t, f.Bytes())

	f.SetDelay(50 * time.Millisecond)
	took, err := get()
	require.NoError(t, err)
	require.GreaterOrEqual(t, took, 100*time.Millisecond, "both directions are delayed")
	f.SetDelay(0)

	f.SetMode(forwarder.ModeBlackHole)
	took, err = get()
	require.Error(t, err)
	require.GreaterOrEqual(t, took, 300*time.Millisecond, "the call waits until its timeout")
	for mode, arriving := range map[forwarder.Mode]int64{forwarder.ModeHoldRequests: 0, forwarder.ModeHoldResponses: 1} {
		f.Cut()
		f.SetMode(mode)
		client.CloseIdleConnections()
		before := served.Load()
		_, err = get()
		require.Error(t, err, mode)
		require.Equal(t, arriving, served.Load()-before, mode)
	}
	f.Cut()
	f.SetMode(forwarder.ModeRefuse)
	client.CloseIdleConnections()
	took, err = get()
	require.Error(t, err)
	require.Less(t, took, 300*time.Millisecond)

	f.SetMode(forwarder.ModePass)
	_, err = get()
	require.NoError(t, err)
	f.SetDelay(200 * time.Millisecond)
	cut := time.AfterFunc(50*time.Millisecond, f.Cut)
	defer cut.Stop()
	took, err = get()
	require.Error(t, err)
	require.Less(t, took, 200*time.Millisecond, "Cut ends the call immediately")
}
