package assembler

import (
	"celerygap.example/lib/identifier"
	"celerygap.example/service/demandkeeper"
	"celerygap.example/service/placer"
)

// buildDemand builds the driver that brings the demand of batch jobs to the holders of leases. It has no effect until an owner of
// jobs states a demand.
func (h *Host) buildDemand() {
	h.demand = demandkeeper.NewDriver(demandkeeper.DriverConfig{
		Members: h.prober, Peers: h.peers, OnDemand: h.applyDemand,
		Leases: []demandkeeper.Lease{{Key: placer.OrdersLease, Holds: h.placer.Holds}},
	})
}

// applyDemand passes the demand of all hosts to the division of engines.
func (h *Host) applyDemand(demand demandkeeper.Demand) {
	stated := placer.DemandStated{Demand: make(map[identifier.PoolName]map[identifier.ModelName]placer.Demand, len(demand))}
	for pool, models := range demand {
		stated.Demand[pool] = make(map[identifier.ModelName]placer.Demand, len(models))
		for model, sum := range models {
			stated.Demand[pool][model] = placer.DemandOf(sum)
		}
	}
	h.placer.Handle(stated)
}
