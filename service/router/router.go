package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/profiler"
)

// Defaults of Config and constants of the routing.
const (
	DefaultSubsetSize   = 64
	DefaultLoadFactor   = 1.25
	DefaultPrefixLength = identifier.Bytes(256)
	DefaultReportMaxAge = 40 * time.Second
	// fullAfterRefusal is the time for which an upstream counts as full after it refused an attempt, since its next
	// load report arrives later.
	fullAfterRefusal = 250 * time.Millisecond
	// avoidAfterFailure is the time for which an upstream is avoided after it failed; it covers the time until the
	// lister has removed the upstream from the pool.
	avoidAfterFailure           = time.Second
	zoneShareOfSubset   float64 = 0.5
	regionShareOfSubset float64 = 0.875
	// minPerSoftware is the least number of upstreams of each software version in a subset.
	minPerSoftware = 4
)

// Config configures a router; a zero limit, factor, length or age means its default.
type Config struct {
	Host   identifier.HostID
	Zone   identifier.Zone
	Region identifier.Region
	Policy PolicyName
	// SubsetSize is the maximum number of upstreams of a pool that this host uses.
	SubsetSize int
	// LoadFactor bounds the load of an upstream to this multiple of the mean load.
	LoadFactor float64
	// PrefixLength is the length of the prompt's prefix that determines the preferred upstream.
	PrefixLength identifier.Bytes
	// ReportMaxAge is the age after which a load report is ignored.
	ReportMaxAge time.Duration
	Random       *rand.Rand
}

// Router chooses upstreams; it is a state machine and not safe for concurrent use.
type Router struct {
	config Config
	policy policy
	cost   costPolicy
	// work is the mean expected work of the requests to each pool.
	work map[identifier.PoolName]float64

	pools map[identifier.PoolName][]*node
	nodes map[identifier.UpstreamID]*node
}

// New returns a router without upstreams; PoolChanged adds them.
func New(config Config) *Router {
	if config.SubsetSize <= 0 {
		config.SubsetSize = DefaultSubsetSize
	}
	if config.LoadFactor <= 0 {
		config.LoadFactor = DefaultLoadFactor
	}
	if config.PrefixLength <= 0 {
		config.PrefixLength = DefaultPrefixLength
	}
	if config.ReportMaxAge <= 0 {
		config.ReportMaxAge = DefaultReportMaxAge
	}
	return &Router{
		config: config,
		policy: newPolicy(config),
		cost:   costPolicy{profile: profiler.New(profiler.Config{AssumeMean: true})},
		pools:  make(map[identifier.PoolName][]*node),
		work:   make(map[identifier.PoolName]float64),
		nodes:  make(map[identifier.UpstreamID]*node),
	}
}

// Handle applies one event; only Route returns a command, and exactly one.
func (r *Router) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case PoolChanged:
		r.changePool(e)
	case LoadReported:
		if n, ok := r.nodes[e.Report.ID]; ok {
			n.applyReport(now, e.Report)
			n.viewed = false
			r.cost.profile.Handle(now, profiler.Stated{Upstream: e.Report.ID, Load: e.Report})
		}
	case VersionReported:
		if n, ok := r.nodes[e.Upstream]; ok {
			n.setServing(e.Model, e.Version)
		}
	case Route:
		return r.route(now, e)
	case AttemptRefused:
		if n, ok := r.nodes[e.Upstream]; ok {
			n.fullUntil = now.Add(fullAfterRefusal)
		}
	case UpstreamFailed:
		if n, ok := r.nodes[e.Upstream]; ok {
			n.avoidedUntil = now.Add(avoidAfterFailure)
		}
	case AttemptStarted:
		r.countAttempt(now, e.Upstream, 1, now, e.Work)
	case AttemptEnded:
		r.countAttempt(now, e.Upstream, -1, e.StartedAt, e.Work)
	case Worked:
		if n, ok := r.nodes[e.Upstream]; ok {
			n.viewed = false
		}
		r.cost.profile.Handle(now, profiler.Worked{Upstream: e.Upstream, Amount: e.Work, Took: e.Took, Rough: e.Rough})
	case Reserved:
		r.reserve(e.Upstream, true)
	case Released:
		r.reserve(e.Upstream, false)
	}
	return nil
}

