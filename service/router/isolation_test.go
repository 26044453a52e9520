package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/router"
)

// Guards against hosts that isolate different suspects on the same idle upstream: the crash of one would prove the others, too.
// The same suspect goes to the same upstream from every host.
func TestIsolatedAttemptsSpread(t *testing.T) {
	var upstreams []connector.Upstream
	for i := range 8 {
		upstreams = append(upstreams, connector.Upstream{ID: identifier.UpstreamID(fmt.Sprint("u", i))})
	}
	choose := func(host identifier.HostID, key string) identifier.UpstreamID {
		r := router.New(router.Config{Host: host})
		r.Handle(time.Now(), router.PoolChanged{Pool: "p", Upstreams: upstreams})
		commands := r.Handle(time.Now(), router.Route{Pool: "p", Idle: true, IsolationKey: key})
		return commands[0].(router.Chosen).Upstream.ID
	}
	used := make(map[identifier.UpstreamID]int)
	for i := range 80 {
		key := fmt.Sprint("fingerprint", i)
		require.Equal(t, choose("a", key), choose("b", key))
		used[choose("a", key)]++
	}
	require.Len(t, used, 8)
}
