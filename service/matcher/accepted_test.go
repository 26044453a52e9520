package matcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/matcher"
)

func batchRoute(name identifier.EntryName, host, prefix string) codec.Entry {
	entry := route(name, host, prefix)
	entry.Batch = &codec.BatchSpec{}
	return entry
}

// Guards against a job that loses its route, or gets another one, because a later catalogue matches its path in another way.
func TestAcceptedRouteIsFollowed(t *testing.T) {
	accepted := matcher.Accepted{Entry: "r", Host: "a.example", PathPrefix: "/r/", Path: "/r/jobs/1", Revision: 4}
	unknownPrefix := accepted
	unknownPrefix.PathPrefix = ""
	own := batchRoute("r", "a.example", "/r/")
	for name, c := range map[string]struct {
		accepted matcher.Accepted
		revision identifier.Revision
		entries  []codec.Entry
		want     identifier.EntryName
		standing matcher.Standing
	}{
		"unchanged":                   {accepted, 4, []codec.Entry{own}, "r", matcher.StandingKept},
		"longer plain prefix":         {accepted, 5, []codec.Entry{own, route("x", "a.example", "/r/jobs/")}, "r", matcher.StandingKept},
		"longer batch prefix":         {accepted, 5, []codec.Entry{own, batchRoute("x", "a.example", "/r/jobs/")}, "r", matcher.StandingKept},
		"longer prefix, older record": {unknownPrefix, 5, []codec.Entry{own, batchRoute("x", "a.example", "/r/jobs/")}, "r", matcher.StandingKept},
		"renamed":                     {accepted, 5, []codec.Entry{batchRoute("y", "a.example", "/r/")}, "y", matcher.StandingKept},
		"renamed, name used again":    {accepted, 5, []codec.Entry{batchRoute("y", "a.example", "/r/"), batchRoute("r", "a.example", "/")}, "y", matcher.StandingKept},
		"shorter prefix":              {accepted, 5, []codec.Entry{batchRoute("r", "a.example", "/")}, "r", matcher.StandingKept},
		"other prefix":                {accepted, 5, []codec.Entry{batchRoute("r", "a.example", "/v2/")}, "r", matcher.StandingMoved},
		"other host":                  {accepted, 5, []codec.Entry{batchRoute("r", "b.example", "/r/")}, "r", matcher.StandingMoved},
		"other kind":                  {accepted, 5, []codec.Entry{route("r", "a.example", "/r/")}, "r", matcher.StandingKept},
		"plain route in its place":    {accepted, 5, []codec.Entry{route("y", "a.example", "/r/")}, "", matcher.StandingRemoved},
		"removed":                     {accepted, 5, []codec.Entry{batchRoute("x", "a.example", "/r/jobs/")}, "", matcher.StandingRemoved},
		"older catalogue with it":     {accepted, 3, []codec.Entry{own}, "r", matcher.StandingKept},
		"older catalogue":             {accepted, 3, []codec.Entry{batchRoute("x", "a.example", "/")}, "", matcher.StandingPending},
	} {
		entry, standing := matcher.New(&codec.Catalogue{Revision: c.revision, Entries: c.entries}).Follow(c.accepted)
		require.Equal(t, c.standing, standing, name)
		require.Equal(t, c.want, entry.Name, name)
	}
}
