package router

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/profiler"
)

// maxHistory bounds the stored changes of an in-flight count.
const maxHistory = 64

// distance is the network distance of an upstream from the host, in three steps.
type distance int

const (
	ownZone distance = iota
	ownRegion
	otherRegion
)

type countChange struct {
	at       time.Time
	inFlight int
}

// node is an upstream in the rendezvous hash, with its load.
type node struct {
	upstream connector.Upstream
	pool     identifier.PoolName
	hash     uint64
	inFlight int
	reserved bool
	// history holds the last changes of inFlight, since a load report must be compared with the count at its own time.
	history        []countChange
	slots          int
	otherHostsLoad int
	reportedAt     time.Time
	// receivedAt is when the last report arrived, by this host's clock. The age of a report is measured from it and not
	// from reportedAt, which an engine takes from its own clock.
	receivedAt   time.Time
	fullUntil    time.Time
	avoidedUntil time.Time
	serving      map[identifier.ModelName]identifier.WeightVersion
	// profile is the snapshot of the upstream. preference, from 0 to 1, is its place in this host's own order of the upstreams.
	profile    profiler.Ref
	preference float64
	distance   distance
	// snapshot is that of viewedAt; viewed is false if something was heard of the upstream since.
	snapshot profiler.Snapshot
	viewedAt time.Time
	viewed   bool
	// opened is the number of connections that are open, as far as the host knows, and usedAt when the last one was used.
	opened int
	usedAt time.Time
	// ownWork is the expected work of the own attempts.
	ownWork float64
	// waits holds the expected waits at waitSlots slots.
	waits     *[waitSteps]float64
	waitSlots float64
}

func newNode(upstream connector.Upstream) *node {
	return &node{upstream: upstream, hash: xxhash.Sum64String(string(upstream.ID))}
}

func (n *node) addInFlight(now time.Time, change int) {
	n.inFlight += change
	n.countConnections(now)
	if len(n.history) == maxHistory {
		n.history = slices.Delete(n.history, 0, maxHistory/2)
	}
	n.history = append(n.history, countChange{at: now, inFlight: n.inFlight})
}

// inFlightAt returns the count at a past time. Before the first stored change it returns zero if no change has been
// dropped, and the current count if some may have been.
func (n *node) inFlightAt(at time.Time) int {
	for _, change := range slices.Backward(n.history) {
		if !change.at.After(at) {
			return change.inFlight
		}
	}
	if len(n.history) > 0 && len(n.history) < maxHistory/2 {
		return 0
	}
	return n.inFlight
}

// applyReport stores a load report and computes the load that other hosts cause: the reported load minus this host's
// attempts at that time. A report older than the last one is ignored.
func (n *node) applyReport(now time.Time, report codec.LoadReport) {
	if report.ReportedAt.Before(n.reportedAt) {
		return
	}
	n.reportedAt = report.ReportedAt
	n.receivedAt = now
	n.slots = report.Slots
	n.otherHostsLoad = max(0, report.Running+report.Queued-n.inFlightAt(report.ReportedAt))
	n.serving = make(map[identifier.ModelName]identifier.WeightVersion, len(report.Models))
	for _, model := range report.Models {
		n.serving[model.Model] = model.Serving
	}
}

func (n *node) setServing(model identifier.ModelName, version identifier.WeightVersion) {
	if n.serving == nil {
		n.serving = make(map[identifier.ModelName]identifier.WeightVersion)
	}
	n.serving[model] = version
}

func (n *node) servesOlder(model identifier.ModelName, minimum identifier.WeightVersion) bool {
	serving, known := n.serving[model]
	return known && serving < minimum
}

func (n *node) load(v view) int {
	if !n.hasValidReport(v.now, v.reportMaxAge) {
		return n.inFlight
	}
	return n.inFlight + n.otherHostsLoad
}

func (n *node) hasValidReport(now time.Time, reportMaxAge time.Duration) bool {
	return n.slots > 0 && now.Sub(n.receivedAt) <= reportMaxAge
}

func (n *node) isFull(v view) bool {
	return v.now.Before(n.fullUntil) || n.slots > 0 && n.load(v) >= n.slots
}

// score returns the rendezvous hash of a key and a node; the node with the highest score is preferred.
func score(key, node uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], key)
	binary.LittleEndian.PutUint64(both[8:], node)
	return xxhash.Sum64(both[:])
}

// ranked returns the nodes in the order of the rendezvous hash for a key, the preferred one first.
func ranked(nodes []*node, key uint64) []*node {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b *node) int {
		return cmp.Or(cmp.Compare(score(key, b.hash), score(key, a.hash)), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	return sorted
}

// leastInFlight returns the node with the fewest attempts, and among several the first one of the rendezvous hash for a key.
func leastInFlight(nodes []*node, key uint64) *node {
	return slices.MinFunc(ranked(nodes, key), func(a, b *node) int { return cmp.Compare(a.inFlight, b.inFlight) })
}
