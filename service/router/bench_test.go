package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/router"
)

// fleet returns as many engines as are planned for two years ahead: 3,000 in 8 zones of 2 regions.
func fleet() []connector.Upstream {
	list := make([]connector.Upstream, 3000)
	for i := range list {
		list[i] = connector.Upstream{
			ID: identifier.UpstreamID(fmt.Sprintf("engine-%d", i)), Zone: identifier.Zone(fmt.Sprint(i % 8)), Region: identifier.Region(fmt.Sprint(i % 2)),
		}
	}
	return list
}

func newFleetRouter() *router.Router {
	r := router.New(router.Config{Host: "host", Zone: "0", Region: "0", Random: rand.New(rand.NewPCG(1, 2))})
	r.Handle(time.Time{}, router.PoolChanged{Pool: "p", Upstreams: fleet()})
	return r
}

// Guards against a subset that lacks upstreams of the host's own zone or of other regions, or that exceeds its size.
func TestSubsetCoversZones(t *testing.T) {
	zones := make(map[identifier.Zone]int)
	states := newFleetRouter().States()
	for _, state := range states {
		zones[state.Upstream.Zone]++
	}
	if len(states) != 64 || zones["0"] != 32 || zones["1"]+zones["3"]+zones["5"]+zones["7"] != 8 {
		t.Errorf("%d upstreams, by zone %v", len(states), zones)
	}
}

func BenchmarkRoute(b *testing.B) {
	r := newFleetRouter()
	for i := range b.N {
		r.Handle(time.Time{}, router.Route{Pool: "p", Prompt: fmt.Sprint(i)})
	}
}

func BenchmarkPoolChanged(b *testing.B) {
	r, list := newFleetRouter(), fleet()
	for i := range b.N {
		list[i%len(list)].Leaving = !list[i%len(list)].Leaving
		r.Handle(time.Time{}, router.PoolChanged{Pool: "p", Upstreams: list})
	}
}
