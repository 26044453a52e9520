package router

import (
	"math"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/profiler"
)

const (
	// connectTime is the cost of a new connection: about 1 ms until it is open, and its price.
	connectTime = 4 * time.Millisecond
	// idleConnection is how long a connection that is not used remains open; the client closes it after 30 s.
	idleConnection = 25 * time.Second
	// regionTime and remoteTime are the costs of an upstream in another availability zone of the region and in another region, and
	// zoneBytesPerSecond and remoteBytesPerSecond the bytes whose transfer there costs as much as a second of waiting.
	regionTime           = time.Millisecond
	remoteTime           = 40 * time.Millisecond
	zoneBytesPerSecond   = 100 << 20
	remoteBytesPerSecond = 20 << 20
	// preferenceShare is the share of the expected work that a host's own order of the upstreams weighs. Hosts that choose at the
	// same moment with the same knowledge then choose different upstreams.
	preferenceShare = 0.15
	// maxUtilization is the largest utilization for which the wait is computed as that of a steady load. waitSteps is the number of
	// utilizations for which it is, because the computation takes longer than the rest of a choice.
	maxUtilization = 0.97
	waitSteps      = 128
	// minSilence and silentRatio define an upstream that does not respond to attempts: for that long, and that many times the
	// expected time of the work.
	minSilence  = 300 * time.Millisecond
	silentRatio = 12
	// meanWorkWeight is the weight of the newest request in the mean work of a pool.
	meanWorkWeight = 0.02
	// snapshotMaxAge is how long the snapshot of an upstream of which nothing was heard is used again. A snapshot takes longer than
	// the rest of a choice, and nothing in it changes faster than in 300 ms.
	snapshotMaxAge = 10 * time.Millisecond
	// usualWork is the expected work of a request of which nothing is known.
	usualWork = 0.025
)

// Fallback is why the former policy chose instead of the policy by cost, as it appears in logs.
type Fallback string

// The reasons of a fallback; an empty one means that there was none.
const (
	// FallbackUnknown means that no upstream has stated its load or done work for this host lately.
	FallbackUnknown Fallback = "no_knowledge"
	// FallbackFalse means that the statements of most upstreams contradict what this host observes.
	FallbackFalse Fallback = "false_statements"
	// FallbackSilent means that no upstream responds to its attempts.
	FallbackSilent Fallback = "silent"
)

// costPolicy chooses the upstream with the shortest expected time to the response. It chooses for pools whose upstreams state
// their speed; baseline chooses for the others and where too little is known.
type costPolicy struct {
	profile *profiler.Profiler
}

// costChoice is the result of a choice by cost.
type costChoice struct {
	node     *node
	expected time.Duration
	fallback Fallback
}

// work is what a choice by cost knows of a request.
type work struct {
	// amount is the expected work, in seconds or events at the usual speed.
	amount float64
	// mean is the mean work of the pool's requests.
	mean  float64
	bytes identifier.Bytes
}

// choose returns the best of the candidates, which are at least one, or the reason why the former policy must choose.
func (*costPolicy) choose(now time.Time, candidates []*node, self *Router, w work) costChoice {
	if w.mean <= 0 {
		w.mean = usualWork
	}
	if w.amount <= 0 {
		w.amount = w.mean
	}
	var best *node
	var bestCost, bestExpected float64
	known, contradicted := 0, 0
	for _, n := range candidates {
		snapshot := n.view(now)
		if snapshot.Stated || snapshot.LongRun > 0 && snapshot.Own > 0 {
			known++
		}
		if snapshot.FalseStatements {
			contradicted++
		}
		expected, run := n.expectedTime(snapshot, w.amount, w.mean)
		if snapshot.SilentFor > minSilence && snapshot.SilentFor.Seconds() > silentRatio*run {
			continue
		}
		if !n.fullUntil.IsZero() && now.Before(n.fullUntil) {
			// It has refused an attempt; its next statement will show the load.
			expected += fullAfterRefusal.Seconds()
		}
		cost := expected + preferenceShare*run*n.preference + self.transferCost(now, n, w.bytes)
		if best == nil || cost < bestCost {
			best, bestCost, bestExpected = n, cost, expected
		}
	}
	switch {
	case best == nil:
		return costChoice{fallback: FallbackSilent}
	case known == 0:
		return costChoice{fallback: FallbackUnknown}
	case 2*contradicted > len(candidates):
		return costChoice{fallback: FallbackFalse}
	default:
		return costChoice{node: best, expected: time.Duration(bestExpected * float64(time.Second))}
	}
}

