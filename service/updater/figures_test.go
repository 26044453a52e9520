package updater_test

import (
	"flag"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/storekeeper"
	"celerygap.example/service/updater"
)

var figures = flag.Bool("figures", false, "measure and print figures")

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Measures the time from an announcement until all engines serve the version.
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("run with -figures")
	}
	cases := []struct{ engines, hosts, shards int }{{9, 8, 4}, {300, 8, 4}, {3000, 8, 4}, {3000, 64, 64}}
	for _, c := range cases {
		f := newFakeEngines(c.engines, time.Second)
		store := storekeeper.New()
		stores := make([]connector.Store, c.hosts)
		for i := range stores {
			stores[i] = store
		}
		m := startCluster(t, f, updater.Config{Shards: c.shards}, stores...)
		time.Sleep(3 * time.Second)
		for _, version := range []identifier.WeightVersion{2, 3} {
			orders, loads, used, start := f.counts(0), f.counts(1), cpuTime(), time.Now()
			require.NoError(t, m.updater(0).Announce(t.Context(), "t", version))
			for f.serving(version) < c.engines && time.Since(start) < time.Minute {
				time.Sleep(20 * time.Millisecond)
			}
			took := time.Since(start)
			sent := f.counts(0) - orders
			t.Logf("%d engines, %d shards, %d hosts, load time 1 s, version %d: all serve after %s, %d orders, %d loads from the weight store, at most %d children, %s processor time per order",
				c.engines, c.shards, c.hosts, version, took.Round(10*time.Millisecond), sent, f.counts(1)-loads, f.maxChildren,
				((cpuTime() - used) / time.Duration(max(sent, 1))).Round(time.Microsecond))
		}
	}
}

// counts returns the number of orders so far if which is 0, and that of loads from the weight store if it is 1.
func (f *fakeEngines) counts(which int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []int{f.orders, f.storeLoads}[which]
}
