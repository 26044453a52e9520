package matcher

import (
	"strings"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Accepted identifies the route that accepted work which outlives the catalogue of that moment.
type Accepted struct {
	// Entry, Host and PathPrefix are those of the route. PathPrefix is empty if it is not known.
	Entry      identifier.EntryName
	Host       string
	PathPrefix string
	// Path is that of the request with which the work was handed in.
	Path string
	// Revision is at least that of the catalogue with the route; zero means that it is not known.
	Revision identifier.Revision
}

// Standing is what a catalogue says about an accepted route.
type Standing string

// Standings of a route.
const (
	// StandingPending means that the catalogue is older than the work and lacks the route, which may have been added since.
	StandingPending Standing = "pending"
	StandingKept    Standing = "kept"
	// StandingMoved means that the route has another host or prefix, which no longer match the work. Its pools may be ones to which
	// the work was never allowed to go.
	StandingMoved   Standing = "moved"
	StandingRemoved Standing = "removed"
)

// Follow returns the entry of the route that accepted a batch job, and its standing. A route keeps its identity while a batch route
// with its host and prefix is left, or else one with its name; a longer prefix that is added later does not take the job over. The
// entry has no Batch if the route no longer accepts jobs.
func (m *Matcher) Follow(accepted Accepted) (codec.Entry, Standing) {
	candidates := m.entries(accepted.Host)
	if accepted.PathPrefix != "" {
		for _, entry := range candidates {
			if entry.Route.PathPrefix == accepted.PathPrefix && (entry.Batch != nil || entry.Name == accepted.Entry) {
				return entry, StandingKept
			}
		}
	}
	for _, entry := range candidates {
		if entry.Name == accepted.Entry && strings.HasPrefix(accepted.Path, entry.Route.PathPrefix) {
			return entry, StandingKept
		}
	}
	if m.revision < accepted.Revision {
		return codec.Entry{}, StandingPending
	}
	for _, entries := range m.hosts {
		for _, entry := range entries {
			if entry.Name == accepted.Entry && entry.Batch != nil {
				return entry, StandingMoved
			}
		}
	}
	return codec.Entry{}, StandingRemoved
}
