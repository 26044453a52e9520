package matcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/matcher"
)

func route(name identifier.EntryName, host, prefix string) codec.Entry {
	return codec.Entry{Name: name, Kind: codec.EntryKindRoute, Route: &codec.RouteSpec{Host: host, PathPrefix: prefix}}
}

// Guards against a request that is served by a route with a shorter matching prefix or by a route of another host.
func TestLongestPrefixOfTheHost(t *testing.T) {
	m := matcher.New(&codec.Catalogue{Revision: 4, Entries: []codec.Entry{
		route("short", "a.example", "/p/"), route("long", "a.example", "/p/q/"), route("other", "b.example", "/p/q/r/"),
		{Name: "service", Kind: codec.EntryKindService},
	}})
	for _, c := range []struct {
		host, path string
		want       identifier.EntryName
	}{
		{"a.example", "/p/x", "short"},
		{"A.example:8080", "/p/q/r/s", "long"},
		{"b.example", "/p/q/r/s", "other"},
		{"b.example", "/p/q", ""},
		{"c.example", "/p/q/", ""},
		{"a.example", "/p", ""},
	} {
		entry, found := m.Match(c.host, c.path)
		require.Equal(t, c.want != "", found, "%s%s", c.host, c.path)
		require.Equal(t, c.want, entry.Name, "%s%s", c.host, c.path)
	}
	require.EqualValues(t, 4, m.Revision())
}
