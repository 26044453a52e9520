package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// Defaults of Config.
const (
	DefaultSubset      = 64
	DefaultLoadFactor  = 1.25
	DefaultPrefix      = identifier.Bytes(256)
	DefaultReportValid = 40 * time.Second
	// fullAfterRefusal is how long an upstream counts as full after it refused; its next load report comes later.
	fullAfterRefusal = 250 * time.Millisecond
	// outAfterFailure covers the time until the lister has taken a dead upstream out of the pool.
	outAfterFailure             = time.Second
	zoneShareOfSubset   float64 = 0.5
	regionShareOfSubset float64 = 0.875
)

// Config configures a router; zero values mean the defaults.
type Config struct {
	Host   identifier.HostID
	Zone   identifier.Zone
	Region identifier.Region
	Policy PolicyName
	// Subset limits the upstreams of a pool that this host uses.
	Subset int
	// LoadFactor bounds the load of an upstream to this multiple of the mean.
	LoadFactor float64
	// Prefix is the part of the prompt that decides the preferred upstream.
	Prefix identifier.Bytes
	// ReportValid is the age at which a load report no longer counts.
	ReportValid time.Duration
	Random      *rand.Rand
}

// Router chooses upstreams; it is a state machine and not safe for concurrent use.
type Router struct {
	config Config
	policy policy
	pools  map[identifier.PoolName][]*node
	nodes  map[identifier.UpstreamID]*node
}

// New returns a router.
func New(config Config) *Router {
	if config.Subset <= 0 {
		config.Subset = DefaultSubset
	}
	if config.LoadFactor <= 0 {
		config.LoadFactor = DefaultLoadFactor
	}
	if config.Prefix <= 0 {
		config.Prefix = DefaultPrefix
	}
	if config.ReportValid <= 0 {
		config.ReportValid = DefaultReportValid
	}
	return &Router{
		config: config,
		policy: newPolicy(config),
		pools:  make(map[identifier.PoolName][]*node),
		nodes:  make(map[identifier.UpstreamID]*node),
	}
}

// Handle processes one event.
func (r *Router) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case PoolChanged:
		r.changePool(e)
	case LoadReported:
		if n, ok := r.nodes[e.Report.ID]; ok {
			n.report(now, e.Report)
		}
	case VersionReported:
		if n, ok := r.nodes[e.Upstream]; ok {
			n.serve(e.Model, e.Version)
		}
	case Route:
		return r.route(now, e)
	case Refused:
		if n, ok := r.nodes[e.Upstream]; ok {
			n.fullUntil = now.Add(fullAfterRefusal)
		}
	case Failed:
		if n, ok := r.nodes[e.Upstream]; ok {
			n.outUntil = now.Add(outAfterFailure)
		}
	case Started:
		r.count(now, e.Upstream, 1)
	case Ended:
		r.count(now, e.Upstream, -1)
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
		n.upstream = upstream
		n.pool = e.Pool
		nodes = append(nodes, n)
	}
	former := r.pools[e.Pool]
	r.pools[e.Pool] = nodes
	for _, n := range former {
		if !slices.Contains(nodes, n) {
			n.pool = ""
			r.forget(n)
		}
	}
}

// forget drops a node that is in no pool and has no attempt left.
func (r *Router) forget(n *node) {
	if n.pool == "" && n.inFlight == 0 {
		delete(r.nodes, n.upstream.ID)
	}
}

// subset keeps the host's own part of a large pool: half from its own zone, then its region, then elsewhere, each in
// the order of the rendezvous hash with the host, so that a change of the pool changes few members.
func (r *Router) subset(upstreams []connector.Upstream) []connector.Upstream {
	sorted := rankedForHost(upstreams, r.config.Host)
	if len(sorted) <= r.config.Subset {
		return sorted
	}
	var tiers [3][]connector.Upstream
	for _, upstream := range sorted {
		d := r.distance(upstream)
		tiers[d] = append(tiers[d], upstream)
	}
	limits := [3]int{
		int(float64(r.config.Subset) * zoneShareOfSubset),
		int(float64(r.config.Subset) * regionShareOfSubset),
		r.config.Subset,
	}
	var kept, rest []connector.Upstream
	for d, tier := range tiers {
		free := min(max(limits[d]-len(kept), 0), len(tier))
		kept = append(kept, tier[:free]...)
		rest = append(rest, tier[free:]...)
	}
	return append(kept, rest[:min(r.config.Subset-len(kept), len(rest))]...)
}

// rankedForHost computes each score once; a pool may have thousands of upstreams.
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
		return []Command{Chosen{leastInFlight(candidates).upstream}}
	}
	prefix := e.Prompt[:min(len(e.Prompt), int(r.config.Prefix))]
	view := view{now: now, valid: r.config.ReportValid, key: xxhash.Sum64String(prefix)}
	for _, n := range candidates {
		d := r.distance(n.upstream)
		view.tiers[d] = append(view.tiers[d], n)
	}
	return []Command{Chosen{r.policy.choose(view).upstream}}
}

// candidates returns the upstreams that may take the attempt, without the avoided ones if any other is left. An attempt
// on outdated weights is cancelled at its first chunk, so it would only use up the retry budget.
func (r *Router) candidates(now time.Time, e Route) (candidates []*node, outdated bool) {
	var preferred, avoided []*node
	for _, n := range r.pools[e.Pool] {
		switch {
		case n.upstream.Leaving || n.reserved || slices.Contains(e.Excluded, n.upstream.ID):
		case n.servesOlder(e.Model, e.MinVersion):
			outdated = true
		case now.Before(n.outUntil) || slices.Contains(e.Avoided, n.upstream.ID):
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

func (r *Router) count(now time.Time, id identifier.UpstreamID, change int) {
	n, ok := r.nodes[id]
	if !ok {
		asserter.Check(asserter.InFlightNeverNegative, change > 0, "upstream %s: an attempt ended on an unknown upstream", id)
		return
	}
	n.add(now, change)
	asserter.Check(asserter.InFlightNeverNegative, n.inFlight >= 0, "upstream %s: %d attempts in flight", id, n.inFlight)
	r.forget(n)
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

// State is what the router knows of one upstream.
type State struct {
	Upstream connector.Upstream
	Pool     identifier.PoolName
	InFlight int
	Reserved bool
}

// States returns the state of each known upstream in order of id.
func (r *Router) States() []State {
	states := make([]State, 0, len(r.nodes))
	for _, n := range r.nodes {
		states = append(states, State{Upstream: n.upstream, Pool: n.pool, InFlight: n.inFlight, Reserved: n.reserved})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return states
}

// Occupancy returns how many attempts a pool can run at once and how many run there; zero slots mean unknown. Upstreams
// without a valid report count as the mean of the others.
func (r *Router) Occupancy(now time.Time, pool identifier.PoolName) (slots, load int) {
	var reported, members int
	for _, n := range r.pools[pool] {
		if n.upstream.Leaving {
			continue
		}
		members++
		if n.reported(now, r.config.ReportValid) {
			reported++
			slots += n.slots
			load += n.inFlight + n.foreign
		}
	}
	if reported == 0 {
		return 0, 0
	}
	return slots * members / reported, load * members / reported
}
