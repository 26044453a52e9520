package router_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/service/connector"
	"celerygap.example/service/router"
)

// Guards against attempts on engines that are known to serve weights too old for the request. Each would be cancelled
// at its first chunk and use up the retry budget; this once delayed a trainer by 11 s after a weight change.
func TestOutdatedEnginesGetNoAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	r := router.New(router.Config{Host: "host", Random: rand.New(rand.NewPCG(1, 2))})
	r.Handle(now, router.PoolChanged{Pool: "pool", Upstreams: []connector.Upstream{{ID: "a"}, {ID: "b"}}})
	r.Handle(now, router.VersionReported{Upstream: "a", Model: "m", Version: 1})
	r.Handle(now, router.LoadReported{Report: codec.LoadReport{
		ID: "b", Slots: 4, ReportedAt: now, Models: []codec.ModelState{{Model: "m", Serving: 1}},
	}})
	want := router.Route{Pool: "pool", Model: "m", MinVersion: 2}
	require.Equal(t, []router.Command{router.Outdated{}}, r.Handle(now, want))

	r.Handle(now, router.VersionReported{Upstream: "b", Model: "m", Version: 2})
	require.Equal(t, []router.Command{router.Chosen{Upstream: connector.Upstream{ID: "b"}}}, r.Handle(now, want))
}
