package batcher

import (
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/matcher"
)

// routeEndDelay is how long the route of a job must be missing before the job's items are given up. Operators correct a
// configuration within that time, and a result is final once it is listed.
const routeEndDelay = 2 * time.Second

// jobRoute is the route of a job in a catalogue.
type jobRoute struct {
	entry    identifier.EntryName
	prefix   string
	standing matcher.Standing
}

// standingReplaced means that the job's route was removed and that another one serves the job and all of its items.
const standingReplaced matcher.Standing = "replaced"

// routes returns the entry in effect for each job that this host owns; d.mu must be held.
func (d *Driver) routes() RoutesChanged {
	event := RoutesChanged{
		Entries:    make(map[identifier.BatchID]codec.Entry, len(d.owned)),
		Pending:    make(map[identifier.BatchID]struct{}),
		Moved:      make(map[identifier.BatchID]struct{}),
		Priorities: make(map[identifier.CustomerName]*int),
	}
	for _, customer := range d.config.Catalogue.Current().Customers {
		event.Priorities[customer.Name] = customer.Priority
	}
	routes := d.config.Routes()
	for id, h := range d.owned {
		entry, standing := d.followRoute(routes, h)
		switch standing {
		case matcher.StandingPending:
			event.Pending[id] = struct{}{}
		case matcher.StandingRemoved:
		case matcher.StandingMoved:
			event.Moved[id] = struct{}{}
			fallthrough
		default:
			event.Entries[id] = entry
		}
		d.logRoute(h, entry, standing)
	}
	return event
}

// followRoute returns the entry under which the items of a job run. Work that was accepted stays with the route that accepted it, even
// where a longer prefix matches the job's path now. If that route is gone, another batch route serves the job if it matches the paths
// of the submission and of all unfinished items, because no catalogue allows them to go anywhere else.
func (d *Driver) followRoute(routes *matcher.Matcher, h *ownedJob) (codec.Entry, matcher.Standing) {
	if routes == nil {
		return codec.Entry{}, matcher.StandingPending
	}
	entry, standing := routes.Follow(matcher.Accepted{
		Entry: h.job.Entry, Host: h.job.Host, PathPrefix: h.job.PathPrefix, Path: h.job.Path, Revision: h.job.Revision,
	})
	if standing != matcher.StandingRemoved {
		return entry, standing
	}
	if h.job.Revision == 0 && h.route.entry == "" {
		// A build without the revision accepted the job, perhaps with a newer catalogue.
		standing = matcher.StandingPending
	}
	entry, ok := routes.Match(h.job.Host, h.job.Path)
	if !ok || entry.Batch == nil {
		return codec.Entry{}, standing
	}
	elsewhere := func(path string) bool {
		other, ok := routes.Match(h.job.Host, path)
		return !ok || other.Name != entry.Name
	}
	if slices.ContainsFunc(d.machine.unfinishedPaths(h.head.ID), elsewhere) {
		return codec.Entry{}, standing
	}
	return entry, standingReplaced
}

// logRoute logs the route of a job when it changes.
func (d *Driver) logRoute(h *ownedJob, entry codec.Entry, standing matcher.Standing) {
	route := jobRoute{entry: entry.Name, standing: standing}
	if entry.Route != nil {
		route.prefix = entry.Route.PathPrefix
	}
	if route == h.route {
		return
	}
	h.route = route
	d.config.Log.Info(logger.JobRouteChanged).Str("request", string(h.head.ID)).Str("entry", string(route.entry)).Str("path_prefix", route.prefix).
		Str("standing", string(standing)).Str("accepted_by", string(h.job.Entry)).Int64("revision", int64(d.config.Catalogue.Current().Revision)).Send()
}

// changeRoutes applies the entries in effect.
func (b *Batcher) changeRoutes(now time.Time, event RoutesChanged) {
	for id, j := range b.jobs {
		entry, ok := event.Entries[id]
		if _, pending := event.Pending[id]; pending {
			continue
		}
		if !ok {
			if j.routeRemovedAt.IsZero() {
				j.routeRemovedAt = now
			}
			continue
		}
		_, moved := event.Moved[id]
		j.applyEntry(entry, moved)
		j.customerPriority = event.Priorities[j.job.Customer]
		for _, it := range j.items {
			if it.state == itemWaiting && !it.allowedIn(j) {
				it.clear()
			}
		}
	}
}

// applyEntry sets the entry under which the items run. A route for plain requests has no terms for batch jobs, so those of the former
// entry stay; so do its pools if the route was moved, since the new ones may never have been allowed for the items.
func (j *job) applyEntry(entry codec.Entry, moved bool) {
	if entry.Batch == nil {
		entry.Batch = j.entry.Batch
	}
	if moved && j.routed {
		route := *entry.Route
		route.Pools = j.entry.Route.Pools
		entry.Route = &route
	}
	j.entry = entry
	j.routed = true
	j.routeRemovedAt = time.Time{}
}

// routeEnded reports whether the route of the job has been missing long enough to be given up.
func (j *job) routeEnded(now time.Time) bool {
	return !j.routeRemovedAt.IsZero() && now.Sub(j.routeRemovedAt) >= routeEndDelay
}

// unfinishedPaths returns the paths of the items of a job that have no final result.
func (b *Batcher) unfinishedPaths(id identifier.BatchID) []string {
	j, ok := b.jobs[id]
	if !ok {
		return nil
	}
	var paths []string
	for _, it := range j.items {
		if it.state != itemFinished {
			paths = append(paths, it.spec.Path)
		}
	}
	return paths
}
