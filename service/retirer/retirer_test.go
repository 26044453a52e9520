package retirer_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/timer"
	"celerygap.example/service/retirer"
	"celerygap.example/service/storekeeper"
)

// start runs a retirer and a timer until the test ends.
func start(t *testing.T, store *storekeeper.Store, elected func() bool) {
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(-1)
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	timers := timer.New(timer.Config{})
	group.Go(func() { _ = timers.Run(ctx) })
	run := retirer.New(retirer.Config{Store: store, Prefix: "retirements/", Done: json.RawMessage(`"done"`), Elected: elected, Timer: timers})
	group.Go(func() { _ = run.Run(ctx) })
}

func request(t *testing.T, store *storekeeper.Store, host string) {
	_, err := store.Put(t.Context(), "retirements/"+host, 0, json.RawMessage(`{"duration_s":10}`))
	require.NoError(t, err)
}

func reported(store *storekeeper.Store, host string) bool {
	return string(store.Status("retirements/"+host)) == `"done"`
}

// Guards against an operator who waits in vain for the status of an empty host, also when the store is down at first, and
// against a second host that is forgotten after the first.
func TestEmptyHostsAreReported(t *testing.T) {
	store := storekeeper.New()
	request(t, store, "a")
	store.SetFaults(storekeeper.Faults{Down: true})
	start(t, store, func() bool { return true })
	time.Sleep(50 * time.Millisecond)
	store.SetFaults(storekeeper.Faults{})
	require.Eventually(t, func() bool { return reported(store, "a") }, 5*time.Second, 10*time.Millisecond)
	request(t, store, "b")
	require.Eventually(t, func() bool { return reported(store, "b") }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a fleet in which every host calls the store for the requests, and against requests that nobody answers after
// the elected host was lost.
func TestOnlyTheElectedHostReports(t *testing.T) {
	store := storekeeper.New()
	var elected atomic.Bool
	start(t, store, elected.Load)
	request(t, store, "a")
	time.Sleep(300 * time.Millisecond)
	require.Nil(t, store.Status("retirements/a"))
	elected.Store(true)
	require.Eventually(t, func() bool { return reported(store, "a") }, 5*time.Second, 10*time.Millisecond)
}
