package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// costRouter returns a router with upstreams that have stated their load and speed.
func costRouter(now time.Time, count int) *Router {
	r := New(Config{Host: "host", Zone: "z", Region: "r"})
	var upstreams []connector.Upstream
	for i := range count {
		upstreams = append(upstreams, connector.Upstream{ID: identifier.UpstreamID(fmt.Sprint("s", i)), Zone: "z", Region: "r"})
	}
	r.Handle(now, PoolChanged{Pool: "p", Upstreams: upstreams})
	for i, upstream := range upstreams {
		r.Handle(now, LoadReported{Report: codec.LoadReport{ID: upstream.ID, Running: i % 6, Slots: 6, Slowness: 1, ReportedAt: now}})
		r.Handle(now, Worked{Upstream: upstream.ID, Work: 1, Took: time.Second, Rough: true})
	}
	return r
}

func choose(r *Router, now time.Time) Chosen {
	return r.Handle(now, Route{Pool: "p", Work: 0.025})[0].(Chosen)
}

// Guards against a choice by cost without knowledge, or by statements that have ceased: the former policy chooses then, and the
// result says so.
func TestFallback(t *testing.T) {
	now := time.Unix(1000, 0)
	r := costRouter(now, 4)
	require.True(t, choose(r, now).ByCost)
	later := choose(r, now.Add(30*time.Second))
	require.False(t, later.ByCost)
	require.Equal(t, FallbackUnknown, later.Fallback)
	later = choose(r, now.Add(5*time.Minute))
	require.False(t, later.ByCost)
	require.Empty(t, later.Fallback, "a pool whose upstreams do not state their speed is none of the policy's")
}

// Guards against choices of an upstream that does not respond but states a short queue, and of none if this holds for all.
func TestFrozenUpstreamIsNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	r := costRouter(now, 2)
	first := choose(r, now).Upstream.ID
	r.Handle(now, AttemptStarted{Upstream: first, Work: 0.025})
	now = now.Add(time.Second)
	second := choose(r, now).Upstream.ID
	require.NotEqual(t, first, second)
	r.Handle(now, AttemptStarted{Upstream: second, Work: 0.025})
	now = now.Add(time.Second)
	require.Equal(t, FallbackSilent, choose(r, now).Fallback)
	r.Handle(now, AttemptEnded{Upstream: second, Work: 0.025})
	require.Equal(t, second, choose(r, now).Upstream.ID)
}

// Guards against hosts with the same knowledge that all choose the same upstream.
func TestHostsDoNotAllChooseTheSame(t *testing.T) {
	now := time.Unix(1000, 0)
	chosen := make(map[identifier.UpstreamID]int)
	for h := range 64 {
		r := New(Config{Host: identifier.HostID(fmt.Sprint("host", h)), Zone: "z", Region: "r"})
		var upstreams []connector.Upstream
		for i := range 8 {
			upstreams = append(upstreams, connector.Upstream{ID: identifier.UpstreamID(fmt.Sprint("s", i)), Zone: "z", Region: "r"})
		}
		r.Handle(now, PoolChanged{Pool: "p", Upstreams: upstreams})
		for _, upstream := range upstreams {
			r.Handle(now, LoadReported{Report: codec.LoadReport{ID: upstream.ID, Running: 2, Slots: 6, Slowness: 1, ReportedAt: now}})
		}
		chosen[choose(r, now).Upstream.ID]++
	}
	for id, count := range chosen {
		require.Less(t, count, 24, id)
	}
}

// Guards against a choice that takes long or allocates: requests of a host are routed one at a time.
func TestChoiceDoesNotAllocate(t *testing.T) {
	now := time.Unix(1000, 0)
	r := costRouter(now, 64)
	candidates := r.pools["p"]
	require.Zero(t, testing.AllocsPerRun(100, func() { r.cost.choose(now, candidates, r, work{amount: 0.025, mean: 0.025}) }))
}

func BenchmarkChoiceByCost(b *testing.B) {
	now := time.Now()
	r := costRouter(now, 64)
	candidates := r.pools["p"]
	b.ReportAllocs()
	for i := range b.N {
		// A request each millisecond, whose response is heard from one of the upstreams.
		now = now.Add(time.Millisecond)
		candidates[i%len(candidates)].viewed = false
		r.cost.choose(now, candidates, r, work{amount: 0.025, mean: 0.025})
	}
}
