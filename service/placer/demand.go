package placer

import (
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
)

const (
	// OrdersLease is the key of the lease whose holder assigns engines to models.
	OrdersLease = leaseKey
	// shareLogInterval is the least time between two logs of the division of a pool.
	shareLogInterval = 10 * time.Second
	// shareLogChange is the change of the engines that a model's demand calls for from which on the division is logged again.
	shareLogChange = 1
)

// Holds reports whether this host holds the lease and may send orders.
func (d *Driver) Holds() bool {
	_, ok := d.holder.Fence()
	return ok
}

// shareLog remembers what was logged of the division of a pool.
type shareLog struct {
	at     time.Time
	wanted map[identifier.ModelName]float64
}

// reportDivision logs and counts the moves of engines and the division by demand; only the holder of the lease divides.
func (d *Driver) reportDivision(now time.Time) {
	for _, move := range d.machine.TakeMoves() {
		d.config.Log.Info(logger.EngineReassigned).Str("engine", string(move.Engine)).Str("pool", string(move.Pool)).
			Str("from", string(move.From)).Str("to", string(move.To)).Int("from_engines", move.FromEngines).Int("to_engines", move.ToEngines).
			Float64("from_wanted", move.FromWanted).Float64("to_wanted", move.ToWanted).Send()
		d.config.Meter.EngineReassigned(string(move.Pool), string(move.To))
	}
	for pool, shares := range d.machine.Shares() {
		last := d.shareLogs[pool]
		if now.Sub(last.at) < shareLogInterval || !changed(last, shares) {
			continue
		}
		last = shareLog{at: now, wanted: make(map[identifier.ModelName]float64, len(shares))}
		for _, share := range shares {
			last.wanted[share.Model] = share.Wanted
			d.config.Log.Info(logger.DivisionChanged).Str("pool", string(pool)).Str("model", string(share.Model)).
				Float64("events_per_second", share.EventsPerSecond).Float64("lateness", share.Lateness).Int("engines", share.Engines).
				Float64("wanted", share.Wanted).Send()
			d.config.Meter.EnginesWanted(string(pool), string(share.Model), share.Wanted)
		}
		d.shareLogs[pool] = last
	}
}

func changed(last shareLog, shares []Share) bool {
	for _, share := range shares {
		if wanted, ok := last.wanted[share.Model]; !ok || max(share.Wanted-wanted, wanted-share.Wanted) >= shareLogChange {
			return true
		}
	}
	return false
}
