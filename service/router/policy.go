package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// PolicyName selects a routing policy.
type PolicyName string

// The policies; an empty name means PolicyPrefix.
const (
	// PolicyPrefix is rendezvous hashing on the prompt's prefix with bounded loads.
	PolicyPrefix PolicyName = "prefix"
	// PolicyRoundRobin uses the upstreams in turn; it is a baseline for measurements.
	PolicyRoundRobin PolicyName = "round_robin"
	// PolicyTwoChoices uses the less loaded of two random upstreams, of the host's region unless all of those are full; it
	// is a baseline for measurements.
	PolicyTwoChoices PolicyName = "two_choices"
	// PolicyLeastInFlight uses the upstream with the fewest attempts of this host; it is a baseline for measurements.
	PolicyLeastInFlight PolicyName = "least_in_flight"
)

// policy chooses one of the candidates of a view, which contains at least one.
type policy interface {
	choose(v view) *node
	sealed()
}

// view is the input of a policy: the candidates grouped by distance, and the routing key.
type view struct {
	now          time.Time
	reportMaxAge time.Duration
	key          uint64
	tiers        [3][]*node
}

func (v view) local() []*node { return slices.Concat(v.tiers[ownZone], v.tiers[ownRegion]) }

func (v view) all() []*node { return slices.Concat(v.tiers[:]...) }

func newPolicy(config Config) policy {
	switch config.Policy {
	case PolicyRoundRobin:
		return &roundRobin{}
	case PolicyTwoChoices:
		return &twoChoices{random: config.Random}
	case PolicyLeastInFlight:
		return &leastInFlightPolicy{}
	default:
		return &boundedPrefix{factor: config.LoadFactor}
	}
}

type boundedPrefix struct{ factor float64 }

func (*boundedPrefix) sealed() {}

// choose tries the host's own zone, its region and the other regions, each in the order of the rendezvous hash. The
// load bound of local upstreams is computed from the mean over the region, so that the excess load of one zone goes to
// the other zones of the region.
func (p *boundedPrefix) choose(v view) *node {
	local, remote := v.local(), v.tiers[otherRegion]
	bound := p.bound(v, local)
	for _, tier := range [][]*node{v.tiers[ownZone], v.tiers[ownRegion]} {
		if n := firstBelow(v, tier, bound); n != nil {
			return n
		}
	}
	if n := leastLoadedNotFull(v, local); n != nil {
		return n
	}
	if n := firstBelow(v, remote, p.bound(v, remote)); n != nil {
		return n
	}
	if n := leastLoadedNotFull(v, remote); n != nil {
		return n
	}
	return p.chooseFull(v, local, remote)
}

// chooseFull chooses when every upstream is full. It keeps to the order of the rendezvous hash, because load reports
// lag: the upstream that they show as least loaded is the same for all hosts, which would all send their requests there
// until the next report.
func (p *boundedPrefix) chooseFull(v view, local, remote []*node) *node {
	nodes := local
	if len(nodes) == 0 {
		nodes = remote
	}
	bound := p.bound(v, nodes)
	for _, n := range ranked(nodes, v.key) {
		if n.load(v) < bound {
			return n
		}
	}
	return leastLoaded(v, nodes)
}

func (p *boundedPrefix) bound(v view, nodes []*node) int {
	if len(nodes) == 0 {
		return 0
	}
	total := 1
	for _, n := range nodes {
		total += n.load(v)
	}
	return int(math.Ceil(p.factor * float64(total) / float64(len(nodes))))
}

func firstBelow(v view, nodes []*node, bound int) *node {
	for _, n := range ranked(nodes, v.key) {
		if n.load(v) < bound && !n.isFull(v) {
			return n
		}
	}
	return nil
}

func leastLoadedNotFull(v view, nodes []*node) *node {
	free := slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.isFull(v) })
	if len(free) == 0 {
		return nil
	}
	return leastLoaded(v, free)
}

func leastLoaded(v view, nodes []*node) *node {
	return slices.MinFunc(nodes, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.load(v), b.load(v)), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
}

type roundRobin struct{ next int }

func (*roundRobin) sealed() {}

func (p *roundRobin) choose(v view) *node {
	nodes := v.all()
	p.next++
	return nodes[p.next%len(nodes)]
}

type twoChoices struct{ random *rand.Rand }

func (*twoChoices) sealed() {}

func (p *twoChoices) choose(v view) *node {
	nodes := v.local()
	if leastLoadedNotFull(v, nodes) == nil {
		nodes = v.all()
	}
	first := nodes[p.random.IntN(len(nodes))]
	second := nodes[p.random.IntN(len(nodes))]
	return leastLoaded(v, []*node{first, second})
}
