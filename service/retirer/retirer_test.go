package retirer_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/service/retirer"
	"celerygap.example/service/storekeeper"
)

// Guards against an operator who waits in vain for the status of an empty host, also when the store is down at first.
func TestEmptyHostIsReported(t *testing.T) {
	store := storekeeper.New()
	_, err := store.Put(t.Context(), "retirements/a", 0, json.RawMessage(`{"duration_s":10}`))
	require.NoError(t, err)
	store.SetFaults(storekeeper.Faults{Down: true})
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(-1)
	run := retirer.New(retirer.Config{Host: "a", Store: store, Prefix: "retirements/", Done: json.RawMessage(`"done"`)})
	group.Go(func() { _ = run.Run(ctx) })
	time.Sleep(50 * time.Millisecond)
	store.SetFaults(storekeeper.Faults{})
	require.Eventually(t, func() bool { return string(store.Status("retirements/a")) == `"done"` }, 5*time.Second, 10*time.Millisecond)
	cancel()
	group.Wait()
}

// Guards against a host that reports another host as empty.
func TestOtherHostsAreLeftAlone(t *testing.T) {
	store := storekeeper.New()
	_, err := store.Put(t.Context(), "retirements/b", 0, json.RawMessage(`{}`))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	require.NoError(t, retirer.New(retirer.Config{Host: "a", Store: store, Prefix: "retirements/", Done: json.RawMessage(`"done"`)}).Run(ctx))
	require.Nil(t, store.Status("retirements/b"))
}
