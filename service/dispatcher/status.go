package dispatcher

import (
	"cmp"
	"slices"

	"celerygap.example/lib/codec"
)

// Status holds the counts and upstream states of this host that the screens show.
type Status struct {
	// Requests counts the accepted requests since the start.
	Requests int64
	// InFlight counts the requests that are running or waiting.
	InFlight int
	// Waiting counts the requests in flight that wait for admission.
	Waiting   int
	Upstreams []codec.UpstreamStatus
	Refusals  []codec.CountByReason
	Retries   []codec.CountByReason
	// Demand counts the accepted requests of each entry since the start.
	Demand []codec.EntryDemand
	// RefusedChunks counts the refused chunks by their ChunkFault.
	RefusedChunks []codec.CountByReason
}

// Status returns the current state and counts.
func (d *Dispatcher) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := Status{
		Requests:      d.requests,
		InFlight:      d.running,
		Waiting:       d.limiter.Waiting(),
		Refusals:      countByReason(d.refusals),
		Retries:       countByReason(d.retries),
		RefusedChunks: countByReason(d.refusedChunks),
	}
	for entry, requests := range d.demand {
		status.Demand = append(status.Demand, codec.EntryDemand{Entry: entry, Requests: requests})
	}
	slices.SortFunc(status.Demand, func(a, b codec.EntryDemand) int { return cmp.Compare(a.Entry, b.Entry) })
	for _, state := range d.router.States() {
		status.Upstreams = append(status.Upstreams, codec.UpstreamStatus{
			ID: state.Upstream.ID, Pool: state.Pool, Zone: state.Upstream.Zone, InFlight: state.InFlight,
			State: upstreamState(state.Upstream.Leaving, state.Reserved),
		})
	}
	return status
}

func upstreamState(leaving, reserved bool) string {
	switch {
	case leaving:
		return "leaving"
	case reserved:
		return "isolated"
	default:
		return "live"
	}
}

func countByReason[K ~string](counts map[K]int64) []codec.CountByReason {
	list := make([]codec.CountByReason, 0, len(counts))
	for reason, count := range counts {
		list = append(list, codec.CountByReason{Reason: string(reason), Count: count})
	}
	slices.SortFunc(list, func(a, b codec.CountByReason) int { return cmp.Compare(a.Reason, b.Reason) })
	return list
}
