package timer_test

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/timer"
)

// Guards against late ticks of a subscription that is made while Run sleeps until the later tick of another one.
func TestSubscriptionDuringLongSleepIsOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := timer.New(timer.Config{})
		ctx, cancel := context.WithCancel(t.Context())
		group := grouper.NewGroup(-1)
		group.Go(func() { _ = service.Run(ctx) })
		_, end := service.Subscribe(time.Minute)
		defer end()
		time.Sleep(time.Second)
		ticks, stop := service.Subscribe(100 * time.Millisecond)
		start := time.Now()
		for range 10 {
			<-ticks
		}
		require.InDelta(t, time.Second, time.Since(start), float64(60*time.Millisecond))
		stop()
		cancel()
		group.Wait()
	})
}

// Guards against calls that go on after the context ended, and against a backlog of calls after a slow one.
func TestEachCallsUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := timer.New(timer.Config{})
		ctx, cancel := context.WithCancel(t.Context())
		group := grouper.NewGroup(-1)
		group.Go(func() { _ = service.Run(ctx) })
		calls := 0
		group.Go(func() {
			service.Each(ctx, 100*time.Millisecond, func() {
				calls++
				if calls == 1 {
					time.Sleep(time.Second)
				}
			})
		})
		time.Sleep(1250 * time.Millisecond)
		cancel()
		group.Wait()
		require.GreaterOrEqual(t, calls, 2)
		require.LessOrEqual(t, calls, 4)
		after := calls
		time.Sleep(time.Second)
		require.Equal(t, after, calls)
	})
}

// BenchmarkIdleSecond measures the CPU time of one second of an idle host with a subscription of 200 ms.
func BenchmarkIdleSecond(b *testing.B) {
	service := timer.New(timer.Config{})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = service.Run(ctx) })
	ticks, stop := service.Subscribe(200 * time.Millisecond)
	defer stop()
	before := cpuTime(b)
	for range b.N {
		for range 5 {
			<-ticks
		}
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/s")
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
