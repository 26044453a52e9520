package provider_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/storeconnector"
	"celerygap.example/standin/provider"
)

func start(t *testing.T, config provider.Config) (*provider.Platform, *storeconnector.Client) {
	t.Helper()
	config.Address = "127.0.0.1:0"
	platform, err := provider.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(1)
	group.Go(func() { _ = platform.Run(ctx) })
	client, err := storeconnector.New(storeconnector.Config{BaseURL: "http://" + platform.Address(), Timeout: time.Second})
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		cancel()
		group.Wait()
	})
	return platform, client
}

// Guards against a stand-in and a client that implement the store's protocol differently.
func TestStoreProtocol(t *testing.T) {
	_, client := start(t, provider.Config{})
	ctx := t.Context()
	first, err := client.Put(ctx, "leases/a b%2F", 0, json.RawMessage(`{"n":1}`))
	require.NoError(t, err)
	require.Equal(t, int64(1), first.Version)
	got, err := client.Get(ctx, "leases/a b%2F")
	require.NoError(t, err)
	require.JSONEq(t, `{"n":1}`, string(got.Value))
	_, err = client.Put(ctx, "leases/a b%2F", 0, json.RawMessage(`{"n":2}`))
	conflict, ok := connector.AsConflict(err)
	require.True(t, ok)
	require.Equal(t, int64(1), conflict.Current.Version)
	_, err = client.Put(ctx, "big", 0, append(append([]byte(`"`), bytes.Repeat([]byte("x"), 1<<20)...), '"'))
	var status *storeconnector.StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, http.StatusRequestEntityTooLarge, status.Status)
	require.ErrorIs(t, client.Delete(ctx, "absent", 1), connector.ErrNotFound)
	_, ok = connector.AsConflict(client.Delete(ctx, "leases/a b%2F", 5))
	require.True(t, ok)
	require.NoError(t, client.Delete(ctx, "leases/a b%2F", 1))
	changes, err := client.Watch(ctx, "leases/", first.Revision, time.Second)
	require.NoError(t, err)
	require.Len(t, changes.Objects, 1)
	require.True(t, changes.Objects[0].Deleted)
	again, err := client.Put(ctx, "leases/a b%2F", 0, json.RawMessage(`{}`))
	require.NoError(t, err)
	require.Equal(t, int64(3), again.Version, "the version continues after a delete")
	none, err := client.Watch(ctx, "leases/", again.Revision, 20*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, none.Objects)
}

// Guards against injected faults that differ from the documented failures of the store: tests with faults would then not
// show how the service handles those failures.
func TestFaults(t *testing.T) {
	platform, client := start(t, provider.Config{})
	platform.SetFaults(provider.Faults{LoseResponses: 1})
	_, err := client.Put(t.Context(), "a", 0, json.RawMessage(`1`))
	require.ErrorIs(t, err, connector.ErrOutcomeUnknown)
	got, err := client.Get(t.Context(), "a")
	require.NoError(t, err, "the write took effect")
	require.Equal(t, int64(1), got.Version)

	group := grouper.NewGroup(1)
	var watchErr error
	group.Go(func() { _, watchErr = client.Watch(t.Context(), "a", got.Revision, time.Minute) })
	time.Sleep(20 * time.Millisecond)
	platform.SetFaults(provider.Faults{Down: true})
	group.Wait()
	require.ErrorIs(t, watchErr, connector.ErrUnavailable, "an outage ends waiting watches")
	_, err = client.Put(t.Context(), "a", 1, json.RawMessage(`2`))
	require.ErrorIs(t, err, connector.ErrUnavailable)

	platform.SetFaults(provider.Faults{Slow: identifier.Duration(time.Minute)})
	_, err = client.Put(t.Context(), "a", 1, json.RawMessage(`2`))
	require.ErrorIs(t, err, connector.ErrOutcomeUnknown)
	platform.SetFaults(provider.Faults{})
	got, err = client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, int64(1), got.Version)
}

// Guards against a stand-in that does not enforce the store's rate limit: a service that writes too often would then pass
// its tests.
func TestRateLimit(t *testing.T) {
	platform, client := start(t, provider.Config{WritesPerSecond: 10})
	throttled := 0
	for range 20 {
		_, err := client.Put(t.Context(), "a", -1, json.RawMessage(`1`))
		if err != nil && !isConflict(err) {
			require.ErrorIs(t, err, connector.ErrThrottled)
			throttled++
		}
	}
	require.Positive(t, throttled)
	counts := platform.Counts()
	require.Equal(t, int64(throttled), counts.Throttled)
	require.Equal(t, int64(20-throttled), counts.Writes)
}

func isConflict(err error) bool {
	_, ok := connector.AsConflict(err)
	return ok
}

// Guards against a list of hosts that shows a change before the lag has passed, or never.
func TestHostsLag(t *testing.T) {
	host := codec.ListedHost{ID: "u", Address: "a:1", Pool: "farm", State: codec.HostStateLive}
	platform, client := start(t, provider.Config{HostLag: 100 * time.Millisecond, Hosts: []codec.ListedHost{host}})
	state := func() codec.HostState {
		list, err := client.Hosts(t.Context())
		require.NoError(t, err)
		require.Len(t, list.Hosts, 1)
		return list.Hosts[0].State
	}
	platform.MarkLeaving("u")
	require.Equal(t, codec.HostStateLive, state())
	require.Eventually(t, func() bool { return state() == codec.HostStateLeaving }, 2*time.Second, 10*time.Millisecond)
}

// Guards against a list of hosts that alone uses up the control traffic budget of a host, 2 KB/s at the target size of
// 360 hosts and 3,000 engines. The list changes about three times for each of the 237 hosts and engines that fail or
// restart in a day.
func TestHostListFitsTheControlTraffic(t *testing.T) {
	const changesPerDay, secondsPerDay, budget = 3 * (27 + 210), 24 * 60 * 60, 2048
	random := rand.New(rand.NewPCG(1, 2))
	hosts := make([]codec.ListedHost, 3360)
	for i := range hosts {
		hosts[i] = codec.ListedHost{
			ID:      identifier.UpstreamID(fmt.Sprintf("engine-%08x", random.Uint32())),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", random.IntN(8), random.IntN(256), random.IntN(256)),
			Zone:    identifier.Zone(fmt.Sprint("zone-", random.IntN(8))), Region: identifier.Region(fmt.Sprint("region-", random.IntN(2))),
			Pool: "model-farm", State: codec.HostStateLive,
		}
	}
	platform, client := start(t, provider.Config{Hosts: hosts})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+platform.Address()+"/hosts", nil)
	require.NoError(t, err)
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	compressed, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "gzip", response.Header.Get("Content-Encoding"))
	perSecond := len(compressed) * changesPerDay / secondsPerDay
	t.Logf("%d bytes compressed, %d bytes per second", len(compressed), perSecond)
	require.Less(t, perSecond, budget/2)
	for range 2 {
		list, err := client.Hosts(t.Context())
		require.NoError(t, err)
		require.Equal(t, hosts, list.Hosts)
	}
}
