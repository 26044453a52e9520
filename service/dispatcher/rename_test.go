package dispatcher_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
	"celerygap.example/service/dispatcher"
)

// pooledUpstreams has one upstream in each pool, with the name of the pool.
type pooledUpstreams struct{ fakeUpstreams }

func (*pooledUpstreams) Pool(pool identifier.PoolName) []connector.Upstream {
	return []connector.Upstream{{ID: identifier.UpstreamID(pool), Zone: "z", Region: "r"}}
}

// Guards against ROUTE: the body of a request arrives while the name of its route passes to another one, and the request runs there.
func TestRequestStaysWithTheRouteThatMatchedIt(t *testing.T) {
	matched := codec.RouteSpec{Host: "a.example", PathPrefix: "/p/", Idempotent: true}
	script := &scriptedClient{plain: []func(context.Context, connector.PlainCall) (connector.PlainResponse, error){succeed}}
	config := routeConfig(t, "h", script, matched)
	config.Upstreams = &pooledUpstreams{}
	catalogue := config.Catalogue.Current()
	routeTo := func(pool identifier.PoolName, prefix string) *codec.RouteSpec {
		return &codec.RouteSpec{Host: "A.example", PathPrefix: prefix, Idempotent: true, Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}}
	}
	catalogue.Pools = append(catalogue.Pools, codec.Pool{Name: "q", Kind: codec.PoolKindPlain})
	catalogue.Entries[0].Route = routeTo("q", "/q/")
	renamed := catalogue.Entries[0]
	renamed.Name, renamed.Route = "renamed", routeTo("p", "/p/")
	catalogue.Entries = append(catalogue.Entries, renamed)
	request := routeRequest
	request.Route = &matched
	_, err := dispatcher.New(config).Call(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, []identifier.UpstreamID{"p"}, script.attempts)

	catalogue.Entries = catalogue.Entries[:1]
	_, err = dispatcher.New(config).Call(t.Context(), request)
	refusal, ok := refuser.As(err)
	require.True(t, ok)
	require.Equal(t, refuser.UnknownEntry, refusal.Reason, "the route was removed")
	require.Equal(t, codec.OutcomeNotRun, refusal.Outcome)
	require.Len(t, script.attempts, 1)
}
