package lister

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/timer"
	"celerygap.example/service/storekeeper"
)

// Guards against a host that was frozen and sends work to an upstream that has been leaving for longer than 5 s, because its
// list dates from before the freeze (P7).
func TestFrozenHostGivesOutNoUpstream(t *testing.T) {
	d := NewDriver(DriverConfig{Store: storekeeper.New(), Timer: timer.New(timer.Config{})})
	d.handle(ListReceived{List: codec.HostList{Revision: 1, Hosts: []codec.ListedHost{{ID: "u", Pool: "pool", State: codec.HostStateLive}}}})
	require.Len(t, d.Pool("pool"), 1)
	d.lastTick.Add(-int64(5 * time.Second))
	require.Empty(t, d.Pool("pool"), "before the first tick after the freeze")
	d.recordTick()
	require.Empty(t, d.Pool("pool"), "before the list was read again")
	require.Len(t, d.resumed, 1)
	d.endOutdated()
	require.Len(t, d.Pool("pool"), 1)
}

// Guards against a host that uses its old list after a freeze, or that never returns upstreams again.
func TestListIsReadAfterAFreeze(t *testing.T) {
	store := storekeeper.New()
	store.SetHosts([]codec.ListedHost{{ID: "u", Address: "127.0.0.1:1", Pool: "pool", State: codec.HostStateLive}})
	times := timer.New(timer.Config{})
	d := NewDriver(DriverConfig{Store: store, Timer: times, PollInterval: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(-1)
	defer group.Wait()
	defer cancel()
	group.Go(func() {
		_ = grouper.Supervise(ctx, grouper.Config{}, append(d.Duties(), grouper.Duty{Name: "timer", Run: times.Run})...)
	})
	require.Eventually(t, func() bool { return len(d.Pool("pool")) == 1 }, 5*time.Second, 5*time.Millisecond)

	store.SetHosts([]codec.ListedHost{{ID: "u", Address: "127.0.0.1:1", Pool: "pool", State: codec.HostStateLeaving}})
	d.outdated.Store(true)
	d.resumed <- struct{}{}
	require.Eventually(t, func() bool {
		pool := d.Pool("pool")
		require.True(t, len(pool) == 0 || pool[0].Leaving, "the list from before the freeze is in use")
		return len(pool) == 1
	}, 5*time.Second, time.Millisecond)
}
