package permitter_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/service/connector"
	"celerygap.example/service/permitter"
	"celerygap.example/service/storekeeper"
)

var figures = flag.Bool("figures", false, "measure and print figures")

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// load acquires and completes permits at a rate (in permits/s), or as fast as the callers can if the rate is zero.
func load(t *testing.T, c *cluster, rate, callers int, duration time.Duration) (granted int64, worst time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var count, next, slowest atomic.Int64
	start := time.Now()
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				n := next.Add(1)
				if rate > 0 {
					time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
				}
				called := time.Now()
				key := fmt.Sprint(n)
				p := c.permits(i % len(c.members))
				reply := acquire(context.Background(), t, p, key, "body")
				if reply.Decision != codec.PermitDecisionGranted {
					continue
				}
				slowest.Store(max(slowest.Load(), int64(time.Since(called))))
				complete(context.Background(), t, p, key, reply.PermitID, &codec.StoredAnswer{Status: 200, Body: make([]byte, 200)})
				count.Add(1)
			}
		})
	}
	group.Wait()
	return count.Load(), time.Duration(slowest.Load())
}

// Measures the takeover of a shard whose segments hold 30 minutes of permits at 1,300 permits/s over 16 shards.
func TestTakeoverFigures(t *testing.T) {
	if !*figures {
		t.Skip("run with -figures")
	}
	const records = 2 * 1300 * 1800 / 16
	store := storekeeper.New()
	stored := 0
	for number := 1; number <= records/permitter.DefaultFullRecords; number++ {
		segment := codec.PermitSegment{Version: 1, BatchID: "b"}
		for i := range permitter.DefaultFullRecords {
			id := fmt.Sprintf("%08d-2e5c-4a7e-9c1b-%012d", number, i/2)
			record := codec.PermitRecord{
				Entry: "orders", Key: id, Fingerprint: "0123456789abcdef0123456789abcdef", PermitID: id, Host: "h0",
				GrantedAt: time.Now().UTC(), Completed: i%2 == 1,
			}
			if record.Completed {
				record.Answer = &codec.StoredAnswer{Status: 200, Body: make([]byte, 200)}
			}
			segment.Records = append(segment.Records, record)
		}
		value, err := json.Marshal(segment)
		require.NoError(t, err)
		stored += len(value)
		_, err = store.Put(t.Context(), fmt.Sprintf("permits/00/%012d", number), 0, value)
		require.NoError(t, err)
	}
	c := startCluster(t, permitter.Config{Shards: 1}, store)
	start := time.Now()
	refusals := 0
	for acquire(t.Context(), t, c.permits(0), "k", "body").Decision != codec.PermitDecisionGranted {
		refusals++
	}
	t.Logf("takeover of %d records (%d MB): first permit after %s, %d requests refused before", records, stored>>20,
		time.Since(start).Round(time.Millisecond), refusals)
}

// Measures the rates of permits and of store writes; it fails only if a completion is not recorded.
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("run with -figures")
	}
	const duration = 10 * time.Second
	cases := []struct {
		name                         string
		hosts, shards, rate, callers int
	}{
		{"one shard owner, unlimited", 1, 1, 0, 1000},
		{"8 hosts, 200 permits/s", 8, 16, 200, 200},
		{"8 hosts, 1300 permits/s", 8, 16, 1300, 600},
	}
	for _, c := range cases {
		store := storekeeper.New()
		store.SetFaults(storekeeper.Faults{Latency: 2 * time.Millisecond})
		stores := make([]connector.Store, c.hosts)
		for i := range stores {
			stores[i] = store
		}
		m := startCluster(t, permitter.Config{Shards: c.shards}, stores...)
		before, used := store.Counts(), cpuTime()
		granted, worst := load(t, m, c.rate, c.callers, duration)
		writes := store.Counts().Writes - before.Writes
		used = cpuTime() - used
		t.Logf("%s: %.0f permits/s (each completed), %.0f store writes/s, %.2f writes per permit, longest grant %s, %s processor time per permit",
			c.name, float64(granted)/duration.Seconds(), float64(writes)/duration.Seconds(), float64(writes)/float64(granted), worst.Round(time.Millisecond),
			(used / time.Duration(max(granted, 1))).Round(time.Microsecond))
	}
}