func (r *Router) changePool(e PoolChanged) {
	chosen := r.subset(e.Upstreams)
	nodes := make([]*node, 0, len(chosen))
	for _, upstream := range chosen {
		n, ok := r.nodes[upstream.ID]
		if !ok {
			n = newNode(upstream)
			r.nodes[upstream.ID] = n
		}
		r.profileNode(n, upstream, e.Pool)
		n.upstream = upstream
		n.pool = e.Pool
		nodes = append(nodes, n)
	}
	former := r.pools[e.Pool]
	r.pools[e.Pool] = nodes
	for _, n := range former {
		if !slices.Contains(nodes, n) {
			n.pool = ""
			r.discardUnused(n)
		}
	}
}

// profileNode gives a node its snapshot; an upstream at another address is another process.
func (r *Router) profileNode(n *node, upstream connector.Upstream, pool identifier.PoolName) {
	if n.upstream.Address != upstream.Address {
		r.cost.profile.Handle(time.Time{}, profiler.Removed{Upstream: upstream.ID})
	}
	r.cost.profile.Handle(time.Time{}, profiler.Listed{Upstream: upstream.ID, Pool: pool})
	n.profile, _ = r.cost.profile.Lookup(upstream.ID)
	n.viewed = false
	n.distance = r.distance(upstream)
	n.preference = float64(score(xxhash.Sum64String(string(r.config.Host)), n.hash)) / math.MaxUint64
}

// discardUnused discards a node that is in no pool and has no attempt in flight.
func (r *Router) discardUnused(n *node) {
	if n.pool == "" && n.inFlight == 0 {
		delete(r.nodes, n.upstream.ID)
		r.cost.profile.Handle(time.Time{}, profiler.Removed{Upstream: n.upstream.ID})
	}
}

// subset returns the upstreams of a pool that this host uses. From a large pool it takes up to half of the subset from
// the host's own zone, up to seven eighths together with the rest of its region, and the remainder from other regions;
// free places are filled with the nearest others. The order is the rendezvous hash with the host, so that a change of
// the pool changes few members of the subset.
func (r *Router) subset(upstreams []connector.Upstream) []connector.Upstream {
	sorted := rankedForHost(upstreams, r.config.Host)
	if len(sorted) <= r.config.SubsetSize {
		return sorted
	}
	var tiers [3][]connector.Upstream
	for _, upstream := range sorted {
		d := r.distance(upstream)
		tiers[d] = append(tiers[d], upstream)
	}
	limits := [3]int{
		int(float64(r.config.SubsetSize) * zoneShareOfSubset),
		int(float64(r.config.SubsetSize) * regionShareOfSubset),
		r.config.SubsetSize,
	}
	var kept, rest []connector.Upstream
	for d, tier := range tiers {
		taken := min(max(limits[d]-len(kept), 0), len(tier))
		kept = append(kept, tier[:taken]...)
		rest = append(rest, tier[taken:]...)
	}
	free := min(r.config.SubsetSize-len(kept), len(rest))
	kept, rest = append(kept, rest[:free]...), rest[free:]
	return addRareSoftware(kept, rest)
}

// addRareSoftware adds upstreams so that each software version has minPerSoftware in the subset, or all that it has: a stream
// goes on only at the version that began it.
func addRareSoftware(kept, rest []connector.Upstream) []connector.Upstream {
	count := make(map[identifier.SoftwareVersion]int)
	for _, upstream := range kept {
		count[upstream.Software]++
	}
	for _, upstream := range rest {
		if count[upstream.Software] < minPerSoftware {
			count[upstream.Software]++
			kept = append(kept, upstream)
		}
	}
	return kept
}

// rankedForHost returns the upstreams in the order of the rendezvous hash for the host. It computes each score only
// once, because a pool may have thousands of upstreams.
func rankedForHost(upstreams []connector.Upstream, host identifier.HostID) []connector.Upstream {
	type scored struct {
		score uint64
		index int
	}
	key := xxhash.Sum64String(string(host))
	all := make([]scored, len(upstreams))
	for i, upstream := range upstreams {
		all[i] = scored{score(key, xxhash.Sum64String(string(upstream.ID))), i}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(upstreams[a.index].ID, upstreams[b.index].ID)
	})
	sorted := make([]connector.Upstream, len(all))
	for i, s := range all {
		sorted[i] = upstreams[s.index]
	}
	return sorted
}

func (r *Router) distance(upstream connector.Upstream) distance {
	switch {
	case upstream.Zone == r.config.Zone && upstream.Region == r.config.Region:
		return ownZone
	case upstream.Region == r.config.Region:
		return ownRegion
	default:
		return otherRegion
	}
}

