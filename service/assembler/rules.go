package assembler

import (
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/authorizer"
	"celerygap.example/service/matcher"
)

// rules holds the routes and the customers of one revision of the catalogue.
type rules struct {
	revision identifier.Revision
	routes   *matcher.Matcher
	keys     *authorizer.Authorizer
}

// routes returns the routes of the catalogue in effect, or nil while there is none.
func (h *Host) routes() *matcher.Matcher {
	if r := h.currentRules(); r != nil {
		return r.routes
	}
	return nil
}

// matchWithKeys finds the entry of a request in the catalogue in effect, and returns the customers of the same revision; keys is nil
// while there is no catalogue.
func (h *Host) matchWithKeys(host, path string) (entry codec.Entry, found bool, keys *authorizer.Authorizer) {
	r := h.currentRules()
	if r == nil {
		return codec.Entry{}, false, nil
	}
	entry, found = r.routes.Match(host, path)
	return entry, found, r.keys
}

// currentRules returns the rules of the catalogue in effect, or nil without one. The first request after a change of the catalogue
// builds them; concurrent requests may each do so, and the rules of a newer revision stay.
func (h *Host) currentRules() *rules {
	catalogue := h.catalogue.Current()
	if catalogue.Revision == 0 {
		return nil
	}
	current := h.rules.Load()
	if current != nil && current.revision >= catalogue.Revision {
		return current
	}
	settings := h.config.Settings
	next := &rules{
		revision: catalogue.Revision, routes: matcher.New(catalogue),
		keys: authorizer.New(catalogue, authorizer.Config{
			Secret: h.keySecret, SureWithin: sureWithin(settings), Strict: settings.StrictRevocation, RevokeWithin: settings.RevokeWithin,
		}),
	}
	for !h.rules.CompareAndSwap(current, next) {
		if current = h.rules.Load(); current.revision >= next.revision {
			return current
		}
	}
	return next
}

// sureWithin returns the age of a confirmation up to which an unknown key is refused for good: at most the time in which a new key
// must be in force everywhere.
func sureWithin(settings Settings) time.Duration {
	if settings.ConfigurationWithin > 0 {
		return min(settings.ConfigurationWithin, authorizer.DefaultSureWithin)
	}
	return authorizer.DefaultSureWithin
}

// keysRequired reports whether the catalogue in effect requires keys.
func (h *Host) keysRequired() bool { return h.catalogue.Current().KeysRequired }
