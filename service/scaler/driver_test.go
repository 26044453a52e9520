package scaler_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/scaler"
)

// duties records the calls and the time of each.
type duties struct {
	mu    sync.Mutex
	calls []connector.EngineOrder
	fence []connector.DutyFence
	at    []time.Time
	// held reports whether this host holds the lease.
	held bool
}

func (d *duties) ReportUsage(context.Context, connector.DutyFence, connector.UsageReport) (connector.DutyOutcome, error) {
	return connector.DutyFailed, nil
}

func (d *duties) OrderEngines(_ context.Context, fence connector.DutyFence, order connector.EngineOrder) (connector.DutyOutcome, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, order)
	d.fence = append(d.fence, fence)
	d.at = append(d.at, time.Now())
	return connector.DutyAccepted, nil
}

func (d *duties) holder() (connector.DutyFence, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return connector.DutyFence{Holder: "h", Fencing: 7}, d.held
}

func (d *duties) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

func runDriver(t *testing.T, d *duties) *scaler.Driver {
	service := timer.New(timer.Config{Resolution: time.Millisecond})
	driver := scaler.NewDriver(scaler.DriverConfig{Holder: d.holder, Calls: d, CallsPerSecond: 6, Timer: service, Log: logger.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = service.Run(ctx) })
	group.Go(func() { _ = driver.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	limits := bounds(3, 9)
	limits.BootTime = identifier.Duration(500 * time.Millisecond)
	driver.Handle(scaler.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{}})
	driver.Handle(scaler.PoolsChanged{Pools: []codec.Pool{{Name: pool, Autoscale: &limits}}})
	return driver
}

// Failure test: guards against calls by a host that does not hold the lease, or lost it between the decision and the call, against
// calls before one boot time has passed, and against more calls than the part of the platform's limit that orders may use.
func TestCallsNeedTheLease(t *testing.T) {
	d := &duties{}
	runDriver(t, d)
	time.Sleep(1200 * time.Millisecond)
	require.Zero(t, d.count())
	d.mu.Lock()
	d.held = true
	acquired := time.Now()
	d.mu.Unlock()
	require.Eventually(t, func() bool { return d.count() >= 3 }, 6*time.Second, 20*time.Millisecond)
	d.mu.Lock()
	for i, at := range d.at {
		require.GreaterOrEqual(t, at.Sub(acquired), 500*time.Millisecond)
		require.EqualValues(t, 7, d.fence[i].Fencing)
		require.Equal(t, 3, d.calls[i].Engines)
		if i > 0 {
			require.GreaterOrEqual(t, at.Sub(d.at[i-1]), 400*time.Millisecond)
		}
	}
	d.held = false
	calls := len(d.calls)
	d.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)
	require.Equal(t, calls, d.count())
}

// Guards against a cost for deployments without autoscaling: nothing is remembered or passed on, and no call is made.
func TestPoolsWithoutBoundsAreLeftAlone(t *testing.T) {
	d := &duties{held: true}
	driver := scaler.NewDriver(scaler.DriverConfig{Holder: d.holder, Calls: d, Log: logger.Discard()})
	driver.Handle(scaler.PoolsChanged{Pools: []codec.Pool{{Name: pool}}})
	driver.Handle(scaler.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: {{ID: "e", Pool: pool}}}})
	driver.Handle(scaler.LoadReported{Engine: "e", Load: codec.LoadReport{Running: 5}})
	require.Empty(t, driver.Loads())
	limits := bounds(1, 2)
	driver.Handle(scaler.PoolsChanged{Pools: []codec.Pool{{Name: pool, Autoscale: &limits}}})
	driver.Handle(scaler.LoadReported{Engine: "e", Load: codec.LoadReport{Running: 5, Queued: 2}})
	loads := driver.Loads()
	require.Len(t, loads, 1)
	require.Equal(t, 7, loads[0].Requests)
}