func (r *Router) route(now time.Time, e Route) []Command {
	candidates, outdated := r.candidates(now, e)
	switch {
	case len(candidates) > 0:
	case outdated:
		return []Command{Outdated{}}
	default:
		return []Command{NoneAvailable{}}
	}
	if e.Idle {
		return []Command{Chosen{Upstream: leastInFlight(candidates, xxhash.Sum64String(e.IsolationKey)).upstream}}
	}
	var fallback Fallback
	if r.cost.profile.States(now, e.Pool) {
		choice := r.cost.choose(now, candidates, r, work{amount: e.Work, mean: r.meanWork(e.Pool, e.Work), bytes: e.Bytes})
		if choice.node != nil {
			return []Command{Chosen{Upstream: choice.node.upstream, ByCost: true, Expected: choice.expected}}
		}
		fallback = choice.fallback
	}
	prefix := e.Prompt[:min(len(e.Prompt), int(r.config.PrefixLength))]
	view := view{now: now, reportMaxAge: r.config.ReportMaxAge, key: xxhash.Sum64String(prefix)}
	for _, n := range candidates {
		d := r.distance(n.upstream)
		view.tiers[d] = append(view.tiers[d], n)
	}
	return []Command{Chosen{Upstream: r.policy.choose(view).upstream, Fallback: fallback}}
}

// candidates returns the upstreams that may run the attempt, and avoided ones only if there are no others. It excludes
// upstreams with outdated weights and reports whether there were any: an attempt there would be cancelled at its first
// chunk and only use up the retry budget.
func (r *Router) candidates(now time.Time, e Route) (candidates []*node, outdated bool) {
	var preferred, avoided []*node
	for _, n := range r.pools[e.Pool] {
		switch {
		case n.upstream.Leaving || n.reserved || slices.Contains(e.Excluded, n.upstream.ID):
		case e.Software != nil && n.upstream.Software != *e.Software:
		case n.servesOlder(e.Model, e.MinVersion):
			outdated = true
		case now.Before(n.avoidedUntil) || slices.Contains(e.Avoided, n.upstream.ID):
			avoided = append(avoided, n)
		default:
			preferred = append(preferred, n)
		}
	}
	if len(preferred) > 0 {
		return preferred, outdated
	}
	return avoided, outdated
}

func (r *Router) countAttempt(now time.Time, id identifier.UpstreamID, change int, startedAt time.Time, amount float64) {
	n, ok := r.nodes[id]
	if !ok {
		asserter.Check(asserter.InFlightNeverNegative, change > 0, "upstream %s: an attempt ended on an upstream that is not tracked", id)
		return
	}
	n.addInFlight(now, change)
	n.viewed = false
	n.addWork(float64(change) * cmp.Or(amount, usualWork))
	if change > 0 {
		r.cost.profile.Handle(now, profiler.Started{Upstream: id})
	} else {
		r.cost.profile.Handle(now, profiler.Ended{Upstream: id, StartedAt: startedAt})
	}
	asserter.Check(asserter.InFlightNeverNegative, n.inFlight >= 0, "upstream %s: %d attempts in flight", id, n.inFlight)
	r.discardUnused(n)
}

func (r *Router) reserve(id identifier.UpstreamID, reserved bool) {
	if n, ok := r.nodes[id]; ok {
		n.reserved = reserved
	}
}

// InFlight returns the number of this host's attempts on an upstream.
func (r *Router) InFlight(id identifier.UpstreamID) int {
	if n, ok := r.nodes[id]; ok {
		return n.inFlight
	}
	return 0
}

// State is the routing state of one upstream.
type State struct {
	Upstream connector.Upstream
	Pool     identifier.PoolName
	InFlight int
	Reserved bool
}

// States returns the states of all upstreams in the pools' subsets or with attempts in flight, ordered by id.
func (r *Router) States() []State {
	states := make([]State, 0, len(r.nodes))
	for _, n := range r.nodes {
		states = append(states, State{Upstream: n.upstream, Pool: n.pool, InFlight: n.inFlight, Reserved: n.reserved})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return states
}

// Occupancy returns the number of attempts that a pool can run at the same time and the number that run or are queued there.
// Zero slots mean that the size is unknown. Upstreams without a valid report count with the mean of the others.
func (r *Router) Occupancy(now time.Time, pool identifier.PoolName) (slots, load int) {
	var reported, members int
	for _, n := range r.pools[pool] {
		if n.upstream.Leaving {
			continue
		}
		members++
		if n.hasValidReport(now, r.config.ReportMaxAge) {
			reported++
			slots += n.slots
			load += n.inFlight + n.otherHostsLoad
		}
	}
	if reported == 0 {
		return 0, 0
	}
	return slots * members / reported, load * members / reported
}
