package supervisor_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/logger"
	"celerygap.example/service/configurer"
	"celerygap.example/service/editor"
	"celerygap.example/service/storekeeper"
	"celerygap.example/service/supervisor"
)

// host is a running host in front of one plain service.
type host struct {
	url  string
	stop context.CancelFunc
	done chan error
}

func startHost(tb testing.TB, plain http.Handler) *host {
	upstream := httptest.NewServer(plain)
	tb.Cleanup(upstream.Close)
	store := storekeeper.New()
	store.SetHosts([]codec.ListedHost{{
		ID: "plain-1", Address: strings.TrimPrefix(upstream.URL, "http://"), Zone: "z", Region: "r", Pool: "plain", State: codec.HostStateLive,
	}})
	catalogue, err := json.Marshal(codec.Catalogue{
		Revision: 1, Edits: []codec.Edit{},
		Pools: []codec.Pool{{Name: "plain", Kind: codec.PoolKindPlain}},
		Entries: []codec.Entry{{
			Name: "orders", Kind: codec.EntryKindService, Owner: "o", Class: codec.EntryClassLive, Service: &codec.ServiceSpec{Pool: "plain"},
		}},
	})
	require.NoError(tb, err)
	_, err = store.Put(tb.Context(), editor.Key, 0, catalogue)
	require.NoError(tb, err)
	built, err := supervisor.New(supervisor.Config{Log: logger.Discard(), Store: store, Settings: configurer.Config{
		HostID: "host-1", Zone: "z", Region: "r", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", BodyLimit: 1 << 20,
		DrainWait: 100 * time.Millisecond, DrainTimeout: 10 * time.Second, OrderShards: 1, SubsetSize: 8, GenerationLimit: 4,
		ScreenBuildPeriod: time.Second,
	}})
	require.NoError(tb, err)
	ctx, stop := context.WithCancel(context.Background())
	h := &host{url: "http://" + built.Address(), stop: stop, done: make(chan error, 1)}
	group := grouper.NewGroup(1)
	group.Go(func() { h.done <- built.Supervise(ctx) })
	tb.Cleanup(func() {
		stop()
		group.Wait()
	})
	require.Eventually(tb, func() bool { return status(h.url+"/services/orders/ping") == http.StatusOK }, 10*time.Second, 20*time.Millisecond)
	return h
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against a planned stop that ends a running request early, or that still accepts requests once readiness is off
// and DrainWait has passed.
func TestPlannedStopFinishesRunningRequests(t *testing.T) {
	defer asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("%s: %s", name, detail) })()
	release := make(chan struct{})
	running := make(chan struct{})
	h := startHost(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-release
		}
	}))
	group := grouper.NewGroup(-1)
	var slow int
	group.Go(func() { slow = status(h.url + "/services/orders/slow") })
	<-running
	h.stop()
	require.Eventually(t, func() bool { return status(h.url+"/readyz") == http.StatusServiceUnavailable }, 2*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return status(h.url+"/readyz") == 0 }, 5*time.Second, 20*time.Millisecond)
	close(release)
	group.Wait()
	require.Equal(t, http.StatusOK, slow)
	require.NoError(t, <-h.done)
}

// BenchmarkPlainCall measures a complete call to a plain service through one host, without other load.
func BenchmarkPlainCall(b *testing.B) {
	h := startHost(b, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for b.Loop() {
		require.Equal(b, http.StatusOK, status(h.url+"/services/orders/ping"))
	}
}
