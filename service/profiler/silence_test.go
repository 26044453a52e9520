package profiler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/service/profiler"
)

// Guards against a host that takes all upstreams for full for good: its attempts would bring new statements, and it makes none
// because the last ones said that others fill the upstreams.
func TestLoadOfOthersIsForgottenWithoutStatements(t *testing.T) {
	p := profiler.New(profiler.Config{})
	now := time.Unix(1000, 0)
	p.Handle(now, profiler.Listed{Upstream: "a", Pool: "s", Slots: 6})
	p.Handle(now, profiler.Stated{Upstream: "a", Load: codec.LoadReport{Running: 6, Queued: 6, Slots: 6, Slowness: 1}})
	full, ok := p.View(now, "a")
	require.True(t, ok)
	require.InDelta(t, 12, full.Others, 0.1)
	later, _ := p.View(now.Add(12*time.Second), "a")
	require.Less(t, later.Others, 1.0)
}
