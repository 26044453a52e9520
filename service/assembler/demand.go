package assembler

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/demandkeeper"
	"celerygap.example/service/placer"
	"celerygap.example/service/scaler"
)

// dutyFence returns the function that reports the fencing token of this host while it holds the lease for duties, or nil without
// that lease. Engines are ordered only with it.
func (h *Host) dutyFence() func() (connector.DutyFence, bool) {
	if h.singletons.holder == nil {
		return nil
	}
	return h.singletons.holder.Fence
}

// buildScaler builds the driver that orders engines if the platform takes such orders.
func (h *Host) buildScaler() {
	duties, fence := h.config.Settings.Duties, h.dutyFence()
	if duties == nil || !duties.Scale || fence == nil {
		return
	}
	h.scaler = scaler.NewDriver(scaler.DriverConfig{
		Holder: fence, Calls: h.config.Duties, CallsPerSecond: duties.CallsPerSecond, Timer: h.timer, Log: h.log, Meter: h.config.Meter,
	})
}

// buildDemand builds the driver that brings the demand of batch jobs to the holders of leases. It has no effect until an owner of
// jobs states a demand, or engines whose number is decided by load state theirs.
func (h *Host) buildDemand() {
	config := demandkeeper.DriverConfig{
		Members: h.prober, Peers: h.peers, Timer: h.timer, Demand: h.batcher.Demand, Loads: func() []codec.HeardLoad { return nil },
		OnDemand: h.applyDemand, Leases: []demandkeeper.Lease{{Key: placer.OrdersLease, Holds: h.placer.Holds}},
	}
	if h.scaler != nil {
		fence := h.dutyFence()
		config.Loads = h.scaler.Loads
		config.Leases = append(config.Leases, demandkeeper.Lease{Key: dutiesLeaseKey, Holds: func() bool {
			_, held := fence()
			return held
		}})
	}
	h.demand = demandkeeper.NewDriver(config)
}

// applyDemand passes what all hosts reported to the division of engines and to the orders of engines.
func (h *Host) applyDemand(demand demandkeeper.Demand, loads map[identifier.UpstreamID]demandkeeper.Load) {
	stated := placer.DemandStated{Demand: make(map[identifier.PoolName]map[identifier.ModelName]placer.Demand, len(demand))}
	for pool, models := range demand {
		stated.Demand[pool] = make(map[identifier.ModelName]placer.Demand, len(models))
		for model, sum := range models {
			stated.Demand[pool][model] = placer.DemandOf(sum)
		}
	}
	h.placer.Handle(stated)
	if h.scaler == nil {
		return
	}
	heard := make(map[identifier.UpstreamID]scaler.HeardLoad, len(loads))
	for id, load := range loads {
		heard[id] = scaler.HeardLoad{Requests: load.Requests, At: load.At}
	}
	h.scaler.Handle(scaler.DemandStated{Demand: demand, Loads: heard})
}
