package historian_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/historian"
	"celerygap.example/service/storekeeper"
)

const pool identifier.PoolName = "p"

func versions(list ...identifier.SoftwareVersion) historian.Versions {
	return historian.Versions{pool: list}
}

// Guards against a stream that goes on at the only version that is listed now, although its pool had another one lately.
func TestOnlyOneVersionForAsLongAsAStreamMayRun(t *testing.T) {
	now := time.Now()
	h := historian.NewHistory(true)
	_, changed := h.Merge(now, nil)
	require.False(t, changed, "no list yet")
	h.Observe(now, versions("v1"))
	stored, changed := h.Merge(now, nil)
	require.True(t, changed)
	version, ok := h.Only(now, stored, pool)
	require.True(t, ok)
	require.EqualValues(t, "v1", version)
	_, ok = h.Only(now, stored, "other")
	require.False(t, ok, "a pool without a history")

	h.Observe(now.Add(time.Minute), versions("v1", "v2"))
	_, ok = h.Only(now.Add(time.Minute), stored, pool)
	require.False(t, ok, "listed here and not stored yet")
	stored, changed = h.Merge(now.Add(time.Minute), &stored)
	require.True(t, changed)
	h.Observe(now.Add(2*time.Minute), versions("v2"))
	for _, gone := range []time.Duration{0, historian.Retention - time.Second} {
		at := now.Add(2*time.Minute + gone)
		_, changed = h.Merge(at, &stored)
		require.False(t, changed)
		_, ok = h.Only(at, stored, pool)
		require.False(t, ok, "v1 is gone for %s", gone)
	}
	later := now.Add(2*time.Minute + historian.Retention)
	stored, changed = h.Merge(later, &stored)
	require.True(t, changed)
	version, ok = h.Only(later, stored, pool)
	require.True(t, ok)
	require.EqualValues(t, "v2", version)
}

// Guards against a history that begins too late: versions that were there before it are not in it.
func TestHistoryThatBeginsLateProvesNothing(t *testing.T) {
	now := time.Now()
	h := historian.NewHistory(false)
	h.Observe(now, versions("v1"))
	stored, _ := h.Merge(now, nil)
	_, ok := h.Only(now, stored, pool)
	require.False(t, ok)
	later := now.Add(historian.Retention)
	stored, changed := h.Merge(later, &stored)
	require.True(t, changed)
	_, ok = h.Only(later, stored, pool)
	require.True(t, ok)
}

// Guards against a host that drops versions that it has not seen itself, because another host maintained the history meanwhile.
func TestVersionsOfAnotherHostAreKept(t *testing.T) {
	now := time.Now()
	h := historian.NewHistory(true)
	h.Observe(now, versions("v1"))
	later := now.Add(historian.Retention)
	h.Interrupt(later)
	other := codec.SoftwareHistory{Complete: true, Pools: []codec.PoolSoftware{{Pool: pool, Versions: []identifier.SoftwareVersion{"v1", "v2"}}}}
	_, changed := h.Merge(later, &other)
	require.False(t, changed)
	next, changed := h.Merge(later.Add(historian.Retention), &other)
	require.True(t, changed)
	require.Equal(t, []identifier.SoftwareVersion{"v1"}, next.Pools[0].Versions)
}

type members []codec.Member

func (m members) Self() codec.Member   { return m[0] }
func (m members) Live() []codec.Member { return m[:1] }

// start runs a Driver of a host that maintains the history.
func start(t *testing.T, store *storekeeper.Store, first bool) *historian.Driver {
	service := timer.New(timer.Config{Resolution: time.Millisecond})
	d := historian.NewDriver(historian.DriverConfig{
		Store: store, Members: members{{ID: "h"}}, Settled: func() bool { return true }, FirstStart: first, Timer: service, Log: logger.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = service.Run(ctx) })
	group.Go(func() { _ = d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return d
}

// Guards against streams that cannot go on after all hosts were killed at once, although their pool had one version all the time.
func TestNewProcessesProveTheOriginFromTheStore(t *testing.T) {
	store := storekeeper.New()
	start(t, store, true).Observe(versions("v1"))
	require.Eventually(t, func() bool { return store.Counts().Writes == 1 }, 5*time.Second, 10*time.Millisecond)
	restarted := start(t, store, false)
	_, ok := restarted.Prove(t.Context(), pool)
	require.False(t, ok, "without a list of its own")
	restarted.Observe(versions("v1"))
	origin, ok := restarted.Prove(t.Context(), pool)
	require.True(t, ok)
	require.Equal(t, codec.StreamOrigin{Pool: pool, Software: "v1"}, origin)
	restarted.Observe(versions("v2"))
	_, ok = restarted.Prove(t.Context(), pool)
	require.False(t, ok)
}

// Guards against calls to the store that callers cause by taking up streams that nobody began, and against calls in calm.
func TestHistoryNeedsFewCalls(t *testing.T) {
	store := storekeeper.New()
	d := start(t, store, true)
	d.Observe(versions("v1"))
	require.Eventually(t, func() bool { return store.Counts().Writes == 1 }, 5*time.Second, 10*time.Millisecond)
	before := store.Counts()
	for range 1000 {
		_, ok := d.Prove(t.Context(), pool)
		require.True(t, ok)
	}
	time.Sleep(1200 * time.Millisecond)
	after := store.Counts()
	require.LessOrEqual(t, after.Reads-before.Reads, int64(1))
	require.Equal(t, before.Writes, after.Writes)
}

// Guards against a proof from an outdated history while the store does not respond.
func TestNothingIsProvedWithoutTheStore(t *testing.T) {
	store := storekeeper.New()
	d := start(t, store, true)
	d.Observe(versions("v1"))
	require.Eventually(t, func() bool { return store.Counts().Writes == 1 }, 5*time.Second, 10*time.Millisecond)
	store.SetFaults(storekeeper.Faults{Down: true})
	_, ok := d.Prove(t.Context(), pool)
	require.False(t, ok)
}