// view returns the snapshot of the upstream.
func (n *node) view(now time.Time) *profiler.Snapshot {
	if !n.viewed || now.Sub(n.viewedAt) > snapshotMaxAge {
		n.profile.ViewInto(now, &n.snapshot)
		n.viewedAt, n.viewed = now, true
	}
	return &n.snapshot
}

// expectedTime returns the expected seconds until the response, and those of the work alone. The wait is that of Sakasegawa's
// approximation for a server of several slots, with the expected load as its utilization. Own attempts count in it at their
// expected work, those of others at the mean work.
func (n *node) expectedTime(snapshot *profiler.Snapshot, amount, mean float64) (expected, run float64) {
	run = amount
	speed := 1.0
	if snapshot.LongRun > 0 {
		run = snapshot.Expected(amount).Seconds()
		speed = run / amount
	}
	slots := float64(max(snapshot.Slots, 1))
	load := n.ownWork/mean + snapshot.Others
	utilization := min(load/slots, maxUtilization)
	wait := n.waitsFor(slots)[int(utilization*waitSteps)]
	if excess := load + 1 - slots; excess > 0 {
		wait = max(wait, excess/slots)
	}
	return run + wait*mean*speed, run
}

// waitsFor returns the waits at a server of so many slots, in relation to the mean work, by the utilization in waitSteps steps.
func (n *node) waitsFor(slots float64) *[waitSteps]float64 {
	if n.waitSlots == slots {
		return n.waits
	}
	exponent := math.Sqrt(2*(slots+1)) - 1
	n.waitSlots, n.waits = slots, new([waitSteps]float64)
	for i := range n.waits {
		utilization := (float64(i) + 0.5) / waitSteps
		n.waits[i] = math.Pow(utilization, exponent) / (slots * (1 - utilization))
	}
	return n.waits
}

// transferCost returns the cost in seconds of the way to an upstream and of a new connection.
func (r *Router) transferCost(now time.Time, n *node, bytes identifier.Bytes) float64 {
	cost := 0.0
	if n.inFlight >= n.opened || now.Sub(n.usedAt) > idleConnection {
		cost = connectTime.Seconds()
	}
	switch n.distance {
	case ownZone:
	case ownRegion:
		cost += regionTime.Seconds() + float64(bytes)/zoneBytesPerSecond
	case otherRegion:
		cost += remoteTime.Seconds() + float64(bytes)/remoteBytesPerSecond
	}
	return cost
}

// addWork counts the expected work of the own attempts.
func (n *node) addWork(change float64) {
	n.ownWork = max(0, n.ownWork+change)
	if n.inFlight == 0 {
		n.ownWork = 0
	}
}

// countConnections keeps the number of connections to the upstream that are open: as many as there were attempts at once.
func (n *node) countConnections(now time.Time) {
	if now.Sub(n.usedAt) > idleConnection {
		n.opened = n.inFlight
	}
	n.opened = max(n.opened, n.inFlight)
	n.usedAt = now
}

// meanWork returns the moving average of the expected work of the requests to a pool, with that of a new one.
func (r *Router) meanWork(pool identifier.PoolName, amount float64) float64 {
	mean, ok := r.work[pool]
	switch {
	case amount <= 0:
		return mean
	case !ok:
		mean = amount
	default:
		mean += meanWorkWeight * (amount - mean)
	}
	r.work[pool] = mean
	return mean
}

// leastInFlightPolicy uses the upstream with the fewest attempts of this host; it is a baseline for measurements.
type leastInFlightPolicy struct{}

func (*leastInFlightPolicy) sealed() {}

func (*leastInFlightPolicy) choose(v view) *node { return leastInFlight(v.all(), v.key) }

// Speed returns how long work takes on an upstream in the long run in relation to a typical one of its pool, or 1 if that is not
// known.
func (r *Router) Speed(now time.Time, id identifier.UpstreamID) float64 {
	n, ok := r.nodes[id]
	if !ok {
		return 1
	}
	snapshot := n.profile.View(now)
	return snapshot.Relative()
}

// ChoosesByCost reports whether upstreams of a pool state their speed, so that they are chosen by cost.
func (r *Router) ChoosesByCost(now time.Time, pool identifier.PoolName) bool {
	return r.cost.profile.States(now, pool)
}
