package historian

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Retention is how long a version counts after its last upstream was listed: longer than any stream lasts.
const Retention = 10 * time.Minute

// Versions holds the software versions of the upstreams of each pool.
type Versions map[identifier.PoolName][]identifier.SoftwareVersion

// poolVersion is a software version in a pool.
type poolVersion struct {
	pool    identifier.PoolName
	version identifier.SoftwareVersion
}

// History is what one host has seen of the software versions of pools. It is not safe for concurrent use.
type History struct {
	// first is set if no host has run before this process.
	first bool
	// hasList is set once this process has a list. From since on it has seen each version that any host may have used.
	hasList bool
	since   time.Time
	// listed is the last list, and seen holds when each version was listed last.
	listed map[poolVersion]struct{}
	seen   map[poolVersion]time.Time
}

// NewHistory returns an empty History; first means that the whole system starts for the first time.
func NewHistory(first bool) *History {
	return &History{first: first, listed: make(map[poolVersion]struct{}), seen: make(map[poolVersion]time.Time)}
}

// Observe notes the versions of all listed upstreams.
func (h *History) Observe(now time.Time, versions Versions) {
	if !h.hasList {
		h.hasList, h.since = true, now
	}
	h.touch(now)
	clear(h.listed)
	for pool, list := range versions {
		for _, version := range list {
			h.listed[poolVersion{pool, version}] = struct{}{}
		}
	}
	h.touch(now)
}

// Interrupt notes that another host may have written the object until now, with versions that this process has not seen.
func (h *History) Interrupt(now time.Time) { h.since = now }

// touch notes that the last list held until now, and forgets versions that have been gone for Retention.
func (h *History) touch(now time.Time) {
	for listed := range h.listed {
		h.seen[listed] = now
	}
	for known, last := range h.seen {
		if now.Sub(last) >= Retention {
			delete(h.seen, known)
		}
	}
}

// Merge returns the object that the store should hold instead of stored, which is nil if there is none, and whether they differ. Without a
// list yet they don't.
func (h *History) Merge(now time.Time, stored *codec.SoftwareHistory) (next codec.SoftwareHistory, changed bool) {
	if !h.hasList {
		return codec.SoftwareHistory{}, false
	}
	h.touch(now)
	// What this process has not listed for so long no upstream had in that time.
	observedAll := now.Sub(h.since) >= Retention
	versions := make(map[poolVersion]struct{}, len(h.seen))
	for known := range h.seen {
		versions[known] = struct{}{}
	}
	next.Complete = observedAll || h.first && stored == nil || stored != nil && stored.Complete
	if stored != nil && !observedAll {
		for _, pool := range stored.Pools {
			for _, version := range pool.Versions {
				versions[poolVersion{pool.Pool, version}] = struct{}{}
			}
		}
	}
	next.Pools = encode(versions)
	return next, stored == nil || stored.Complete != next.Complete || !slices.EqualFunc(stored.Pools, next.Pools, func(x, y codec.PoolSoftware) bool {
		return x.Pool == y.Pool && slices.Equal(x.Versions, y.Versions)
	})
}

func encode(versions map[poolVersion]struct{}) []codec.PoolSoftware {
	byPool := make(Versions)
	for known := range versions {
		byPool[known.pool] = append(byPool[known.pool], known.version)
	}
	pools := make([]codec.PoolSoftware, 0, len(byPool))
	for pool, list := range byPool {
		slices.Sort(list)
		pools = append(pools, codec.PoolSoftware{Pool: pool, Versions: list})
	}
	slices.SortFunc(pools, func(x, y codec.PoolSoftware) int { return cmp.Compare(x.Pool, y.Pool) })
	return pools
}

// Only returns the only version that a pool had for as long as a stream may have run; ok is false unless stored and what this host
// has seen itself show that there was no other.
func (h *History) Only(now time.Time, stored codec.SoftwareHistory, pool identifier.PoolName) (version identifier.SoftwareVersion, ok bool) {
	if !stored.Complete || !h.hasList {
		return "", false
	}
	h.touch(now)
	index := slices.IndexFunc(stored.Pools, func(p codec.PoolSoftware) bool { return p.Pool == pool })
	if index < 0 || len(stored.Pools[index].Versions) != 1 {
		return "", false
	}
	version = stored.Pools[index].Versions[0]
	for known := range h.seen {
		if known.pool == pool && known.version != version {
			return "", false
		}
	}
	return version, true
}
