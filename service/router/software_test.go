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

// Guards against a host of a large pool whose subset has no upstream of a rare software version, so that it could not continue
// the streams of that version.
func TestSubsetHasUpstreamsOfEachSoftwareVersion(t *testing.T) {
	var upstreams []connector.Upstream
	for i := range 400 {
		upstream := connector.Upstream{ID: identifier.UpstreamID(fmt.Sprint("u", i)), Zone: "z", Region: "r", Software: "v1"}
		if i%100 == 0 {
			upstream.Software = "v2"
		}
		upstreams = append(upstreams, upstream)
	}
	rare := identifier.SoftwareVersion("v2")
	for host := range 20 {
		r := router.New(router.Config{Host: identifier.HostID(fmt.Sprint("h", host)), Zone: "z", Region: "r"})
		r.Handle(time.Now(), router.PoolChanged{Pool: "p", Upstreams: upstreams})
		require.LessOrEqual(t, len(r.States()), router.DefaultSubsetSize+4)
		chosen := r.Handle(time.Now(), router.Route{Pool: "p", Software: &rare})[0].(router.Chosen)
		require.Equal(t, rare, chosen.Upstream.Software)
	}
}
