package matcher

import (
	"net"
	"sort"
	"strings"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Matcher finds routes by host and longest path prefix. It is immutable and safe for concurrent use.
type Matcher struct {
	revision identifier.Revision
	// hosts maps a lower-case host to its entries, sorted by decreasing length of the path prefix.
	hosts map[string][]codec.Entry
}

// New returns a Matcher for the routes of a catalogue; entries without a route are ignored.
func New(catalogue *codec.Catalogue) *Matcher {
	m := &Matcher{revision: catalogue.Revision, hosts: make(map[string][]codec.Entry)}
	for _, entry := range catalogue.Entries {
		if entry.Route != nil {
			host := strings.ToLower(entry.Route.Host)
			m.hosts[host] = append(m.hosts[host], entry)
		}
	}
	for _, entries := range m.hosts {
		sort.SliceStable(entries, func(i, j int) bool {
			return len(entries[i].Route.PathPrefix) > len(entries[j].Route.PathPrefix)
		})
	}
	return m
}

// Revision returns the revision of the catalogue from which the Matcher was built.
func (m *Matcher) Revision() identifier.Revision { return m.revision }

// Match returns the entry whose route serves a request, and whether there is one. The host is matched case-insensitively,
// and a port in it is ignored unless a route's host includes it.
func (m *Matcher) Match(host, path string) (codec.Entry, bool) {
	for _, entry := range m.entries(host) {
		if strings.HasPrefix(path, entry.Route.PathPrefix) {
			return entry, true
		}
	}
	return codec.Entry{}, false
}

func (m *Matcher) entries(host string) []codec.Entry {
	host = strings.ToLower(host)
	if entries, ok := m.hosts[host]; ok {
		return entries
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return m.hosts[name]
	}
	return nil
}
