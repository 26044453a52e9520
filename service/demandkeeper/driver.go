package demandkeeper

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/elector"
)

const (
	// methodDemand reports the demand of the jobs that the caller owns.
	methodDemand = "placement_demand"
	// candidates is the number of hosts by rank that get the demand for a lease: the one that should hold it and its substitute,
	// so that a new holder knows the demand at once.
	candidates = 2
	// reportInterval is the time between two reports.
	reportInterval = time.Second
	// callTimeout bounds a report; the next one follows anyway.
	callTimeout = 500 * time.Millisecond
)

// Lease is a lease whose holder decides by the demand.
type Lease struct {
	// Key is the store key of the lease, and the key by which hosts rank for it.
	Key string
	// Holds reports whether this host holds the lease.
	Holds func() bool
}

// DriverConfig configures a Driver.
type DriverConfig struct {
	Members connector.Members
	Peers   connector.Peers
	Timer   *timer.Service
	Leases  []Lease
	// Demand returns the demand of this host's jobs, and Loads the loads that it heard. While both are empty, nothing is sent.
	Demand func() []codec.ModelDemand
	Loads  func() []codec.HeardLoad
	// OnDemand gets what all hosts reported lately, after each report; it must not wait.
	OnDemand func(Demand, map[identifier.UpstreamID]Load)
}

// Driver sends the demand of this host's jobs to the hosts that decide by it, and collects that of others. It is safe for
// concurrent use.
type Driver struct {
	config DriverConfig
	work   *grouper.Group
	base   context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	keeper *Keeper
	// holders holds the hosts that replied that they hold a lease. A holder keeps its lease when the ranks change, so it may be
	// none of the candidates.
	holders map[string]identifier.HostID
	// asked counts the hosts that were asked in turn whether they hold a lease whose holder is not known.
	asked map[string]int
	// calling holds the hosts to which a report is under way, so that a slow host has at most one.
	calling map[identifier.HostID]struct{}
}

// NewDriver returns a Driver and registers its method with the peers.
func NewDriver(config DriverConfig) *Driver {
	base, cancel := context.WithCancel(context.Background())
	d := &Driver{
		config: config, work: grouper.NewGroup(-1), base: base, cancel: cancel, keeper: New(),
		holders: make(map[string]identifier.HostID), asked: make(map[string]int), calling: make(map[identifier.HostID]struct{}),
	}
	config.Peers.Handle(methodDemand, d.serve)
	return d
}

// Run sends a report each second until ctx ends, then ends the calls under way; its error is always nil.
func (d *Driver) Run(ctx context.Context) error {
	defer d.work.Wait()
	defer d.cancel()
	d.config.Timer.Each(ctx, reportInterval, d.Report)
	return nil
}

// Demand returns the demand of all hosts that reported to this one lately.
func (d *Driver) Demand() Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keeper.Demand(time.Now())
}

// Report sends what this host knows to the candidates and the holder of each lease, without waiting. A host without
// the method runs an older build and gets the next report all the same.
func (d *Driver) Report() {
	report := codec.PlacementDemand{From: d.config.Members.Self().ID, Models: d.config.Demand(), Loads: d.config.Loads()}
	if len(report.Models) == 0 && len(report.Loads) == 0 {
		return
	}
	if report.Models == nil {
		report.Models = []codec.ModelDemand{}
	}
	for _, member := range d.receivers() {
		d.mu.Lock()
		_, busy := d.calling[member.ID]
		d.calling[member.ID] = struct{}{}
		d.mu.Unlock()
		if busy {
			continue
		}
		d.work.Go(func() { d.send(member, report) })
	}
}

// receivers returns the hosts that get a report. While neither candidate holds a lease, it includes the host that does; if that
// is not known, one further host in turn, so that the calls in a second do not depend on the number of hosts.
func (d *Driver) receivers() []codec.Member {
	live := d.config.Members.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	var receivers []codec.Member
	add := func(member codec.Member) {
		if !slices.ContainsFunc(receivers, func(other codec.Member) bool { return other.ID == member.ID }) {
			receivers = append(receivers, member)
		}
	}
	for _, lease := range d.config.Leases {
		for _, member := range elector.Rank(lease.Key, live, candidates) {
			add(member)
		}
		holder, known := elector.Find(d.holders[lease.Key], live)
		if !known && len(live) > 0 {
			holder = live[d.asked[lease.Key]%len(live)]
			d.asked[lease.Key]++
		}
		if holder.ID != "" {
			add(holder)
		}
	}
	return receivers
}

func (d *Driver) send(member codec.Member, report codec.PlacementDemand) {
	ctx, cancel := context.WithTimeout(d.base, callTimeout)
	defer cancel()
	var reply codec.PlacementDemandReply
	err := d.config.Peers.Call(ctx, member, methodDemand, report, &reply)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calling, member.ID)
	for _, lease := range d.config.Leases {
		switch {
		case err == nil && slices.Contains(reply.Holds, lease.Key):
			d.holders[lease.Key] = member.ID
		case d.holders[lease.Key] == member.ID:
			delete(d.holders, lease.Key)
		}
	}
}

func (d *Driver) serve(_ context.Context, params json.RawMessage) (any, error) {
	var report codec.PlacementDemand
	if err := json.Unmarshal(params, &report); err != nil {
		return nil, annotator.Wrap("decode demand", "peer", err)
	}
	now := time.Now()
	d.mu.Lock()
	d.keeper.State(now, report)
	demand, loads := d.keeper.Demand(now), d.keeper.Loads(now)
	d.mu.Unlock()
	d.config.OnDemand(demand, loads)
	reply := codec.PlacementDemandReply{Holds: []string{}}
	for _, lease := range d.config.Leases {
		if lease.Holds() {
			reply.Holds = append(reply.Holds, lease.Key)
		}
	}
	return reply, nil
}
